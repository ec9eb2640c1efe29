package hitchquarantine

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Times of turns.
const (
	// maxTurn is how long a turn lasts at most, in which an endpoint answers or crashes.
	maxTurn = 2 * time.Second
	// turnPoll is how often it is asked whether a turn is over.
	turnPoll = 50 * time.Millisecond
)

// Turn says whether a request that may have crashed an endpoint may be sent now.
type Turn struct {
	IsGranted bool
	// AvailableAt is when the next turn may be asked for.
	AvailableAt time.Time
}

// TakeTurn takes the next turn of a trait, if it is free. One instance gives the turns of a
// trait, so that requests with it are tried one after the other: until an endpoint answers, or
// the trait is quarantined. While it isn't known whether others have crashed that lost such
// requests, a turn lasts maxTurn.
func (t *Tracker) TakeTurn(now time.Time, trait Trait) Turn {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[trait]
	switch {
	case s == nil || !now.Before(s.expiresAt) || !s.isQuarantined() && !s.needsTurn(now):
		return Turn{IsGranted: true}
	case s.isQuarantined():
		return Turn{AvailableAt: later(s.releaseAt, now)}
	case now.Before(s.turnUntil) && (len(s.crashes) <= s.turnCrashes || len(s.losses) > 0):
		return Turn{AvailableAt: now.Add(turnPoll)}
	}
	s.turnUntil, s.turnCrashes = now.Add(maxTurn), len(s.crashes)
	return Turn{IsGranted: true}
}

// TurnRequestMsg asks the instance that gives the turns of a trait for one, and says what the
// instance that asks knows of the trait.
type TurnRequestMsg struct {
	_         struct{} `cbor:",toarray"`
	ID        uint32
	From      hitchfleet.InstanceID
	Suspicion Suspicion
}

// Suspicions returns what the message says of the trait.
func (m TurnRequestMsg) Suspicions() SuspicionsMsg {
	return SuspicionsMsg{From: m.From, Suspicions: []Suspicion{m.Suspicion}}
}

// TurnReplyMsg is the answer to a TurnRequestMsg with the same ID.
type TurnReplyMsg struct {
	_                     struct{} `cbor:",toarray"`
	ID                    uint32
	From                  hitchfleet.InstanceID
	IsGranted             bool
	AvailableMilliseconds uint32
	// Suspicion is what the other instance knows of the trait.
	Suspicion Suspicion
}

// Suspicions returns what the message says of the trait.
func (m TurnReplyMsg) Suspicions() SuspicionsMsg {
	return SuspicionsMsg{From: m.From, Suspicions: []Suspicion{m.Suspicion}}
}

// Turn returns the turn that the message grants or denies.
func (m TurnReplyMsg) Turn(now time.Time) Turn {
	available := min(time.Duration(m.AvailableMilliseconds)*time.Millisecond, maxQuarantine)
	return Turn{IsGranted: m.IsGranted, AvailableAt: now.Add(available)}
}

// Reply returns the answer of an instance to the question with an ID.
func (turn Turn) Reply(now time.Time, id uint32, from hitchfleet.InstanceID, s Suspicion) TurnReplyMsg {
	available := max(turn.AvailableAt.Sub(now), 0).Milliseconds()
	return TurnReplyMsg{ID: id, From: from, IsGranted: turn.IsGranted, AvailableMilliseconds: uint32(available), Suspicion: s}
}

// Suspicion returns what is known of a trait.
func (t *Tracker) Suspicion(now time.Time, trait Trait) Suspicion {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.suspects[trait]; s != nil {
		return s.message(now)
	}
	return Suspicion{Trait: trait}
}
