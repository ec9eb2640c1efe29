package hitchquarantine

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// DecisionKind is what was decided about a trait.
type DecisionKind uint8

// The decisions.
const (
	// Quarantined means that requests with the trait are refused.
	Quarantined DecisionKind = iota
	// Tried means that the quarantine is over, and one request is sent as a trial.
	Tried
	// Extended means that an endpoint crashed in a trial.
	Extended
	// Released means that an answer to a request with the trait has begun.
	Released
	// Lifted means that another trait explains the crashes.
	Lifted
)

// String returns the kind's name in logs and metrics.
func (k DecisionKind) String() string {
	return [...]string{"Quarantined", "Tried", "Extended", "Released", "Lifted"}[k]
}

// Decision is a decision about a trait, with its evidence.
type Decision struct {
	Kind  DecisionKind
	Trait Trait
	// Crashes is the number of crashes that count against the trait, and FirstCrashAt and
	// LastCrashAt are when this instance learned of them.
	Crashes                   int
	FirstCrashAt, LastCrashAt time.Time
	// HasAnswered is set if answers to requests with the part have begun before.
	HasAnswered bool
	// From is the instance that decided this; empty for this instance itself.
	From hitchfleet.InstanceID
	// ReleaseAt is the end of the quarantine.
	ReleaseAt time.Time
}

// LogPairs returns the decision as the keys and values of a log line.
func (d Decision) LogPairs(now time.Time) []any {
	age := func(then time.Time) time.Duration {
		if then.IsZero() {
			return 0
		}
		return now.Sub(then)
	}
	return []any{
		"Decision", d.Kind, "Trait", d.Trait, "Crashes", d.Crashes, "FirstCrashAge", age(d.FirstCrashAt), "LastCrashAge", age(d.LastCrashAt),
		"HasAnswered", d.HasAnswered, "From", d.From, "For", max(d.ReleaseAt.Sub(now), 0),
	}
}

// maxDecisions limits the decisions that are kept for TakeDecisions.
const maxDecisions = 256

// record records a decision for TakeDecisions.
func (t *Tracker) record(s *suspect, kind DecisionKind, from hitchfleet.InstanceID) {
	if len(t.decisions) >= maxDecisions {
		return
	}
	t.decisions = append(t.decisions, Decision{
		Kind: kind, Trait: s.trait, Crashes: len(s.crashes), FirstCrashAt: s.firstCrashAt, LastCrashAt: s.lastCrashAt,
		HasAnswered: s.hasAnswered, From: from, ReleaseAt: s.releaseAt,
	})
}

// levels returns the levels of all suspects.
func (t *Tracker) levels() map[Trait]uint8 {
	levels := make(map[Trait]uint8, len(t.suspects))
	for trait, s := range t.suspects {
		levels[trait] = s.level
	}
	return levels
}

// recordChanges records the decisions that have changed levels, which follow from a message
// of an instance unless from is empty.
func (t *Tracker) recordChanges(before map[Trait]uint8, from hitchfleet.InstanceID) {
	for _, s := range t.sorted() {
		switch old := before[s.trait]; {
		case s.level == old:
		case s.level == 0 && len(s.crashes) > 0:
			t.record(s, Lifted, from)
		case s.level == 0:
			t.record(s, Released, from)
		case old == 0:
			t.record(s, Quarantined, from)
		default:
			t.record(s, Extended, from)
		}
	}
}

// TakeDecisions returns the decisions since the last call.
func (t *Tracker) TakeDecisions() []Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	decisions := t.decisions
	t.decisions = nil
	return decisions
}
