package hitchdispatch

import (
	"math"
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Times of endpoints.
const (
	// usualWork is how long work takes until that is known.
	usualWork = 30 * time.Millisecond
	// zoneTravel is how much longer a message takes to another zone, each way.
	zoneTravel = 1400 * time.Microsecond
	// usualTravel is the time from the end of a request to the begin of the next one in its slot,
	// while messages travel, until that is known, and maxTravel what is believed.
	usualTravel = 8 * time.Millisecond
	maxTravel   = 20 * time.Millisecond
	// endpointTravel is how long a response and the next request travel between endpoint and
	// instance.
	endpointTravel = 3 * time.Millisecond
	// timeFade is how fast the time figure of an endpoint loses its meaning: machines are slow for
	// about 0.6 s.
	timeFade = 400 * time.Millisecond
	// loadTTL is how long a load that an endpoint reported counts.
	loadTTL = 150 * time.Millisecond
	// refusalTime is how long an endpoint that refused a request as full gets less.
	refusalTime = 150 * time.Millisecond
	// failureFade is how fast failures of an endpoint are forgotten, and maxFailureShare the share
	// that is believed.
	failureFade     = 2 * time.Second
	maxFailureShare = 0.9
	// firstSuspension is how long an endpoint gets nothing after its connections were lost, until
	// it gets a single request. Each further loss doubles it up to maxSuspension.
	firstSuspension = 50 * time.Millisecond
	maxSuspension   = time.Second
	// anyProbeDelay is how long a request that may run twice is awaited for that.
	anyProbeDelay = time.Second
)

// spareRequests is by how many requests more than the mean an endpoint may have beyond its slots, as
// requests don't end evenly. With more, urgent ones that come later wait for them.
const spareRequests = 1

// Weights of new measurements.
const (
	workWeight    = 0.05
	travelWeight  = 0.02
	failureWeight = 0.1
	// maxWorkRatio limits a measurement to a multiple of the mean: one of a hundred requests takes
	// five times as long.
	maxWorkRatio = 4
)

// endpoint is a run of an endpoint.
type endpoint struct {
	hitchfleet.Endpoint
	run hitchfleet.RunID
	// inUse counts the assigned requests, and assignedAt holds the times of the last ones.
	inUse      int
	assignedAt [64]time.Time
	assigned   int // since the start; the index of the next one in assignedAt
	// load is what the endpoint said last, at loadAt.
	load   Load
	loadAt time.Time
	// work is how long requests take at the usual speed; 0 if unknown.
	work time.Duration
	// failures is the share of recent failures.
	failures counter
	// refusals counts the recent refusals, which end at refusedUntil.
	refusals     int
	refusedUntil time.Time
	health       health
}

// health is whether an endpoint responds.
type health struct {
	// lostBy are the instances whose connections were lost since the last response.
	lostBy []hitchfleet.InstanceID
	// losses counts the suspensions since the last response. The present one began at
	// suspendedAt and ends at suspendedUntil, when a single request is sent.
	losses                      int
	suspendedAt, suspendedUntil time.Time
}

// isProbed reports whether the endpoint gets a single request at a time.
func (h *health) isProbed() bool { return h.losses > 0 }

// lose records the loss of a connection of an attempt that began at assignedAt. The loss of a
// single instance's connections may be its own fault.
func (h *health) lose(now, assignedAt time.Time, from hitchfleet.InstanceID) {
	if h.isProbed() && assignedAt.Before(h.suspendedAt) {
		return
	}
	if !slices.Contains(h.lostBy, from) && len(h.lostBy) < 2 {
		h.lostBy = append(h.lostBy, from)
	}
	if len(h.lostBy) < 2 && !h.isProbed() {
		return
	}
	h.losses++
	h.suspendedAt, h.suspendedUntil = now, now.Add(min(firstSuspension<<min(h.losses-1, 5), maxSuspension))
}

// respond records a response to an attempt that began at assignedAt.
func (h *health) respond(assignedAt time.Time) {
	if !h.isProbed() || assignedAt.After(h.suspendedAt) {
		*h = health{}
	}
}

// mayProbe reports whether a single request may be sent to an endpoint whose connections were lost.
func (p *endpoint) mayProbe(now time.Time) bool {
	return p.inUse == 0 && !now.Before(p.health.suspendedUntil)
}

// maySend reports whether a request may be sent to the endpoint as far as its health is concerned.
func (p *endpoint) maySend(now time.Time, e *entry) bool {
	return !p.health.isProbed() || p.mayProbe(now) && (e.MayRepeat || now.Sub(p.health.suspendedUntil) >= anyProbeDelay)
}

// slots returns the number of the endpoint's slots.
func (p *endpoint) slots() int {
	if p.load.Slots > 0 {
		return int(p.load.Slots)
	}
	return max(p.Slots, 1)
}

// limit returns how many requests the endpoint may have: its slots, and as many as wait there
// while a message about a free slot and its answer travel.
func (p *endpoint) limit(now time.Time, work, travel time.Duration) int {
	slots := p.slots()
	spare := spareRequests + int(math.Ceil(float64(slots)*float64(travel+endpointTravel)/float64(work)))
	limit := slots + min(spare, 2*slots)
	if now.Before(p.refusedUntil) {
		limit = max(slots>>min(p.refusals, 4), 1)
	}
	return limit
}

// factor returns how much longer than usual work takes now.
func (p *endpoint) factor(now time.Time) float64 {
	if p.load.TimePercent == 0 {
		return 1
	}
	return 1 + (float64(p.load.TimePercent)/100-1)*fading(now.Sub(p.loadAt), timeFade)
}

// inFlight returns how many requests the endpoint has. If it reported fewer than were assigned,
// the ends of some were lost, and if more, it has some that weren't assigned here.
func (p *endpoint) inFlight(now time.Time, work, travel time.Duration) int {
	age := now.Sub(p.loadAt)
	if p.load.Slots == 0 || age >= loadTTL {
		return p.inUse
	}
	reported := int(p.load.Running) + int(p.load.Waiting)
	if reported+travelAllowance < p.inUse {
		return min(p.inUse, reported+p.assignedSince(p.loadAt.Add(-travel)))
	}
	// The figures may include the request that has just ended.
	if others := reported - 1 - p.inUse; others > 1 {
		return p.inUse + int(float64(others)*max(0, 1-float64(age)/float64(work)))
	}
	return p.inUse
}

// travelAllowance is by how many requests a report may be lower, as they are on their way.
const travelAllowance = 2

// assignedSince counts the assignments after a time.
func (p *endpoint) assignedSince(since time.Time) (n int) {
	for n < min(p.assigned, len(p.assignedAt)) && p.assignedAt[(p.assigned-1-n)%len(p.assignedAt)].After(since) {
		n++
	}
	return n
}

// assign records an assigned request.
func (p *endpoint) assign(now time.Time) {
	p.inUse++
	p.assignedAt[p.assigned%len(p.assignedAt)] = now
	p.assigned++
}

// observe records a load that the endpoint reported at a time.
func (p *endpoint) observe(at time.Time, l Load) {
	if !l.IsZero() && at.After(p.loadAt) {
		p.load, p.loadAt = l, at
	}
}

// refuse records that the endpoint refused a request as it was full.
func (p *endpoint) refuse(now time.Time) {
	if !now.Before(p.refusedUntil) {
		p.refusals = 0
	}
	p.refusals++
	p.refusedUntil = now.Add(refusalTime)
}

// fail records whether an attempt failed.
func (p *endpoint) fail(now time.Time, isFailed bool) {
	share := p.failures.valueAt(now, failureFade) * (1 - failureWeight)
	if isFailed {
		share += failureWeight
	}
	p.failures = counter{share, now}
}

// mean moves a mean towards a new value.
func mean(old, value time.Duration, weight float64) time.Duration {
	return old + time.Duration(float64(value-old)*weight)
}
