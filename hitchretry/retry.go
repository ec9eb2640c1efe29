// Package hitchretry decides what follows a failed attempt of a request: another
// attempt, or which final response the caller gets.
//
//	request := hitchretry.Request{IsRetrySafe: true, MaxAttempts: 2, Deadline: deadline}
//	request, decision := request.AfterAttempt(now, hitchretry.Lost)
//
// A Request is an immutable value; AfterAttempt returns the updated one.
package hitchretry

import "time"

// Outcome is the result of an attempt.
type Outcome uint8

// The outcomes.
const (
	// Unsent means that no byte reached the endpoint.
	Unsent Outcome = iota
	// Refused means that the endpoint responded that it didn't run the request.
	Refused
	// Lost means that the request was sent and no complete response arrived.
	Lost
	// Failed means that the endpoint responded with an error.
	Failed
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	return [...]string{"Unsent", "Refused", "Lost", "Failed"}[o]
}

// Request is the retry state of a request.
type Request struct {
	// IsRetrySafe is set if the request may run more than once.
	IsRetrySafe bool
	// MaxAttempts bounds the attempts that may have run the request.
	MaxAttempts int
	// Deadline is when the caller must have the final response.
	Deadline time.Time

	possibleRuns int // attempts that may have run
	notRun       int // attempts that didn't run
}

// maxNotRun bounds the retries after attempts that didn't run.
const maxNotRun = 3

// minRetryTime is how much time must be left before the deadline for a retry.
const minRetryTime = 30 * time.Millisecond

// Decision is what to do after an attempt.
type Decision uint8

// The decisions.
const (
	// Retry makes another attempt.
	Retry Decision = iota
	// RefuseNotRun gives up and tells the caller that the request didn't run.
	RefuseNotRun
	// GiveUp gives up; the request may have run.
	GiveUp
	// PassOn gives up and forwards the endpoint's error response to the caller.
	PassOn
)

// String returns the decision's name in logs.
func (d Decision) String() string {
	return [...]string{"Retry", "RefuseNotRun", "GiveUp", "PassOn"}[d]
}

// AfterAttempt returns the request with the outcome of an attempt counted, and the decision
// that follows from it.
func (r Request) AfterAttempt(now time.Time, o Outcome) (Request, Decision) {
	return r.AfterAttempts(now, o, 1)
}

// AfterAttempts is like AfterAttempt for attempts that another instance has made in place of this
// one, of which a number may have run. o is the outcome of the last one.
func (r Request) AfterAttempts(now time.Time, o Outcome, runs int) (Request, Decision) {
	if o == Unsent || o == Refused {
		r.notRun++
	} else {
		r.possibleRuns += runs
	}
	return r, r.decide(now, o)
}

func (r Request) decide(now time.Time, o Outcome) Decision {
	hasTime := now.Add(minRetryTime).Before(r.Deadline)
	switch {
	case hasTime && r.allowsAttempt() && r.notRun <= maxNotRun:
		return Retry
	case o == Failed:
		return PassOn
	case r.possibleRuns == 0:
		return RefuseNotRun
	default:
		return GiveUp
	}
}

// AfterProgress returns the request after a part of its response has arrived. Endpoints that
// refused it before that say nothing of those that may be asked later.
func (r Request) AfterProgress() Request {
	r.notRun = 0
	return r
}

// allowsAttempt reports whether one more attempt may run.
func (r Request) allowsAttempt() bool {
	return r.possibleRuns == 0 || r.IsRetrySafe && r.possibleRuns < r.MaxAttempts
}

// AttemptsLeft returns how many more attempts may run beside those that are open, at least one.
func (r Request) AttemptsLeft(open int) int { return max(r.MaxAttempts-r.possibleRuns-open, 1) }

// PossibleRuns returns the number of attempts that may have run.
func (r Request) PossibleRuns() int { return r.possibleRuns }

// IsFirstAttempt reports whether no attempt has been made yet.
func (r Request) IsFirstAttempt() bool { return r.possibleRuns == 0 && r.notRun == 0 }

// MayHaveRun reports whether an endpoint may have run the request.
func (r Request) MayHaveRun() bool { return r.possibleRuns > 0 }

// AllowsAttemptBeside reports whether another attempt may run if a number of open ones do.
func (r Request) AllowsAttemptBeside(open int) bool {
	return r.IsRetrySafe && r.possibleRuns+open < r.MaxAttempts
}

// FinalDecision returns the decision after an attempt if no retry is allowed.
func (r Request) FinalDecision(o Outcome) Decision {
	r.Deadline = time.Time{}
	return r.decide(r.Deadline, o)
}
