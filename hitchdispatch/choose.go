package hitchdispatch

import (
	"slices"
	"time"
)

// slowShare is the part of an endpoint's work by which others have to be faster so that a request
// waits for them although it could begin here.
const slowShare = 0.4

// choice is an endpoint for a request.
type choice struct {
	endpoint *endpoint
	// expected is the time until the response, and ahead the number of requests there that have
	// to end before it begins.
	expected time.Duration
	ahead    int
	inFlight int
}

// workOf returns how long a request takes at an endpoint now.
func (s *Scheduler) workOf(now time.Time, p *endpoint) time.Duration {
	base := p.work
	if base == 0 {
		base = s.meanWork()
	}
	return max(time.Duration(float64(base)*p.factor(now)), time.Millisecond)
}

// meanWork returns how long a request takes at the usual speed.
func (s *Scheduler) meanWork() time.Duration {
	if s.work == 0 {
		return usualWork
	}
	return s.work
}

// meanTravel returns the time from the end of a request to the begin of the next one.
func (s *Scheduler) meanTravel() time.Duration {
	if s.travel == 0 {
		return usualTravel
	}
	return s.travel
}

// rate returns how many requests per second the endpoints complete that respond and are warm.
func (s *Scheduler) rate(now time.Time) (perSecond float64) {
	for _, p := range s.endpoints {
		if !p.health.isProbed() && !now.Before(p.ColdUntil) {
			perSecond += float64(p.slots()) / s.workOf(now, p).Seconds()
		}
	}
	return perSecond
}

// choose returns the endpoint that is expected to respond first to a request. It returns false
// if the request waits, and isOnlyThis if others may get a slot nevertheless, as it can't use the
// endpoints with room.
func (s *Scheduler) choose(now time.Time, e *entry) (best choice, ok, isOnlyThis bool) {
	share := s.shareOfSlots(now)
	if share == 0 {
		return choice{}, false, false
	}
	// busyWork is how long work takes at the fastest endpoint without room, and busyRate the rate
	// of all of those.
	var busyWork time.Duration
	var busyRate float64
	var cold *endpoint
	hasRoom, isWarm := false, false
	for _, p := range s.endpoints {
		isTried := slices.Contains(e.Tried, p.run)
		if now.Before(p.ColdUntil) {
			if !isTried && cold == nil && p.inUse < p.slots() && p.maySend(now, e) {
				cold = p
			}
			continue
		}
		isWarm = isWarm || !isTried && !p.health.isProbed()
		work := s.workOf(now, p)
		inFlight := p.inFlight(now, work, s.meanTravel())
		if inFlight >= s.limit(now, p, work, share) {
			if !isTried && !p.health.isProbed() {
				busyRate += float64(p.slots()) / work.Seconds()
				if busyWork == 0 || work < busyWork {
					busyWork = work
				}
			}
			continue
		}
		hasRoom = hasRoom || !p.health.isProbed() || p.mayProbe(now)
		if isTried || !p.maySend(now, e) {
			continue
		}
		c := choice{endpoint: p, inFlight: inFlight, ahead: max(inFlight+1-p.slots(), 0)}
		if p.health.isProbed() && now.Add(3*work).Before(e.ObjectiveAt) {
			return c, true, false
		}
		c.expected = s.expected(now, e, p, c.ahead, work)
		if best.endpoint == nil || c.expected < best.expected {
			best = c
		}
	}
	switch {
	case best.endpoint == nil && !isWarm && cold != nil && s.AllowCold != nil && s.AllowCold(now, cold.run):
		return choice{endpoint: cold, expected: s.meanWork()}, true, false
	case best.endpoint == nil:
		return choice{}, false, hasRoom
	case busyRate > 0:
		// A slow endpoint is used once those that wait would take as long at the others.
		wait := time.Duration(float64(s.queue.count) / busyRate * float64(time.Second))
		if patience := best.expected - busyWork - wait; patience > time.Duration(slowShare*float64(best.expected)) {
			return choice{}, false, !e.MayRepeat
		}
	}
	return best, true, false
}

// expected returns the time until a response of an endpoint that has to end some requests before.
func (s *Scheduler) expected(now time.Time, e *entry, p *endpoint, ahead int, work time.Duration) time.Duration {
	expected := work + work*time.Duration(ahead)/time.Duration(p.slots())
	if e.Zone != p.Zone {
		expected += 2 * zoneTravel
	}
	// A failure costs a second attempt, or the response of a request that mustn't run twice.
	tries := 1 / (1 - min(p.failures.valueAt(now, failureFade), maxFailureShare))
	if !e.MayRepeat {
		tries *= tries * tries
	}
	return time.Duration(float64(expected) * tries)
}

// limit returns how many requests an endpoint may have now.
func (s *Scheduler) limit(now time.Time, p *endpoint, work time.Duration, share float64) int {
	limit := p.limit(now, work, s.meanTravel())
	if share < 1 && now.Sub(p.loadAt) >= loadTTL {
		limit = max(int(float64(p.slots())*share), 1)
	}
	if s.isSecond {
		limit = max(limit-1, 1)
	}
	return limit
}
