package hitchstore

import "fmt"

// ConflictError says that a write didn't take effect and never will, since the
// key had another revision than the writer expected.
type ConflictError struct {
	// Now is the key's entry as the store answered it.
	Now Entry
}

// Error names the key and its revision.
func (e *ConflictError) Error() string {
	if !e.Now.Exists {
		return fmt.Sprintf("conflict: %s doesn't exist", e.Now.Key)
	}
	return fmt.Sprintf("conflict: %s is at revision %d", e.Now.Key, e.Now.Revision)
}

// UnavailableError says that the store gave no usable answer.
type UnavailableError struct {
	Key string
	// MayHaveTakenEffect is set for a write that may have been carried out, or
	// may still be. If it is false, the write isn't and won't be.
	MayHaveTakenEffect bool
	// Err is the failure of the last call.
	Err error
}

// Error names the key, the failure and what became of a write.
func (e *UnavailableError) Error() string {
	effect := "no effect"
	if e.MayHaveTakenEffect {
		effect = "effect unknown"
	}
	return fmt.Sprintf("store unavailable for %s (%s): %v", e.Key, effect, e.Err)
}

// Unwrap returns the failure of the last call.
func (e *UnavailableError) Unwrap() error { return e.Err }

// TooLargeError says that a value is over the store's limit. It was not sent.
type TooLargeError struct {
	Key   string
	Size  int // bytes
	Limit int // bytes
}

// Error names the key, the size and the limit.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("value of %s has %d bytes, over the limit of %d", e.Key, e.Size, e.Limit)
}

// LeaseLapsedError says that a lease has ended. A write that hung on it had no
// effect.
type LeaseLapsedError struct {
	Lease LeaseID
}

// Error names the lease.
func (e *LeaseLapsedError) Error() string {
	return fmt.Sprintf("lease %d has lapsed", e.Lease)
}

// callError is the failure of one call.
type callError struct {
	// Ambiguous is set if the store may have carried the call out, or may still.
	Ambiguous bool
	// Code is the gRPC status code of the store's answer, if there was one.
	Code int
	// Final is set if the same call will fail again.
	Final bool
	Err   error
}

// Error returns the failure.
func (e *callError) Error() string { return e.Err.Error() }

// Unwrap returns the failure.
func (e *callError) Unwrap() error { return e.Err }
