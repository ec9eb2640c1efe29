package hitchbalance

import (
	"math"
	"time"
)

// Parameters of the comparison of endpoints.
const (
	// resultHalfLife is how long a result counts until its weight has halved.
	resultHalfLife = 2 * time.Second
	// confidence is the number of standard deviations by which the share of bad results must stand out.
	confidence = 2.0
	// outlierFactor and outlierMargin are by how much it must exceed the mean of the other endpoints.
	outlierFactor = 2.0
	outlierMargin = 0.05
	// maxOutlierShare is the largest share of a service's endpoints that is passed over at a time.
	maxOutlierShare = 0.5
)

// results are the weights of an endpoint's latest results, which halve with resultHalfLife. The zero value has none.
type results struct {
	good, bad float64
	at        time.Time
}

// with returns the results with one more.
func (r results) with(now time.Time, isBad bool) results {
	r = r.decayed(now)
	if isBad {
		r.bad++
	} else {
		r.good++
	}
	return r
}

// decayed returns the results with their weights at a time.
func (r results) decayed(now time.Time) results {
	factor := math.Exp2(-float64(max(now.Sub(r.at), 0)) / float64(resultHalfLife))
	return results{good: r.good * factor, bad: r.bad * factor, at: now}
}

func (r results) weight() float64 { return r.good + r.bad }

// badShare returns the share of bad results, or 0 if there are none.
func (r results) badShare() float64 {
	if r.weight() == 0 {
		return 0
	}
	return r.bad / r.weight()
}

// leastBadShare returns the lower end of the Wilson score interval of the share of bad results.
func (r results) leastBadShare() float64 {
	n := r.weight()
	if n == 0 {
		return 0
	}
	const z2 = confidence * confidence
	p := r.badShare()
	spread := confidence * math.Sqrt(p*(1-p)/n+z2/(4*n*n))
	return max(p+z2/(2*n)-spread, 0) / (1 + z2/n)
}

// outlier is what this instance knows of an endpoint whose results are worse than those of the others. It is passed
// over and probed as one that has failed is, until its results don't stand out any more. The zero value is none.
type outlier struct {
	results results
	health  health
}

// recordResult records how a request to an endpoint has ended. An endpoint whose results are much worse than those of
// its service's other endpoints of the same version is passed over for a time; one good probe brings it back. A
// service of which most endpoints are bad, or whose requests fail wherever they are sent, keeps all in use.
//
// Load pattern: an endpoint that fails at once has the fewest requests in flight, and draws the requests of all instances.
func (b *Balancer) recordResult(now time.Time, p Pick, e *endpoint, isBad bool) {
	o := &e.outlier
	o.results = o.results.with(now, isBad)
	hasChanged := false
	if isBad && b.isOutlier(now, e) {
		hasChanged = o.health.recordFailure(now, p.sentAt)
	} else {
		hasChanged = o.health.recordResponse(now)
	}
	if hasChanged {
		b.addChange(HealthChange{Endpoint: e.ID, Zone: e.Zone, Failures: o.health.failures, EjectedUntil: o.health.endOfEjection(), BadShare: o.results.badShare()})
	}
}

// isOutlier reports whether an endpoint's results are so much worse than those of the others that it is passed over. Others
// without results count as good: an endpoint that draws all requests leaves them none.
func (b *Balancer) isOutlier(now time.Time, e *endpoint) bool {
	shares, count, passedOver := 0.0, 0, 0
	for _, other := range b.byService[e.Service] {
		if other == e || other.Version != e.Version {
			continue
		}
		count++
		if other.outlier.health.failures > 0 {
			passedOver++
		}
		shares += other.outlier.results.decayed(now).badShare()
	}
	if count == 0 || float64(passedOver+1) > maxOutlierShare*float64(count+1) {
		return false
	}
	return e.outlier.results.decayed(now).leastBadShare() > outlierFactor*shares/float64(count)+outlierMargin
}

// hasRoom reports whether an endpoint has room by its slots and the requests in flight there, and has given no other
// reason to refuse requests: a pause, a quota, or that it leaves.
func (b *Balancer) hasRoom(now time.Time, e *endpoint) bool {
	if notice := b.noticeOf(e); notice.IsLeaving || now.Before(notice.PausedUntil) || !e.heldUntil.IsZero() {
		return false
	}
	return e.slots() > 0 && b.load(now, e) < float64(e.slots())/2
}
