package hitchrollout

import (
	"slices"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Times and limits of tallies.
const (
	// countsTTL is how old the counts of a live instance may be for it to count as present. Two
	// reports may be lost.
	countsTTL = 1500 * time.Millisecond
	// checkpointInterval is the time between the starts of two windows.
	checkpointInterval = time.Second
	// minRateTime is the time over which the rate of requests is measured.
	minRateTime = 1500 * time.Millisecond
	// maxCounted limits the instances that are counted, ended ones included.
	maxCounted = 8192
)

// incarnation identifies an instance from its start to its end.
type incarnation struct {
	id     hitchfleet.InstanceID
	number uint64
}

// received are the newest counts of an incarnation.
type received struct {
	Counts
	at time.Time
}

// Tally sums the counts of all instances for one order, at a hub. The zero value is ready to use.
// Its methods are safe for concurrent use.
type Tally struct {
	mu    sync.Mutex
	order hitchfleet.Revision
	// counts has ended incarnations too: what they saw remains evidence.
	counts map[incarnation]received
	// newest are the newest incarnations.
	newest      map[hitchfleet.InstanceID]uint64
	checkpoints []checkpoint
}

// Add adds the counts of an instance, in place of its earlier ones. Counts of another order than
// the tally's are ignored if they are of an earlier one; those of a later one start it anew.
func (t *Tally) Add(now time.Time, from hitchfleet.InstanceID, number uint64, c Counts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if revision := c.InForce.OrderRevision; revision < t.order {
		return
	} else if revision > t.order || t.counts == nil {
		t.order, t.checkpoints = revision, nil
		t.counts, t.newest = make(map[incarnation]received), make(map[hitchfleet.InstanceID]uint64)
	}
	key := incarnation{from, number}
	previous, ok := t.counts[key]
	// Datagrams may arrive in another order.
	if ok && c.Sequence <= previous.Sequence || !ok && len(t.counts) >= maxCounted {
		return
	}
	t.counts[key] = received{c, now}
	t.newest[from] = max(t.newest[from], number)
	if len(t.checkpoints) == 0 || now.Sub(t.checkpoints[len(t.checkpoints)-1].at) >= checkpointInterval {
		t.checkpoints = append(t.checkpoints, t.sum().checkpoint(now))
		t.prune(now)
	}
}

// prune drops checkpoints so that their ages about double from one to the next but one.
func (t *Tally) prune(now time.Time) {
	for n := 1; n+1 < len(t.checkpoints); n++ {
		if now.Sub(t.checkpoints[n-1].at) <= 2*now.Sub(t.checkpoints[n+1].at) {
			t.checkpoints = slices.Delete(t.checkpoints, n, n+1)
			n--
		}
	}
}

// sums are the counts of all instances together.
type sums struct {
	arrived, exposed int
	durations        buckets
	routes           map[hitchfleet.RouteID]*routeCount
}

// sum returns the present sums.
func (t *Tally) sum() sums {
	s := sums{routes: make(map[hitchfleet.RouteID]*routeCount)}
	for _, c := range t.counts {
		s.arrived += int(c.Arrived)
		s.exposed += int(c.Exposed)
		s.durations.add(c.Durations)
		for _, r := range c.Routes {
			route := s.routes[r.Route]
			if route == nil {
				route = &routeCount{new: make(map[hitchfleet.RunID]*runCount)}
				s.routes[r.Route] = route
			}
			route.old.add(r.Old)
			for _, counts := range r.New {
				run := route.new[counts.Run]
				if run == nil {
					run = &runCount{}
					route.new[counts.Run] = run
				}
				run.add(counts)
			}
		}
	}
	return s
}

// add adds the counts of an instance.
func (r *runCount) add(c RunCounts) {
	r.responses += c.Responses
	r.failures += c.Failures
	for class := range classes {
		r.times[class].add(c.Times[class])
		r.waiting[class].add(c.Waiting[class])
	}
}

// checkpoint is what the sums were at a time, in compact form.
type checkpoint struct {
	at      time.Time
	arrived int
	routes  map[hitchfleet.RouteID]routeCheckpoint
}

type routeCheckpoint struct {
	old RunCounts
	new map[hitchfleet.RunID]RunCounts
}

// checkpoint returns the sums in compact form.
func (s sums) checkpoint(now time.Time) checkpoint {
	c := checkpoint{at: now, arrived: s.arrived, routes: make(map[hitchfleet.RouteID]routeCheckpoint, len(s.routes))}
	for id, route := range s.routes {
		r := routeCheckpoint{old: route.old.counts(0), new: make(map[hitchfleet.RunID]RunCounts, len(route.new))}
		for run, counts := range route.new {
			r.new[run] = counts.counts(run)
		}
		c.routes[id] = r
	}
	return c
}

// rate returns the requests of the service per second.
func (t *Tally) rate(now time.Time, order Order, s sums) float64 {
	since, arrived := order.OrderedAt, 0
	for _, c := range t.checkpoints {
		if now.Sub(c.at) >= minRateTime {
			since, arrived = c.at, c.arrived
		}
	}
	return float64(max(s.arrived-arrived, 0)) / max(now.Sub(since).Seconds(), minRateTime.Seconds())
}

// Summary is what a tally says of the fleet, for decisions and logs.
type Summary struct {
	// Arrived, Exposed and Responses are the requests of the service, the attempts at the new
	// version, and the responses of the new version that are evidence.
	Arrived, Exposed, Responses int
	// PerSecond is the rate of the service's requests.
	PerSecond float64
	// Live is the number of live instances. Missing is that of those without recent counts,
	// InForce that of those that follow the record, Full that of those of them that send all
	// requests to the new version, and InFlightOld what all have in flight at old endpoints.
	Live, Missing, InForce, Full, InFlightOld int
	// OldestAt is the time of the oldest counts of a live instance.
	OldestAt time.Time
	// reverted is set if an instance follows a reverted record, or a stop for all.
	reverted bool
	// finish is how long nearly all requests at old endpoints take.
	finish time.Duration
}

// summary returns the summary for a record.
func (t *Tally) summary(now time.Time, order Order, record Record, live []hitchfleet.InstanceID, s sums) Summary {
	sum := Summary{
		Arrived: s.arrived, Exposed: s.exposed, PerSecond: t.rate(now, order, s), Live: len(live),
		finish: bucketEnd(s.durations.quantile(finishQuantile)),
	}
	for _, route := range s.routes {
		for _, r := range route.new {
			sum.Responses += int(r.responses)
		}
	}
	for _, id := range live {
		c, ok := t.counts[incarnation{id, t.newest[id]}]
		if !ok || now.Sub(c.at) > countsTTL {
			sum.Missing++
			continue
		}
		if sum.OldestAt.IsZero() || c.at.Before(sum.OldestAt) {
			sum.OldestAt = c.at
		}
		sum.InFlightOld += int(c.InFlightOld)
		if c.InForce.Step >= record.Step && c.InForce.Phase == record.Phase {
			sum.InForce++
			if c.InForce.IsFull {
				sum.Full++
			}
		}
		sum.reverted = sum.reverted || c.InForce.Phase == Reverted && c.InForce.Step >= record.Step
	}
	return sum
}
