package hitchstore

import "fmt"

// ConflictError means that a write didn't take effect and never will, since the key
// didn't have the revision that the writer expected.
type ConflictError struct {
	// Current is the key's entry as returned by the store.
	Current Entry
}

// Error returns a message with the key and its revision.
func (e *ConflictError) Error() string {
	if !e.Current.Exists {
		return fmt.Sprintf("conflict: %s doesn't exist", e.Current.Key)
	}
	return fmt.Sprintf("conflict: %s is at revision %d", e.Current.Key, e.Current.Revision)
}

// UnavailableError means that the store returned no usable response.
type UnavailableError struct {
	Key string
	// MayHaveTakenEffect is set for a write that may have been carried out, or may
	// still be. If it is false, the write didn't take effect and never will.
	MayHaveTakenEffect bool
	// Err is the failure of the last call.
	Err error
}

// Error returns a message with the key, the failure and the effect of a write.
func (e *UnavailableError) Error() string {
	effect := "no effect"
	if e.MayHaveTakenEffect {
		effect = "effect unknown"
	}
	return fmt.Sprintf("store unavailable for %s (%s): %v", e.Key, effect, e.Err)
}

// Unwrap returns the failure of the last call.
func (e *UnavailableError) Unwrap() error { return e.Err }

// TooLargeError means that a value exceeds the store's limit. It was not sent.
type TooLargeError struct {
	Key   string
	Size  int // bytes
	Limit int // bytes
}

// Error returns a message with the key, the size and the limit.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("value of %s has %d bytes, over the limit of %d", e.Key, e.Size, e.Limit)
}

// LeaseExpiredError means that a lease has expired or was revoked. A write with this
// lease had no effect.
type LeaseExpiredError struct {
	Lease LeaseID
}

// Error returns a message with the lease.
func (e *LeaseExpiredError) Error() string {
	return fmt.Sprintf("lease %d has expired", e.Lease)
}

// callError is the failure of one call.
type callError struct {
	// Ambiguous is set if the store may have carried out the call, or may still do so.
	Ambiguous bool
	// Code is the gRPC status code of the store's response, if there was one.
	Code int
	// Final is set if a retry of the call would fail too.
	Final bool
	Err   error
}

// Error returns the message of the failure.
func (e *callError) Error() string { return e.Err.Error() }

// Unwrap returns the failure.
func (e *callError) Unwrap() error { return e.Err }
