package hitchdispatch

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Times to return.
const (
	// minReturnDelay and maxReturnDelay are how long after a rejection its caller may return.
	minReturnDelay = 100 * time.Millisecond
	maxReturnDelay = 10 * time.Second
	// earlyTolerance is how much earlier a caller may return than asked, as ages and times are
	// rounded on the way.
	earlyTolerance = 20 * time.Millisecond
	// promiseTTL is how long after its time a caller that returns goes before new ones.
	promiseTTL = 5 * time.Second
	// maxPromises limits the memory for callers that may return.
	maxPromises = 1 << 14
	// leastSpare is the part of the endpoints' rate with which callers may return at least.
	leastSpare = 0.1
)

// callKey identifies the request of a caller across its repetitions.
type callKey struct {
	organisation hitchfleet.OrganisationID
	call         hitchfleet.Key
}

// promise is what a rejected caller was told.
type promise struct {
	returnAt time.Time
	// order is that of the caller's first request.
	order uint64
	// parked is a request with which the caller returned early, if that may still be served.
	parked *entry
}

// promises are the times that rejected callers were told. The zero value holds none.
type promises struct {
	byCall map[callKey]promise
	// sweepAt is when old promises are forgotten next, once a second.
	sweepAt time.Time
	// lastAt is the last time that was promised for each rank.
	lastAt [rankCount]time.Time
}

// of returns the promise to the caller of a request.
func (p *promises) of(r Request) (promise, bool) {
	if r.Call == 0 {
		return promise{}, false
	}
	known, ok := p.byCall[callKey{r.Organisation, r.Call}]
	return known, ok
}

// keep records a promise.
func (p *promises) keep(now time.Time, e *entry, returnAt time.Time) {
	if e.Call == 0 {
		return
	}
	if p.byCall == nil {
		p.byCall = make(map[callKey]promise)
	}
	if !now.Before(p.sweepAt) {
		p.sweepAt = now.Add(time.Second)
		for key, other := range p.byCall {
			if now.Sub(other.returnAt) > promiseTTL {
				delete(p.byCall, key)
			}
		}
	}
	if len(p.byCall) < maxPromises {
		p.byCall[callKey{e.Organisation, e.Call}] = promise{returnAt: returnAt, order: e.order}
	}
}

// forget forgets the promise to the caller of a request.
func (p *promises) forget(r Request) { delete(p.byCall, callKey{r.Organisation, r.Call}) }

// returnAt returns when the caller of a request that is rejected may return: once those that wait
// are served, one after the other in the order of rejection, at the rate that new requests leave.
func (s *Scheduler) returnAt(now time.Time, e *entry) time.Time {
	rate := max(s.rate(now), leastSpare*s.usualRate())
	rank := min(int(e.Rank), rankCount-1)
	arrivals, waiting, ranks := 0.0, 0, 0
	for n := range s.queue.ranks {
		r := &s.queue.ranks[n]
		if n <= rank {
			arrivals += r.admittedRate(now)
			waiting += r.count()
		}
		if n == rank || s.promises.lastAt[n].After(now) {
			ranks++
		}
	}
	spare := max(rate-arrivals, leastSpare*rate) / float64(ranks)
	first := now.Add(min(max(seconds(float64(waiting)/rate), minReturnDelay), maxReturnDelay/2))
	at := s.promises.lastAt[rank].Add(seconds(1 / spare))
	if at.Before(first) || at.Sub(now) > maxReturnDelay {
		at = first
	}
	s.promises.lastAt[rank] = at
	s.promises.keep(now, e, at)
	return at
}

// usualRate returns the requests per second that all listed endpoints complete at their usual speed.
func (s *Scheduler) usualRate() float64 {
	slots := 1
	for _, p := range s.endpoints {
		slots += p.slots()
	}
	return float64(slots) / s.meanWork().Seconds()
}

// seconds returns a duration in seconds, which may be large.
func seconds(n float64) time.Duration {
	return time.Duration(min(n, maxReturnDelay.Seconds()) * float64(time.Second))
}

// expectedAt returns when the response to a request that waits is expected, if others keep arriving
// as they do.
func (s *Scheduler) expectedAt(now time.Time, e *entry) time.Time {
	rate := s.rate(now)
	if rate == 0 {
		rate = leastSpare * s.usualRate()
	}
	rank := min(int(e.Rank), rankCount-1)
	urgent, urgentRate := 0, 0.0
	for n := range rank {
		urgent += s.queue.ranks[n].count()
		urgentRate += s.queue.ranks[n].admittedRate(now)
	}
	if rank > 0 {
		rate = max(rate-urgentRate, leastRankRate*rate)
	}
	begin := now
	if learned := s.since.Add(learnTime); learned.After(now) {
		begin = learned
	}
	begin = begin.Add(s.meanWork() + s.meanTravel())
	own := &s.queue.ranks[rank]
	if e.line == nil || e.line.lane == &own.timely {
		at := begin.Add(seconds(float64(urgent+own.timely.ahead(e.org)) / rate))
		if !at.After(e.ObjectiveAt) {
			return at
		}
	}
	// A request that misses its objective comes after new ones that may meet theirs.
	ahead := urgent + own.timely.count + own.late.ahead(e.org)
	return begin.Add(seconds(float64(ahead) / max(rate-own.admittedRate(now), rate/lateInterval)))
}

// admittedRate returns how many requests per second of the rank were queued recently.
func (r *rank) admittedRate(now time.Time) float64 {
	return r.admitted.valueAt(now, rankTime) / rankTime.Seconds()
}

// maxWaitDivisor divides the remaining time of a request. The quotient is how long it waits at
// most after its objective is missed.
const maxWaitDivisor = 2

// leastRankRate is the part of the endpoints' rate that a rank gets about at least.
const leastRankRate = 1. / 16

// park keeps a request whose caller returned early until it may return, unless there is another
// one of that caller, or its time is over then. It returns false if it is rejected.
func (s *Scheduler) park(now time.Time, e *entry, known promise) bool {
	if other := known.parked; other != nil && other.state == stateWaiting || known.returnAt.Add(s.meanWork()).After(e.DeadlineAt) {
		return false
	}
	e.org, e.order, e.isReturn, e.isParked = s.organisations.get(now, e.Organisation), known.order, true, true
	known.parked = e
	s.promises.byCall[callKey{e.Organisation, e.Call}] = known
	s.setDue(e, known.returnAt)
	return true
}

// enqueue adds a request to the queue.
func (s *Scheduler) enqueue(now time.Time, e *entry) {
	s.queue.add(now, e)
	s.queue.rankOf(e).admitted.add(now, 1, rankTime)
	s.organisations.rate(now, e.org)
	s.setDue(e, s.giveUpAt(now, e))
}

// giveUpAt returns when a request that waits is rejected: late enough for its objective, and so
// early that its caller can still return in its time.
func (s *Scheduler) giveUpAt(now time.Time, e *entry) time.Time {
	at := now.Add(e.DeadlineAt.Sub(now) / maxWaitDivisor)
	if at.Before(e.lateAt) {
		at = e.lateAt
	}
	if latest := e.DeadlineAt.Add(-s.meanWork() / 2); latest.Before(at) {
		return latest
	}
	return at
}

// unpark adds a request whose caller returned early to the queue.
func (s *Scheduler) unpark(now time.Time, e *entry) {
	e.isParked = false
	s.promises.forget(e.Request)
	s.queue.rankOf(e).arrivals.add(now, 1, rankTime)
	s.enqueue(now, e)
}
