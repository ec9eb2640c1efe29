package hitchrollout

import (
	"fmt"
	"slices"
	"time"

	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Thresholds of the evidence against a version (Evidence.LogLikelihood).
const (
	// badEvidence rolls a version back: at most one good version of a thousand reaches it.
	badEvidence = 6.9
	// suspicion ends phase Moving: at most one good version of a hundred reaches it.
	suspicion = 4.6
	// doubt delays each step that increases the exposure.
	doubt = 2.3
	// clearEvidence is the Evidence.Clear of a version that is good. It takes 33 responses
	// without a failure, of which a version that fails a twentieth has at least one in 82% of
	// the cases. At -2 (39 responses), 2 of 30 good versions of services with 6 requests a
	// second were rolled back after 12 s for too few responses.
	clearEvidence = -1.7
	// decisiveResponses is the number of responses from which it isn't for their number that a
	// version isn't shown to be good.
	decisiveResponses = 60
	// minResponses is the number of responses before phase Moving.
	minResponses = 10
)

// Times of a rollout.
const (
	// settleTime is how long a new hub waits for the reports of all instances.
	settleTime = 1200 * time.Millisecond
	// partTime is how long a part of the requests goes to the new version in phase Moving before
	// all do, so that a fault that shows under load is reported first.
	partTime = 1300 * time.Millisecond
	// partRamp and fullRamp are the times of the ramps.
	partRamp = 200 * time.Millisecond
	fullRamp = 400 * time.Millisecond
	// reportTime is how long a report, a step and its record take together.
	reportTime = 700 * time.Millisecond
	// minFinish is how long requests in flight at old endpoints take at least.
	minFinish = 200 * time.Millisecond
	// minMove is the time from the commit to the time limit, at least, and maxMoveShare its part
	// of the order's time, at most.
	minMove      = 2 * time.Second
	maxMoveShare = 0.4
	// longMoveShare is its part in long orders, which have the time to look at the new version
	// under the whole load, and maxLongMove the most of that.
	longMoveShare = 0.05
	maxLongMove   = 30 * time.Second
	// minShareTime is the time to the commit from which the share isn't changed any more.
	minShareTime = 1500 * time.Millisecond
)

// Shares and counts of a rollout.
const (
	// firstShare is the part of Bounds.ExposeShare that phase Canary begins with, and the least
	// that it goes back to.
	firstShare = 0.5
	// canaryPart is the part of the exposure that phase Canary may use, and partPart that of the
	// rest which the first part of phase Moving may use.
	canaryPart = 0.6
	partPart   = 0.6
	// maxCanaryShare leaves enough to the old versions for a comparison.
	maxCanaryShare = 0.5
	// minShareChange is by what factor the share changes at least.
	minShareChange = 1.25
	// maxShareSteps limits the records that only change the share.
	maxShareSteps = 6
	// finishQuantile is the quantile of the durations at old endpoints that has to be waited for.
	finishQuantile = 0.99
	// maxMissing is the share of the live instances whose counts may be missing in a step that
	// increases the exposure.
	maxMissing = 0.1
)

// Fleet is what a decision needs to know of the fleet.
type Fleet struct {
	// Endpoints are the listed endpoints of the service.
	Endpoints []hitchfleet.Endpoint
	// Live are the live instances.
	Live []hitchfleet.InstanceID
	// HubSince is since when this instance has been the primary hub. Until it has the reports of
	// all instances it takes no step that increases the exposure.
	HubSince time.Time
	// Remembered is an ended record of the order that this instance knew before the store came
	// back from an older copy; nil if there is none.
	Remembered *Record
}

// Step is a decision about a rollout, with its reason and the figures behind it.
type Step struct {
	// IsChange is set if Record is to be written in place of the present one.
	IsChange bool
	Record   Record
	// Stop is sent to all instances at once, and with each next digest until the record is
	// written, if it isn't nil. A step that reduces the exposure has one.
	Stop   *StopMsg
	Reason string
	// Evidence is the evidence against the new version, and Summary the counts.
	Evidence Evidence
	Summary  Summary
}

// LogPairs returns the step as the keys and values of a log line.
func (s Step) LogPairs(now time.Time) []any {
	var age time.Duration
	if !s.Summary.OldestAt.IsZero() {
		age = now.Sub(s.Summary.OldestAt)
	}
	return []any{
		"Service", s.Record.Service, "Version", s.Record.Version, "OrderRevision", s.Record.OrderRevision, "Step", s.Record.Step,
		"Phase", s.Record.Phase, "Share", s.Record.Share, "RampShare", s.Record.RampShare, "Reason", s.Reason,
		"Evidence", s.Evidence.LogLikelihood, "Clear", s.Evidence.Clear, "ClearLimit", s.Evidence.ClearLimit, "ClearRoute", s.Evidence.ClearRoute, "ClearWindow", s.Evidence.ClearWindow, "ClearSlow", s.Evidence.ClearSlow, "ClearSlowLimit", s.Evidence.ClearSlowLimit, "Against", s.Evidence.String(),
		"Arrived", s.Summary.Arrived, "Exposed", s.Summary.Exposed, "Responses", s.Summary.Responses, "PerSecond", s.Summary.PerSecond,
		"Live", s.Summary.Live, "Missing", s.Summary.Missing, "InForce", s.Summary.InForce, "Full", s.Summary.Full, "InFlightOld", s.Summary.InFlightOld,
		"OldestCountsAge", age,
	}
}

// Controller decides the steps of rollouts. It has no state, so that another hub may go on. The
// zero value has the default bounds.
type Controller struct {
	Bounds Bounds
}

// situation is what a decision is made from.
type situation struct {
	now    time.Time
	bounds Bounds
	order  Order
	record Record
	fleet  Fleet
	Summary
	evidence Evidence
	// deadline is when the rollout has to be decided.
	deadline time.Time
	// newCount and oldCount are the numbers of endpoints of both groups that aren't leaving.
	newCount, oldCount int
}

// Decide returns the next step of a rollout. record is nil if the store has none for the service,
// and may be the one of an earlier order.
func (c Controller) Decide(now time.Time, order Order, record *Record, tally *Tally, fleet Fleet) Step {
	bounds := c.Bounds.orDefault()
	if record == nil || !record.IsFor(order) {
		return begin(now, order, record, fleet, bounds)
	}
	if record.Phase.IsEnded() {
		return Step{Record: *record, Reason: record.Reason}
	}
	s := situation{now: now, bounds: bounds, order: order, record: *record, fleet: fleet, deadline: time.UnixMilli(record.Deadline)}
	for _, e := range fleet.Endpoints {
		switch {
		case e.Leaving || slices.Contains(record.Excluded, e.Version):
		case e.Version == order.Version:
			s.newCount++
		default:
			s.oldCount++
		}
	}
	tally.mu.Lock()
	defer tally.mu.Unlock()
	var counted sums
	if tally.order == order.Revision {
		counted = tally.sum()
	}
	s.Summary = tally.summary(now, order, *record, fleet.Live, counted)
	s.evidence = tally.evidence(now, order, counted, s.newCount)
	step := s.decide()
	step.Evidence, step.Summary = s.evidence, s.Summary
	return step
}

// begin returns the step to the first record of an order.
func begin(now time.Time, order Order, previous *Record, fleet Fleet, bounds Bounds) Step {
	record := NewRecord(order, previous, fleet.Endpoints, bounds.ExposeShare*firstShare)
	remembered := fleet.Remembered
	switch {
	case remembered != nil && remembered.IsFor(order) && remembered.Phase == Reverted:
		record = remembered.WithPhase(Reverted, remembered.Reason)
	case !now.Before(order.LimitAt):
		record = record.WithPhase(Reverted, "the order's time was over before it began")
	}
	return Step{IsChange: true, Record: record, Reason: record.Reason}
}

// Withdraw returns the step for an order that the operator has removed.
func (c Controller) Withdraw(_ time.Time, record Record) Step {
	if record.Phase.IsEnded() {
		return Step{Record: record, Reason: record.Reason}
	}
	return reduce(record, record.WithPhase(Reverted, "the operator removed the order"))
}

// reduce returns a step that reduces the exposure.
func reduce(record, next Record) Step {
	stop := &StopMsg{Service: record.Service, OrderRevision: record.OrderRevision, Step: record.Step, Phase: next.Phase}
	return Step{IsChange: true, Record: next, Stop: stop, Reason: next.Reason}
}

// revert returns the step to phase Reverted.
func (s situation) revert(reason string) Step {
	return reduce(s.record, s.record.WithPhase(Reverted, reason))
}

// keep returns no step.
func (s situation) keep(reason string) Step { return Step{Record: s.record, Reason: reason} }

// step returns a step that doesn't reduce the exposure.
func (s situation) step(next Record) Step {
	return Step{IsChange: true, Record: next, Reason: next.Reason}
}

// decide returns the next step of an active rollout.
func (s situation) decide() Step {
	switch {
	case s.fleet.Remembered != nil && s.fleet.Remembered.IsFor(s.order) && s.fleet.Remembered.Phase == Reverted:
		return s.revert(s.fleet.Remembered.Reason)
	case s.reverted:
		return s.revert("rolled back by an earlier decision that isn't in the store")
	case s.evidence.LogLikelihood >= badEvidence:
		return s.revert("bad: " + s.evidence.String())
	case s.record.Phase == Moving:
		return s.move()
	default:
		return s.canary()
	}
}

// canary returns the next step in phase Canary.
func (s situation) canary() Step {
	if !s.now.Before(s.deadline) {
		return s.revert(s.undecided())
	}
	if reason := s.unsettled(); reason != "" {
		return s.keep(reason)
	}
	commitAt := s.commitAt()
	if s.now.Before(commitAt) {
		return s.adapt(commitAt)
	}
	// The share was meant to last until the commit.
	rest := max(s.budget()-float64(s.Exposed), 0)
	if share := rest / max(s.PerSecond*s.order.LimitAt.Sub(s.now).Seconds(), 1); s.record.RampShare == 0 && share*minShareChange < s.record.Share && !s.isReady() {
		return reduce(s.record, s.record.WithShare(share/minShareChange, fmt.Sprintf("%.0f requests may still be exposed", rest)))
	}
	wasMoving := s.record.RampShare > 0
	switch {
	case s.newCount == 0:
		return s.keep("no endpoint of the new version")
	case s.deadline.Sub(s.now) < fullRamp+reportTime:
		return s.keep("too late to move the requests")
	case s.oldCount > 0 && s.Responses < minResponses:
		return s.keep("waits for responses")
	case s.evidence.LogLikelihood >= doubt || wasMoving && s.evidence.LogLikelihood >= 0:
		return s.keep("waits in doubt: " + s.evidence.String())
	case wasMoving && !s.evidence.IsClear() || !s.isReady():
		return s.keep("waits for more responses")
	}
	share := s.partShare()
	return s.step(s.record.WithRamp(share, int(partRamp.Milliseconds()), fmt.Sprintf("no fault in %d responses", s.Responses)))
}

// isReady reports whether the evidence is enough for a part of the requests.
func (s situation) isReady() bool {
	return s.evidence.LogLikelihood < doubt && s.evidence.Clear <= 0 && s.evidence.ClearSlow <= max(s.evidence.ClearSlowLimit, 0)
}

// undecided returns why a version is rolled back that hasn't been shown to be bad.
func (s situation) undecided() string {
	switch {
	case s.newCount == 0:
		return "no endpoint of the new version"
	case s.evidence.LogLikelihood >= doubt:
		return "in doubt at the time limit: " + s.evidence.String()
	case s.Responses < decisiveResponses:
		return fmt.Sprintf("too few responses to decide: %d of the new version", s.Responses)
	case !s.evidence.IsClear():
		return fmt.Sprintf("not shown to be good in %d responses: %s", s.Responses, s.evidence)
	default:
		return "no time was left to move the requests"
	}
}

// unsettled returns why no step may increase the exposure now; empty if one may.
func (s situation) unsettled() string {
	switch {
	case s.now.Sub(s.fleet.HubSince) < settleTime:
		return "waits for the reports of all instances"
	case float64(s.Missing) > maxMissing*float64(s.Live):
		return fmt.Sprintf("no reports of %d of %d instances", s.Missing, s.Live)
	default:
		return ""
	}
}

// finishTime returns the time that requests in flight at old endpoints need to end.
func (s situation) finishTime() time.Duration { return max(s.finish, minFinish) }

// commitAt returns when phase Moving begins.
func (s situation) commitAt() time.Time {
	total := s.order.LimitAt.Sub(s.order.OrderedAt)
	move := max(partTime+fullRamp+reportTime+s.finishTime()+deadlineMargin, minMove)
	move = max(move, min(time.Duration(longMoveShare*float64(total)), maxLongMove))
	return s.order.LimitAt.Add(-min(move, time.Duration(maxMoveShare*float64(total))))
}

// fullAt returns when all requests go to the new version.
func (s situation) fullAt() time.Time {
	return s.deadline.Add(-max(fullRamp+reportTime, min(fullRamp+reportTime+s.finishTime(), s.deadline.Sub(s.commitAt())-partTime)))
}

// budget returns how many requests a bad version may receive until the time limit, at the present
// rate.
func (s situation) budget() float64 {
	rest := s.PerSecond * max(s.order.LimitAt.Sub(s.now).Seconds(), 0)
	return s.bounds.ExposeShare*(float64(s.Arrived)+rest) + float64(s.bounds.ExposeSlack)
}

// adapt returns a step to the share that uses phase Canary's part of the budget by the commit, if
// it differs by much: in a service with few requests, or if the new endpoints were cold.
func (s situation) adapt(commitAt time.Time) Step {
	left := commitAt.Sub(s.now)
	least := s.bounds.ExposeShare * firstShare
	share := lo.Clamp((s.budget()*canaryPart-float64(s.Exposed))/max(s.PerSecond*left.Seconds(), 1), least, maxCanaryShare)
	switch {
	case s.record.RampShare > 0 || s.record.Step > maxShareSteps || left < minShareTime || s.newCount == 0:
	case s.PerSecond == 0 || s.now.Sub(s.order.OrderedAt) < minRateTime || s.evidence.LogLikelihood >= doubt:
	case share >= minShareChange*s.record.Share:
		return s.step(s.record.WithShare(share, fmt.Sprintf("%.3g requests a second", s.PerSecond)))
	case share*minShareChange <= s.record.Share:
		return reduce(s.record, s.record.WithShare(share, fmt.Sprintf("%.3g requests a second", s.PerSecond)))
	}
	return s.keep("tries the new version")
}

// partShare returns the share at the start of phase Moving, which is 1 if even all requests until
// the time limit don't exceed the budget.
func (s situation) partShare() float64 {
	rest := s.budget() - float64(s.Exposed)
	if s.oldCount == 0 || s.PerSecond*s.order.LimitAt.Sub(s.now).Seconds() <= rest {
		return 1
	}
	return lo.Clamp(partPart*rest/max(s.PerSecond*partTime.Seconds(), 1), s.record.Share, 1)
}

// move returns the next step in phase Moving.
func (s situation) move() Step {
	isClear := s.oldCount == 0 || s.evidence.IsClear() && s.evidence.LogLikelihood < suspicion
	isFull := s.record.RampShare >= 1
	isLate := !s.now.Before(s.deadline)
	switch {
	case s.newCount == 0:
		return s.fallBack("no endpoint of the new version")
	case s.evidence.LogLikelihood >= suspicion:
		return s.fallBack("suspicion: " + s.evidence.String())
	case isLate && isFull && isClear:
		return s.step(s.record.WithPhase(Completed, fmt.Sprintf("good in %d responses; %d requests at old endpoints at the deadline", s.Responses, s.InFlightOld)))
	case isLate:
		return s.revert(s.undecided())
	case s.unsettled() != "" && (isFull || s.rest() > 0):
		return s.keep(s.unsettled())
	case s.unsettled() == "" && !isFull && !s.now.Before(s.fullAt()) && isClear && s.evidence.LogLikelihood < doubt && s.deadline.Sub(s.now) >= fullRamp:
		return s.step(s.record.WithRamp(1, int(fullRamp.Milliseconds()), fmt.Sprintf("no fault in %d responses under load", s.Responses)))
	case s.unsettled() == "" && isFull && isClear && s.evidence.LogLikelihood < doubt && s.Missing == 0 && s.Full == s.Live && s.InFlightOld == 0 && s.Live > 0 && s.Responses > 0:
		return s.step(s.record.WithPhase(Completed, fmt.Sprintf("good in %d responses; nothing in flight at old endpoints", s.Responses)))
	case !isFull && s.rest() < 0 && !s.now.Before(s.fullAt()):
		return s.fallBack("no proof of a good version within the exposure: " + s.evidence.String())
	default:
		return s.keep("moves the requests")
	}
}

// rest returns how many more requests may be exposed after those that aren't yet reported.
func (s situation) rest() float64 {
	return s.budget() - float64(s.Exposed) - s.PerSecond*s.record.RampShare*reportTime.Seconds()
}

// fallBack returns the step from phase Moving to phase Canary, or to Reverted if the budget is
// used up.
func (s situation) fallBack(reason string) Step {
	const minRest, fallBackPart = 5, 0.5
	rest := s.rest()
	if rest < minRest || s.now.After(s.deadline) {
		return s.revert(reason + ", and no more requests may be exposed")
	}
	left := max(s.order.LimitAt.Sub(s.now).Seconds(), 1)
	next := s.record.WithPhase(Canary, reason)
	next.Share = min(next.Share, fallBackPart*rest/max(s.PerSecond*left, 1))
	return reduce(s.record, next)
}
