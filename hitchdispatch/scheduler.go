// Package hitchdispatch decides which request gets the next slot of a service that has few of them
// for many instances, and at which endpoint. It has no socket, clock or goroutine: the owner of
// the service's queue passes in the questions of instances, the results of attempts and the time,
// and sends the decisions.
//
//	var s hitchdispatch.Scheduler
//	s.SetEndpoints(now, endpoints)
//	for _, d := range s.Submit(now, request) {
//		// ... send d to d.From ...
//	}
//	// ... once the attempt has ended ...
//	decisions := s.Complete(now, result)
package hitchdispatch

import (
	"slices"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Scheduler holds the queue of a service. The zero value has no endpoints. Its methods are safe
// for concurrent use. Those that return decisions may return some for other requests than the
// one that they were called for.
type Scheduler struct {
	// AllowCold reports whether an endpoint in cold start takes one more request now, which it
	// then counts. Such an endpoint gets requests only if there is none that is warm. Nil
	// refuses all. It is called with the lock held, and set before the first call.
	AllowCold func(now time.Time, run hitchfleet.RunID) bool

	mu        sync.Mutex
	endpoints []*endpoint
	// removed are endpoints with requests that are no longer listed. Their entries may return.
	removed []*endpoint
	askers  map[hitchfleet.InstanceID]*asker
	// due holds all requests by the time at which Expire looks at them.
	due           heapOf[*entry]
	queue         queue
	organisations organisations
	promises      promises
	// lastOrder counts the requests.
	lastOrder uint64
	// work and travel are the means of all endpoints; 0 if unknown.
	work, travel time.Duration
	// since is when this instance began to decide, and submittedAt when it was asked last.
	since, submittedAt time.Time
	isSecond, isNew    bool
	stats              Stats
}

// Times after this instance has begun to decide.
const (
	// learnTime is how long a new owner assigns nothing, as the instances still use slots of the
	// last one, and settleTime how long it assigns half of the slots, as some haven't asked since.
	learnTime  = 150 * time.Millisecond
	settleTime = 1200 * time.Millisecond
	// silentTime is after how long without questions the owner of a queue may have been another.
	silentTime = 4 * time.Second
	// recheckInterval is how often the queue is looked at while requests wait.
	recheckInterval = 5 * time.Millisecond
	// maxWaiting and maxEntries limit the memory for waiting requests and for all that are
	// remembered, of about 700 bytes each.
	maxWaiting = 1 << 13
	maxEntries = 1 << 14
	// minAskDelay and maxAskDelay are after how long an instance asks again for a request that
	// waits.
	minAskDelay = 100 * time.Millisecond
	maxAskDelay = 500 * time.Millisecond
)

// SetEndpoints replaces the endpoints of the service. Those that leave get no further requests.
func (s *Scheduler) SetEndpoints(now time.Time, endpoints []hitchfleet.Endpoint) []Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := append(slices.Clone(s.endpoints), s.removed...)
	next := make([]*endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		if e.Leaving {
			continue
		}
		p := &endpoint{run: e.Run()}
		if n := slices.IndexFunc(known, func(other *endpoint) bool { return other.run == p.run }); n >= 0 {
			p = known[n]
		}
		p.Endpoint = e
		next = append(next, p)
	}
	s.endpoints = next
	s.removed = slices.DeleteFunc(known, func(p *endpoint) bool { return p.inUse == 0 || slices.Contains(next, p) })
	return s.dispatch(now)
}

// SetSecond records whether this instance decides in place of an owner that is listed but doesn't
// respond. It then leaves one slot of each endpoint to that one, and learns anew after each time
// without questions.
func (s *Scheduler) SetSecond(now time.Time, isSecond bool) []Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isNew = s.isNew || s.isSecond != isSecond
	s.isSecond = isSecond
	return s.dispatch(now)
}

// begin records a question. The owner learns anew if another instance may have decided since the
// last one.
func (s *Scheduler) begin(now time.Time) {
	if s.since.IsZero() || (s.isNew || s.isSecond) && now.Sub(s.submittedAt) >= silentTime {
		s.since = now
	}
	s.isNew, s.submittedAt = false, now
}

// shareOfSlots returns the part of the slots that are assigned at endpoints that haven't said
// recently what they have.
func (s *Scheduler) shareOfSlots(now time.Time) float64 {
	switch age := now.Sub(s.since); {
	case age < learnTime:
		return 0
	case age < settleTime:
		return 0.5
	}
	return 1
}

// Submit adds a request to the queue. One with a known key is the same request sent again, and
// gets the same answer. The holding that comes with a question is passed to Hold after that.
func (s *Scheduler) Submit(now time.Time, r Request) []Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begin(now)
	a := s.asker(now, r.From)
	if e := a.entries[r.ID]; e != nil {
		decisions := s.dispatch(now)
		if answer, ok := s.repeat(now, e); ok && !contains(decisions, r.Key) {
			decisions = append(decisions, answer)
		}
		return decisions
	}
	s.lastOrder++
	e := &entry{Request: r, order: s.lastOrder, submittedAt: now, lateAt: r.ObjectiveAt.Add(-s.meanWork())}
	if s.due.Len() >= maxEntries {
		s.stats.Rejected[ReasonQueueFull]++
		return []Decision{{Key: r.Key, Kind: Rejected, Reason: ReasonQueueFull, ReturnAt: s.returnAt(now, e), Inputs: s.inputs(e, time.Time{})}}
	}
	a.entries[r.ID] = e
	if known, ok := s.promises.of(r); ok {
		if now.Add(earlyTolerance).Before(known.returnAt) {
			if s.park(now, e, known) {
				if r.Repeats > 0 {
					return []Decision{s.queued(now, e)}
				}
				return nil
			}
			return []Decision{s.rejectEarly(now, e, known)}
		}
		s.promises.forget(r)
		e.isReturn, e.order = true, known.order
	}
	s.queue.rankOf(e).arrivals.add(now, 1, rankTime)
	if !s.hasUntried(r) {
		return []Decision{s.reject(now, e, ReasonNoEndpoint, time.Time{})}
	}
	if s.queue.count >= maxWaiting {
		return []Decision{s.reject(now, e, ReasonQueueFull, time.Time{})}
	}
	e.org = s.organisations.get(now, r.Organisation)
	s.enqueue(now, e)
	decisions := s.dispatch(now)
	if e.state != stateWaiting {
		return decisions
	}
	if expectedAt := s.expectedAt(now, e); !e.isReturn && expectedAt.After(r.DeadlineAt) || !now.Before(e.dueAt) {
		s.queue.rankOf(e).admitted.add(now, -1, rankTime)
		return append(decisions, s.reject(now, e, ReasonNoTime, expectedAt))
	}
	if r.Repeats > 0 {
		decisions = append(decisions, s.queued(now, e))
	}
	return decisions
}

// contains reports whether one of the decisions is about a request.
func contains(decisions []Decision, key Key) bool {
	return slices.ContainsFunc(decisions, func(d Decision) bool { return d.Key == key })
}

// hasUntried reports whether there is an endpoint that a request hasn't tried.
func (s *Scheduler) hasUntried(r Request) bool {
	return slices.ContainsFunc(s.endpoints, func(p *endpoint) bool { return !slices.Contains(r.Tried, p.run) })
}

// repeat returns the answer to a question that was sent again, and false if none is needed.
func (s *Scheduler) repeat(now time.Time, e *entry) (Decision, bool) {
	if e.state == stateWaiting {
		return s.queued(now, e), true
	}
	if e.isMended {
		if p := s.endpoint(e.endpoint.run); p != nil {
			e.endpoint = p
		} else if !slices.Contains(s.removed, e.endpoint) {
			s.removed = append(s.removed, e.endpoint)
		}
		e.endpoint.assign(now)
		e.state, e.isMended = stateAssigned, false
		s.setDue(e, e.DeadlineAt.Add(assignedGrace))
	}
	e.answeredAt = now
	return e.answer, e.answer.Kind != 0
}

// queued returns the answer to a question for a request that waits.
func (s *Scheduler) queued(now time.Time, e *entry) Decision {
	expectedAt := s.expectedAt(now, e)
	delay := min(max(expectedAt.Sub(now), minAskDelay), maxAskDelay)
	return Decision{Key: e.Key, Kind: Queued, AskAt: now.Add(delay), Inputs: s.inputs(e, expectedAt)}
}

// rejectEarly rejects a request whose caller was told to return later.
func (s *Scheduler) rejectEarly(now time.Time, e *entry, known promise) Decision {
	e.state = stateOver
	s.remember(now, e)
	e.answer = Decision{Key: e.Key, Kind: Rejected, Reason: ReasonEarly, ReturnAt: known.returnAt, Inputs: s.inputs(e, time.Time{})}
	s.stats.Rejected[ReasonEarly]++
	return e.answer
}

// Complete records that an attempt ended, and frees its slot.
func (s *Scheduler) Complete(now time.Time, r Result) []Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.asker(now, r.From).entries[r.ID]
	if e == nil {
		// The ID is remembered, as a holding of before may arrive later.
		e = s.addEnded(now, r.Key)
	}
	if p := s.endpoint(r.Run); p != nil {
		s.learn(now, p, e, r)
	}
	s.end(now, e)
	e.isMended = false
	return s.dispatch(now)
}

// addEnded adds an ended request with an unknown key.
func (s *Scheduler) addEnded(now time.Time, key Key) *entry {
	e := &entry{Request: Request{Key: key}, state: stateOver, assignedAt: now, submittedAt: now, isAdopted: true}
	s.asker(now, key.From).entries[key.ID] = e
	s.remember(now, e)
	return e
}

// learn records what the result of an attempt says about its endpoint.
func (s *Scheduler) learn(now time.Time, p *endpoint, e *entry, r Result) {
	isOwn := e.state == stateAssigned && !e.isAdopted && e.endpoint == p
	assignedAt, respondedAt := now.Add(-r.Elapsed), now
	if isOwn {
		assignedAt = e.assignedAt
		// The message about the result may be late, and clocks differ.
		if r.Elapsed > 0 {
			if at := assignedAt.Add(r.Elapsed + s.meanTravel()/2); at.Before(now) {
				respondedAt = at
			}
			if travel := now.Sub(assignedAt) - r.Elapsed; travel > 0 && travel <= maxTravel {
				s.travel = mean(s.meanTravel(), travel, travelWeight)
			}
		}
	}
	p.observe(respondedAt, r.Load)
	switch r.Outcome {
	case OutcomeOK:
		p.health.respond(assignedAt)
		p.fail(now, false)
		if isOwn && r.Elapsed > 0 {
			s.learnWork(now, p, e, r.Elapsed)
		}
	case OutcomeFailed:
		p.health.respond(assignedAt)
		p.fail(now, true)
	case OutcomeRefused:
		p.health.respond(assignedAt)
		p.refuse(now)
	case OutcomeLost:
		p.health.lose(now, assignedAt, r.From)
	case OutcomeTimedOut:
		p.fail(now, true)
	}
}

// learnWork records how long a request took.
func (s *Scheduler) learnWork(now time.Time, p *endpoint, e *entry, elapsed time.Duration) {
	work := time.Duration(float64(elapsed) / p.factor(now))
	// The wait for requests that were there before doesn't belong to the work.
	work = work * time.Duration(p.slots()) / time.Duration(p.slots()+e.ahead)
	work = min(work, maxWorkRatio*s.meanWork())
	s.work = mean(s.meanWork(), work, workWeight)
	if p.work == 0 {
		p.work = s.meanWork()
	}
	p.work = mean(p.work, work, workWeight)
}

// Withdraw removes a request whose caller left, or whose slot the instance doesn't want any
// longer and hasn't used. A later Submit with the same key is ignored.
func (s *Scheduler) Withdraw(now time.Time, key Key) []Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.asker(now, key.From).entries[key.ID]
	if e == nil {
		s.addEnded(now, key)
		return nil
	}
	s.end(now, e)
	e.answer, e.isMended = Decision{}, false
	return s.dispatch(now)
}

// Hold records what an instance uses, and frees the slots of attempts whose end was lost.
func (s *Scheduler) Hold(now time.Time, from hitchfleet.InstanceID, h Holding) []Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hold(now, from, h)
	return s.dispatch(now)
}

// Observe records the load of an endpoint at a time, that was learned without a result, such as
// from a digest.
func (s *Scheduler) Observe(now, at time.Time, run hitchfleet.RunID, l Load) []Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.endpoint(run); p != nil {
		p.observe(at, l)
	}
	return s.dispatch(now)
}

// Expire rejects the requests that can no longer be served within their time, and forgets what is
// over. It is called at NextAt, or every few milliseconds.
func (s *Scheduler) Expire(now time.Time) (decisions []Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	decisions = s.dispatch(now)
	for e, ok := s.due.first(); ok && !now.Before(e.dueAt); e, ok = s.due.first() {
		switch e.state {
		case stateWaiting:
			if e.isParked {
				s.unpark(now, e)
				continue
			}
			decisions = append(decisions, s.reject(now, e, ReasonExpired, s.expectedAt(now, e)))
		case stateAssigned:
			s.end(now, e)
			s.stats.Mended++
		case stateOver:
			s.due.remove(e)
			delete(s.askers[e.From].entries, e.ID)
		}
	}
	return append(decisions, s.dispatch(now)...)
}

// NextAt returns when Expire has something to do next, and false if never.
func (s *Scheduler) NextAt(now time.Time) (at time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.due.first()
	switch {
	case s.queue.count > 0 && (!ok || e.dueAt.Sub(now) > recheckInterval):
		return now.Add(recheckInterval), true
	case ok:
		return e.dueAt, true
	}
	return time.Time{}, false
}

// Stats are counts and sizes for metrics and logs.
type Stats struct {
	// Waiting, InUse and Slots are present numbers.
	Waiting, InUse, Slots int
	// Assigned and Rejected count decisions since the start, the latter by reason.
	Assigned uint64
	Rejected [ReasonQueueFull + 1]uint64
	// Mended counts slots that were freed without a result.
	Mended uint64
}

// Stats returns the present counts.
func (s *Scheduler) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Waiting = s.queue.count
	for _, p := range s.endpoints {
		stats.InUse += p.inUse
		stats.Slots += p.slots()
	}
	return stats
}
