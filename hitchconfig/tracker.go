package hitchconfig

import (
	"errors"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

const (
	// maxSteps is how many revisions a router can lead a peer by with a Delta.
	maxSteps = 32
	// askFor is how long an answer to a question is waited for.
	askFor = 500 * time.Millisecond
	// maxClockSkew is how far another router's clock may be ahead.
	maxClockSkew = 2 * time.Second
	// startFor is how long a starting router waits for a mark before it takes
	// the word of its peers alone.
	startFor = time.Second
	// maxVouchers is how many peers must vouch for a starting router's revision.
	maxVouchers = 3
)

// Standing says whether a router may take new work.
type Standing uint8

// The standings of a router.
const (
	// Starting routers don't know yet whether their revision is current.
	Starting Standing = iota
	// Serving routers take new work.
	Serving
	// CutOff routers refuse new work: neither the store nor a peer was heard
	// within the limit, or a newer revision is known and can't be had.
	CutOff
)

// String returns the standing's name.
func (s Standing) String() string {
	return [...]string{"Starting", "Serving", "CutOff"}[min(s, CutOff)]
}

// Tracker is what a router knows of the configuration. It adopts only higher
// revisions with a valid proof of origin, so it never reverts. It is an
// immutable value: Update returns the next one. The zero value, with a Keyring
// and an ID, is a router that starts.
//
//	t := hitchconfig.Tracker{Self: id, Keys: keys}
//	t, actions := t.Update(hitchconfig.Message{Kind: hitchconfig.PeerAnnounced, From: peer, Announcement: a}, now)
//	if refusal := t.Refusal(now); refusal != nil { ... }
type Tracker struct {
	Self hitchfleet.InstanceID
	Keys Keyring

	index    *Index
	offer    Offer
	sum      Checksum
	steps    []step // the latest, oldest first, without gaps, up to the index's
	standing Standing
	mark     Mark
	known    uint64 // highest revision that was heard of
	// vouchers are the peers that vouched for their revision since the start.
	vouchers []hitchfleet.InstanceID
	live     int // other routers that are live
	now      time.Time
	// The deadlines. The zero time is in the past.
	cutOffAt   time.Time // without another word of the store or a peer
	behindAt   time.Time // without the known revision; zero: not behind
	unmarkedAt time.Time // without another fresh mark
	askAt      time.Time // the next question may go out
	vouchAt    time.Time // peers' word alone suffices for a start
	forked     bool
	wantWhole  bool // a delta didn't lead where it should
}

// step is one revision that was adopted by its intent.
type step struct {
	intent Intent
	sum    Checksum
	proof  Proof
	to     uint64
}

// ErrFork says that two configurations with one revision both have a valid
// proof. The first one stays in force; the store has lost writes.
var ErrFork = errors.New("hitchconfig: two configurations with one revision")

// Index returns the look-ups of the revision in force.
func (t Tracker) Index() *Index {
	if t.index == nil {
		return &Index{}
	}
	return t.index
}

// Revision returns the revision in force.
func (t Tracker) Revision() uint64 { return t.Index().Revision() }

// Checksum returns the checksum of the revision in force.
func (t Tracker) Checksum() Checksum { return t.sum }

// Offer returns the configuration in force with its proof, such as for Repair.
func (t Tracker) Offer() Offer { return t.offer }

// Mark returns the newest freshness mark that was heard.
func (t Tracker) Mark() Mark { return t.mark }

// Standing returns the standing at the latest Update.
func (t Tracker) Standing() Standing { return t.standing }

// Known returns the highest revision that was heard of; it is above Revision
// while the router is behind.
func (t Tracker) Known() uint64 { return max(t.known, t.Revision()) }

// Err returns ErrFork if the store and the routers disagree on one revision.
func (t Tracker) Err() error {
	if t.forked {
		return ErrFork
	}
	return nil
}

// Refusal returns why the router takes no new work at a time, or nil. It reads
// the deadlines itself, so it is right also before the next Update.
func (t Tracker) Refusal(now time.Time) *hitchoutcome.Refusal {
	retryAt := now.Add(time.Second)
	switch standing := t.standingAt(now); standing {
	case Serving:
		return nil
	case Starting:
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonStale, retryAt, "the router is starting and has no current configuration yet")
	default:
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonStale, retryAt, "the router is cut off and may hold an old configuration")
	}
}

func (t Tracker) standingAt(now time.Time) Standing {
	if t.standing == Starting {
		return Starting
	}
	if !now.Before(t.cutOffAt) || (!t.behindAt.IsZero() && !now.Before(t.behindAt)) {
		return CutOff
	}
	if t.Index().Limits().UnmarkedSeconds > 0 && !now.Before(t.unmarkedAt) {
		return CutOff
	}
	return Serving
}

// cutOffFor returns the limit without store and peers.
func (t Tracker) cutOffFor() time.Duration {
	return time.Duration(t.Index().Limits().CutOffMilliseconds) * time.Millisecond
}

func (t Tracker) unmarkedFor() time.Duration {
	return time.Duration(t.Index().Limits().UnmarkedSeconds) * time.Second
}

// heard notes a word of the store or of a peer, as of a time, that counts as
// contact.
func (t Tracker) heard(asOf time.Time) Tracker {
	if until := asOf.Add(t.cutOffFor()); until.After(t.cutOffAt) {
		t.cutOffAt = until
	}
	return t
}

// heardOf notes that a revision exists. A newer one must be had within the
// limit.
func (t Tracker) heardOf(revision uint64, now time.Time) Tracker {
	t.known = max(t.known, revision)
	switch {
	case t.known <= t.Revision():
		t.behindAt = time.Time{}
	case t.behindAt.IsZero():
		t.behindAt = now.Add(t.cutOffFor())
	}
	return t
}

// at clamps the deadlines after a backward step of the clock, so that none of
// them lies further ahead than its limit.
func (t Tracker) at(now time.Time) Tracker {
	if now.Before(t.now) {
		t.cutOffAt = earlier(t.cutOffAt, now.Add(t.cutOffFor()))
		t.behindAt = earlier(t.behindAt, now.Add(t.cutOffFor()))
		t.unmarkedAt = earlier(t.unmarkedAt, now.Add(t.unmarkedFor()))
		t.askAt = earlier(t.askAt, now.Add(askFor))
		t.vouchAt = earlier(t.vouchAt, now.Add(startFor))
		if t.mark.At.After(now.Add(maxClockSkew)) {
			t.mark = Mark{}
		}
	}
	if t.vouchAt.IsZero() {
		t.vouchAt = now.Add(startFor)
	}
	t.now = now
	return t
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// settle works out the standing after a message.
func (t Tracker) settle(now time.Time) Tracker {
	if t.standing != Starting {
		t.standing = t.standingAt(now)
	}
	return t
}

// serve ends the start, if the highest known revision is in force. asOf is the
// time of the word that ends it.
func (t Tracker) serve(asOf time.Time) Tracker {
	if t.standing == Starting && t.known <= t.Revision() {
		t.standing = Serving
		t.unmarkedAt = asOf.Add(t.unmarkedFor())
		t = t.heard(asOf)
	}
	return t
}
