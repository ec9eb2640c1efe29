package hitchrollout

import (
	"fmt"
	"slices"
	"time"

	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Phase is the phase of a rollout.
type Phase uint8

// The phases.
const (
	// Canary means that a small share of the requests goes to the new version.
	Canary Phase = iota
	// Moving means that the requests go to the new version, after a ramp.
	Moving
	// Completed means that the old versions receive nothing more.
	Completed
	// Reverted means that the new version receives nothing more.
	Reverted
)

var phaseNames = [...]string{"Canary", "Moving", "Completed", "Reverted"}

// String returns the phase's name.
func (p Phase) String() string {
	if int(p) >= len(phaseNames) {
		return fmt.Sprintf("Phase(%d)", uint8(p))
	}
	return phaseNames[p]
}

// MarshalText returns the phase's name.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText sets the phase from its name.
func (p *Phase) UnmarshalText(text []byte) error {
	n := slices.Index(phaseNames[:], string(text))
	if n < 0 {
		return fmt.Errorf("unknown phase %q", text)
	}
	*p = Phase(n)
	return nil
}

// IsEnded reports whether the rollout is over.
func (p Phase) IsEnded() bool { return p == Completed || p == Reverted }

// State returns the state as operators see it.
func (p Phase) State() string {
	switch p {
	case Completed:
		return "completed"
	case Reverted:
		return "reverted"
	default:
		return "active"
	}
}

// Record is the state of a rollout as the store has it.
type Record struct {
	Service hitchfleet.ServiceID
	// Version is the new version.
	Version string
	// OrderRevision is the store revision of the order, which identifies it.
	OrderRevision hitchfleet.Revision
	// Step is 1 in the first record of an order, and higher by one in each next one.
	Step  int
	Phase Phase
	// From lists the other versions that the service's endpoints had at the time of the order,
	// sorted.
	From []string
	// Excluded lists the versions that receive nothing whatever the phase, as an earlier rollout
	// of the service has left or refused them.
	Excluded []string
	// Deadline is when the rollout has to be decided, in Unix milliseconds: the time limit minus
	// the time that a slow store takes for the last write.
	Deadline int64
	// Share is the share of first attempts that go to the new version in phase Canary. In phase
	// Moving it is RampShare, which an instance reaches RampMilliseconds after it learns of the
	// record: first a part, and 1 in a later record if the part has shown no fault.
	Share, RampShare float64
	RampMilliseconds int
	// Reason says why the phase was entered.
	Reason string
}

// WithPhase returns the next record with another phase.
func (r Record) WithPhase(phase Phase, reason string) Record {
	r.Step++
	r.Phase, r.Reason = phase, reason
	return r
}

// WithShare returns the next record with another canary share.
func (r Record) WithShare(share float64, reason string) Record {
	r.Step++
	r.Share, r.Reason = share, reason
	return r
}

// WithRamp returns the next record in phase Moving.
func (r Record) WithRamp(share float64, milliseconds int, reason string) Record {
	r = r.WithPhase(Moving, reason)
	r.RampShare, r.RampMilliseconds = share, milliseconds
	return r
}

// excluded returns the versions that receive nothing.
func (r Record) excluded() []string {
	switch r.Phase {
	case Completed:
		return slices.Concat(r.Excluded, r.From)
	case Reverted:
		return append(slices.Clone(r.Excluded), r.Version)
	default:
		return r.Excluded
	}
}

// NewRecord returns the first record of an order. previous is the record of an earlier order, if
// there is one: what it excludes stays excluded, and a version that wasn't yet proven good is
// excluded too.
func NewRecord(o Order, previous *Record, endpoints []hitchfleet.Endpoint, share float64) Record {
	r := Record{
		Service: o.Service, Version: o.Version, OrderRevision: o.Revision, Step: 1, Phase: Canary, Share: share,
		Deadline: o.LimitAt.Add(-deadlineMargin).UnixMilli(), Reason: "ordered",
	}
	for _, e := range endpoints {
		if e.Version != o.Version && !slices.Contains(r.From, e.Version) {
			r.From = append(r.From, e.Version)
		}
	}
	slices.Sort(r.From)
	if previous == nil {
		return r
	}
	unwanted := previous.excluded()
	if previous.Phase != Completed {
		unwanted = append(slices.Clone(unwanted), previous.Version)
	}
	isUnwanted := func(version string, _ int) bool { return slices.Contains(unwanted, version) }
	r.Excluded, r.From = lo.FilterReject(r.From, isUnwanted)
	return r
}

// IsFor reports whether the record is of the order.
func (r Record) IsFor(o Order) bool {
	return r.Service == o.Service && r.OrderRevision == o.Revision && r.Version == o.Version
}

// Equal reports whether the records are the same: after a lost response, whether the one that was
// read back is the one that was written.
func (r Record) Equal(other Record) bool {
	isEqual := slices.Equal(r.From, other.From) && slices.Equal(r.Excluded, other.Excluded)
	r.From, r.Excluded, other.From, other.Excluded = nil, nil, nil, nil
	return isEqual && fmt.Sprint(r) == fmt.Sprint(other)
}

// deadlineMargin is kept before the time limit for the write of the last record: a store that is
// 60 times slower than usual takes 240 ms for it, and instances read the time limit within
// about 100 ms.
const deadlineMargin = 500 * time.Millisecond
