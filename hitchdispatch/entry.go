package hitchdispatch

import (
	"time"
)

// Times of requests.
const (
	// rememberTime is how long an answered request is remembered at least, for questions that are
	// sent again or arrive late, and maxRememberTime how long if its deadline is later.
	rememberTime    = 2 * time.Second
	maxRememberTime = 10 * time.Second
	// assignedGrace is how long after its deadline an attempt may still use a slot.
	assignedGrace = 500 * time.Millisecond
)

// state is what has become of a request.
type state uint8

const (
	stateWaiting state = iota
	stateAssigned
	// stateOver is that of requests that were rejected, withdrawn, or have ended.
	stateOver
)

// entry is a request that was submitted.
type entry struct {
	Request
	state state
	// answer is the decision, of kind Assigned or Rejected once there is one.
	answer Decision
	org    *organisation
	// order is that of arrival; a caller that returns keeps that of its first rejection.
	order uint64
	// isReturn is set if the caller returns after a rejection, and isParked if it came early and
	// isn't in the queue yet.
	isReturn, isParked bool
	submittedAt        time.Time
	// lateAt is when the request can no longer meet its objective, and dueAt when it is looked at
	// by Expire.
	lateAt, dueAt time.Time
	endpoint      *endpoint
	// answeredAt is when the instance was told of the endpoint last.
	assignedAt, answeredAt time.Time
	// ahead is the number of requests at the endpoint that had to end before.
	ahead int
	// isAdopted is set if this owner hasn't assigned the slot.
	isAdopted bool
	// isMended is set if the slot was freed without a result. A question that is sent again takes
	// it once more, as it gets the same answer.
	isMended bool

	line                                         *line
	linePosition, objectivePosition, duePosition int
}

// inputs returns what a decision about the request is based on.
func (s *Scheduler) inputs(e *entry, expectedAt time.Time) Inputs {
	return Inputs{Rank: e.Rank, Organisation: e.Organisation, SubmittedAt: e.submittedAt, Waiting: s.queue.count, ExpectedAt: expectedAt}
}

// end ends a request, whose memory is kept for a while.
func (s *Scheduler) end(now time.Time, e *entry) {
	switch e.state {
	case stateWaiting:
		s.queue.remove(e)
	case stateAssigned:
		e.endpoint.inUse--
	case stateOver:
		return
	}
	e.state = stateOver
	s.remember(now, e)
}

// remember keeps a request that is over for a while.
func (s *Scheduler) remember(now time.Time, e *entry) {
	s.setDue(e, now.Add(min(max(e.DeadlineAt.Sub(now), rememberTime), maxRememberTime)))
}

// setDue sets when Expire looks at the request.
func (s *Scheduler) setDue(e *entry, at time.Time) {
	if s.due.isLess == nil {
		s.due = heapOf[*entry]{
			isLess:   func(a, b *entry) bool { return a.dueAt.Before(b.dueAt) },
			position: func(e *entry) *int { return &e.duePosition },
		}
	}
	e.dueAt = at
	s.due.set(e)
}

// reject rejects a request that waits.
func (s *Scheduler) reject(now time.Time, e *entry, reason Reason, expectedAt time.Time) Decision {
	s.end(now, e)
	e.answer = Decision{Key: e.Key, Kind: Rejected, Reason: reason, ReturnAt: s.returnAt(now, e), Inputs: s.inputs(e, expectedAt)}
	s.stats.Rejected[reason]++
	return e.answer
}

// assign gives a request that waits a slot.
func (s *Scheduler) assign(now time.Time, e *entry, c choice) Decision {
	s.queue.serve(now, e)
	s.organisations.use(now, e.org)
	p := c.endpoint
	p.assign(now)
	e.state, e.endpoint, e.assignedAt, e.answeredAt, e.ahead = stateAssigned, p, now, now, c.ahead
	s.setDue(e, e.DeadlineAt.Add(assignedGrace))
	in := s.inputs(e, now.Add(c.expected))
	in.InUse, in.Slots, in.TimePercent, in.TimeAt = c.inFlight, p.slots(), int(p.load.TimePercent), p.loadAt
	e.answer = Decision{Key: e.Key, Kind: Assigned, Run: p.run, Inputs: in}
	s.stats.Assigned++
	return e.answer
}

// dispatch gives the free slots to the requests that come first.
func (s *Scheduler) dispatch(now time.Time) (decisions []Decision) {
	s.queue.age(now)
	var skipped []*entry
	for len(skipped) < maxSkipped {
		e := s.queue.next(now, skipped)
		if e == nil {
			break
		}
		c, ok, isOnlyThis := s.choose(now, e)
		switch {
		case ok:
			decisions = append(decisions, s.assign(now, e, c))
		case isOnlyThis:
			skipped = append(skipped, e)
		default:
			return decisions
		}
	}
	return decisions
}

// maxSkipped limits how many requests that can't use the endpoints with room are passed over.
const maxSkipped = 8
