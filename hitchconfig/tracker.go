package hitchconfig

import (
	"errors"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

const (
	// maxDeltaSteps is the maximum number of revisions in a Delta.
	maxDeltaSteps = 32
	// requestTimeout is the time to wait for a response before another update is
	// requested.
	requestTimeout = 500 * time.Millisecond
	// maxClockSkew is how far another router's clock may be ahead; marks from further
	// in the future are ignored.
	maxClockSkew = 2 * time.Second
	// peerStartDelay is how long a starting router waits for the store or a recent
	// mark before it relies on the revisions of ready peers alone.
	peerStartDelay = time.Second
	// maxRequiredPeers is the number of ready peers that a starting router needs
	// without the store, or all live peers if there are fewer.
	maxRequiredPeers = 3
)

// State is the serving state of a router: whether it accepts new requests.
type State uint8

// The serving states of a router.
const (
	// Starting means that the router doesn't know yet whether its revision is
	// current. It refuses new requests.
	Starting State = iota
	// Serving means that the router accepts new requests.
	Serving
	// CutOff means that the router refuses new requests, because it had no contact
	// to the store or a peer within the limit, has no recent mark while one is
	// required, or could not fetch a newer revision that it knows of.
	CutOff
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"Starting", "Serving", "CutOff"}[min(s, CutOff)]
}

// Tracker tracks the active configuration of one router. It activates only higher
// revisions with a valid proof of origin, so it never reverts to an older one. It is
// an immutable value: Update returns the next one. The zero value with Self and Keys
// set is the tracker of a starting router.
//
//	t := hitchconfig.Tracker{Self: id, Keys: keys}
//	t, actions := t.Update(hitchconfig.Message{Kind: hitchconfig.PeerAnnounced, From: peer, Announcement: a}, now)
//	if refusal := t.Refusal(now); refusal != nil { ... }
type Tracker struct {
	Self hitchfleet.InstanceID
	Keys Keyring

	index         *Index
	snapshot      Snapshot
	sum           Checksum
	steps         []revisionStep // latest steps, oldest first, without gaps, up to the active revision
	state         State
	mark          FreshnessMark
	knownRevision uint64 // highest revision known to exist
	// readyPeers are peers that announced themselves as ready since the start, at
	// most maxRequiredPeers.
	readyPeers []hitchfleet.InstanceID
	livePeers  int // number of other live routers
	lastUpdate time.Time
	// Deadlines. Except for catchUpDeadline, the zero time is a deadline in the past.
	contactDeadline time.Time // CutOff unless there is contact to the store or a peer
	catchUpDeadline time.Time // CutOff unless knownRevision is active; zero if not behind
	markDeadline    time.Time // CutOff unless there is a recent mark, if one is required
	nextRequestAt   time.Time // earliest time of the next request to a peer
	peerStartAt     time.Time // earliest time to start from ready peers alone
	isForked        bool
	needsSnapshot   bool // applying a delta failed
}

// revisionStep is a revision and the intent that led to it.
type revisionStep struct {
	intent   Intent
	sum      Checksum
	proof    Proof
	revision uint64
}

// ErrFork means that two different configurations with the same revision both have a
// valid proof, as the store has lost writes. The first one stays active.
var ErrFork = errors.New("hitchconfig: two different configurations have the same revision")

// Index returns the index of the active revision.
func (t Tracker) Index() *Index {
	if t.index == nil {
		return &Index{}
	}
	return t.index
}

// Revision returns the active revision.
func (t Tracker) Revision() uint64 { return t.Index().Revision() }

// Checksum returns the checksum of the active revision.
func (t Tracker) Checksum() Checksum { return t.sum }

// Snapshot returns the active configuration with its proof, for example for Repair.
func (t Tracker) Snapshot() Snapshot { return t.snapshot }

// Mark returns the newest known freshness mark.
func (t Tracker) Mark() FreshnessMark { return t.mark }

// State returns the serving state as of the latest Update.
func (t Tracker) State() State { return t.state }

// KnownRevision returns the highest revision known to exist. It is higher than Revision while
// the router is behind.
func (t Tracker) KnownRevision() uint64 { return max(t.knownRevision, t.Revision()) }

// Err returns ErrFork if two different configurations with the active revision were
// received.
func (t Tracker) Err() error {
	if t.isForked {
		return ErrFork
	}
	return nil
}

// Refusal returns the reason why the router refuses new requests at the given time, or
// nil. It checks the deadlines itself, so it doesn't depend on a recent Update.
func (t Tracker) Refusal(now time.Time) *hitchoutcome.Refusal {
	retryAt := now.Add(time.Second)
	switch state := t.stateAt(now); state {
	case Serving:
		return nil
	case Starting:
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonStale, retryAt, "the router is starting and has no current configuration yet")
	default:
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonStale, retryAt, "the router is cut off and may hold an old configuration")
	}
}

func (t Tracker) stateAt(now time.Time) State {
	if t.state == Starting {
		return Starting
	}
	if !now.Before(t.contactDeadline) || (!t.catchUpDeadline.IsZero() && !now.Before(t.catchUpDeadline)) {
		return CutOff
	}
	if t.Index().Limits().UnmarkedSeconds > 0 && !now.Before(t.markDeadline) {
		return CutOff
	}
	return Serving
}

// contactTimeout returns how long the router serves without contact to the store or a
// peer.
func (t Tracker) contactTimeout() time.Duration {
	return time.Duration(t.Index().Limits().CutOffMilliseconds) * time.Millisecond
}

func (t Tracker) markTimeout() time.Duration {
	return time.Duration(t.Index().Limits().UnmarkedSeconds) * time.Second
}

// recordContact extends the contact deadline after contact to the store or a peer at
// the given time.
func (t Tracker) recordContact(at time.Time) Tracker {
	if deadline := at.Add(t.contactTimeout()); deadline.After(t.contactDeadline) {
		t.contactDeadline = deadline
	}
	return t
}

// recordRevision records that a revision exists. If it is newer, it must become active
// within the contact timeout.
func (t Tracker) recordRevision(revision uint64, now time.Time) Tracker {
	t.knownRevision = max(t.knownRevision, revision)
	switch {
	case t.knownRevision <= t.Revision():
		t.catchUpDeadline = time.Time{}
	case t.catchUpDeadline.IsZero():
		t.catchUpDeadline = now.Add(t.contactTimeout())
	}
	return t
}

// advanceClock sets the time of the update. If the clock stepped back, it limits each
// deadline to its timeout from now.
func (t Tracker) advanceClock(now time.Time) Tracker {
	if now.Before(t.lastUpdate) {
		t.contactDeadline = earlier(t.contactDeadline, now.Add(t.contactTimeout()))
		t.catchUpDeadline = earlier(t.catchUpDeadline, now.Add(t.contactTimeout()))
		t.markDeadline = earlier(t.markDeadline, now.Add(t.markTimeout()))
		t.nextRequestAt = earlier(t.nextRequestAt, now.Add(requestTimeout))
		t.peerStartAt = earlier(t.peerStartAt, now.Add(peerStartDelay))
		if t.mark.At.After(now.Add(maxClockSkew)) {
			t.mark = FreshnessMark{}
		}
	}
	if t.peerStartAt.IsZero() {
		t.peerStartAt = now.Add(peerStartDelay)
	}
	t.lastUpdate = now
	return t
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// updateState updates the serving state after a message.
func (t Tracker) updateState(now time.Time) Tracker {
	if t.state != Starting {
		t.state = t.stateAt(now)
	}
	return t
}

// startServing makes a starting router serve if the highest known revision is active.
// The deadlines start at the time at which the revision was confirmed as current.
func (t Tracker) startServing(at time.Time) Tracker {
	if t.state == Starting && t.knownRevision <= t.Revision() {
		t.state = Serving
		t.markDeadline = at.Add(t.markTimeout())
		t = t.recordContact(at)
	}
	return t
}
