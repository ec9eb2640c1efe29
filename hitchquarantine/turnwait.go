package hitchquarantine

import (
	"context"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Limits of the wait for a turn.
const (
	maxTurnWait = 500 * time.Millisecond
	// turnWaitDivisor limits the wait as a divisor of a request's remaining time.
	turnWaitDivisor = 3
)

// TurnWait waits for the turn of a request, if it needs one.
type TurnWait struct {
	// Now is the clock.
	Now func() time.Time
	// Admit decides whether the request may be sent.
	Admit func() Admission
	// Ask asks for a turn of a trait.
	Ask func(ctx context.Context, trait Trait) Turn
	// HasTurn is set once the request has its turn.
	HasTurn bool
	// IsDenied is set if the request was refused as it got no turn in time.
	IsDenied bool
}

// Run admits the request, after a wait if it needs a turn. It refuses one that gets none before
// a part of its time has passed, or before ctx ends. A zero deadline stands for none.
func (w *TurnWait) Run(ctx context.Context, deadline time.Time) Admission {
	var waitUntil time.Time
	for {
		a := w.Admit()
		rests := !a.RestsUntil.IsZero()
		if a.Refusal != nil || !a.NeedsTurn || w.HasTurn && !rests {
			return a
		}
		now := w.Now()
		if waitUntil.IsZero() {
			waitUntil = now.Add(turnWaitTime(now, deadline))
		}
		turn := Turn{AvailableAt: now.Add(turnPoll)}
		if !rests {
			turn = w.Ask(ctx, a.TurnTrait)
		} else if !turn.AvailableAt.Before(waitUntil) {
			turn.AvailableAt = a.RestsUntil // the earliest time for the caller's retry
		}
		if w.HasTurn = turn.IsGranted; w.HasTurn {
			continue // what the other instance knows may refuse the request
		}
		now = w.Now()
		if !turn.AvailableAt.Before(waitUntil) || ctx.Err() != nil {
			w.IsDenied = true
			return Admission{RestsUntil: a.RestsUntil, Refusal: &Refusal{Trait: a.TurnTrait, ReleaseAt: turn.AvailableAt}}
		}
		sleep(ctx, turn.AvailableAt.Sub(now))
	}
}

// turnWaitTime returns how long a request with a deadline waits for its turn.
func turnWaitTime(now, deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return maxTurnWait
	}
	return min(maxTurnWait, deadline.Sub(now)/turnWaitDivisor)
}

// sleep waits for the duration d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// TrialRank returns how many other instances try a trait before one of them.
func TrialRank(trait Trait, self hitchfleet.Instance, instances []hitchfleet.Instance) (rank int) {
	own := hitchfleet.Score(trait.Key(), self.Key())
	for _, i := range instances {
		if hitchfleet.Score(trait.Key(), i.Key()) > own {
			rank++
		}
	}
	return rank
}
