package hitchclaim

// JournalPolicy says whether a call may be dispatched without a journal record.
// It is signed into the key, so that a route whose policy changes doesn't change
// what a lost home can be said to have done.
//
//	minter = minter.WithPolicy(hitchclaim.JournalBestEffort)
type JournalPolicy uint8

// The journal policies. The zero value is the strict one.
const (
	// JournalRequired refuses a call as NotRun while the journal can't commit.
	JournalRequired JournalPolicy = iota
	// JournalBestEffort dispatches without a record while the journal can't
	// commit. A lost home's keys of this policy are Unknown.
	JournalBestEffort
)

// String returns the policy's name.
func (p JournalPolicy) String() string {
	if p == JournalBestEffort {
		return "BestEffort"
	}
	return "Required"
}

// KeylessPolicy says what a route does with a non-idempotent call without a key.
type KeylessPolicy uint8

// The policies for calls without a key.
const (
	// KeylessRefuse refuses the call as NotRun and hands out a minted key.
	KeylessRefuse KeylessPolicy = iota
	// KeylessMint runs the call under a key that the router mints for it. The
	// caller can't repeat it: a second call is a second booking.
	KeylessMint
)

// String returns the policy's name.
func (p KeylessPolicy) String() string {
	if p == KeylessMint {
		return "Mint"
	}
	return "Refuse"
}
