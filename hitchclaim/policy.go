package hitchclaim

// JournalPolicy determines whether a call may be dispatched without a journal
// record. It is part of the signed key: a later change of the route's policy must not
// change which outcome is derived from the journal of a failed home.
//
//	minter = minter.WithPolicy(hitchclaim.JournalBestEffort)
type JournalPolicy uint8

// The journal policies. The zero value is the stricter one.
const (
	// JournalRequired refuses a call as NotRun while journal writes fail.
	JournalRequired JournalPolicy = iota
	// JournalBestEffort dispatches a call without a record while journal writes
	// fail. If the home fails, a missing record proves nothing: the outcome of its
	// keys with this policy is Unknown.
	JournalBestEffort
)

// String returns the policy's name.
func (p JournalPolicy) String() string {
	if p == JournalBestEffort {
		return "BestEffort"
	}
	return "Required"
}

// MissingKeyPolicy determines how a route handles a non-idempotent call without a
// key.
type MissingKeyPolicy uint8

// The policies for calls without a key.
const (
	// MissingKeyRefuse refuses the call as NotRun and returns a minted key.
	MissingKeyRefuse MissingKeyPolicy = iota
	// MissingKeyMint runs the call under a key that the router mints for it. The
	// caller can't retry it safely: a second call is a second booking.
	MissingKeyMint
)

// String returns the policy's name.
func (p MissingKeyPolicy) String() string {
	if p == MissingKeyMint {
		return "Mint"
	}
	return "Refuse"
}
