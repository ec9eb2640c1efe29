package hitchadmit

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The sizes of the simulation: eight routers in front of ten engines, 80
// requests a second.
const (
	simRouters     = 8
	simEngines     = 10
	simFloor       = 4000
	simSeconds     = 120
	simRequestRate = 80
)

// simFleet simulates the placement of requests that each prefer one engine.
// Some engines are preferred far more often than others.
type simFleet struct {
	rng          *rand.Rand
	load         [simEngines]int64
	gossipedLoad [simEngines]int64 // load at the last exchange
	usedByRouter [simRouters][simEngines]int64
	controllers  [simRouters]*Controller
	running      []simWork

	placedCount, placedOnPreferred, aboveBound, refusedCount int
	maxLoadToBound                                           float64
}

type simWork struct {
	id             GrantID
	router, engine int
	cost           int64
	end            time.Time
}

func newSimFleet() *simFleet {
	f := &simFleet{rng: rand.New(rand.NewPCG(20261203, 7))}
	for i, self := range routers(simRouters) {
		fleet := singleRouterView(simEngines)
		fleet.Self, fleet.LiveRouters, fleet.ListedRouters = self.ID, routers(simRouters), simRouters
		f.controllers[i] = &Controller{Limits: Limits{EngineFloor: simFloor}}
		f.controllers[i].SetFleetView(at(-20), fleet, nil)
	}
	for s := -20; s <= 0; s++ {
		f.exchangeLoads(at(float64(s)))
	}
	return f
}

// exchangeLoads runs the periodic exchange of loads, once a second: gossip to
// all routers, and load reports and digests to the owners.
func (f *simFleet) exchangeLoads(now time.Time) {
	f.gossipedLoad = f.load
	for i, c := range f.controllers {
		for e := range simEngines {
			c.ApplyLoadReport(now, LoadReport{Endpoint: engineID(e), AsOf: now, Load: f.load[e]}, nil)
		}
		c.Tick(now, nil)
		for k, other := range f.controllers {
			if k != i {
				other.ApplyDigest(now, c.Digest(now))
			}
		}
	}
}

func sum(loads [simEngines]int64) (total int64) {
	for _, l := range loads {
		total += l
	}
	return total
}

// ownerOf returns the index of an engine's owner.
func ownerOf(engine int) int {
	owner, _ := Owner(engineID(engine), "se-south", routers(simRouters))
	for i, r := range routers(simRouters) {
		if r.ID == owner.ID {
			return i
		}
	}
	return -1
}

// placementPolicies are the compared policies. Each returns the engine for a
// request, or -1 to refuse it.
var placementPolicies = map[string]func(f *simFleet, now time.Time, w simWork) int{
	"static shares": func(f *simFleet, _ time.Time, w simWork) int {
		share := LoadBound(DefaultBoundFactor, simFloor, sum(f.gossipedLoad), w.cost, simEngines) / simRouters
		for k := range simEngines {
			if e := (w.engine + k) % simEngines; f.usedByRouter[w.router][e]+w.cost <= share {
				return e
			}
		}
		return -1
	},
	"two choices on gossip": func(f *simFleet, _ time.Time, w simWork) int {
		bound := LoadBound(DefaultBoundFactor, simFloor, sum(f.gossipedLoad), w.cost, simEngines)
		if f.gossipedLoad[w.engine]+w.cost <= bound {
			return w.engine
		}
		a, b := f.rng.IntN(simEngines), f.rng.IntN(simEngines)
		if f.gossipedLoad[b] < f.gossipedLoad[a] {
			a = b
		}
		return a
	},
	"owner grants": func(f *simFleet, now time.Time, w simWork) int {
		e := w.engine
		for hops := range uint8(MaxHops + 1) {
			req := slotRequest(w.id, e, w.cost)
			req.Hops = hops
			d, _ := f.controllers[ownerOf(e)].RequestSlot(now, req, nil)
			if d.Verdict == Granted {
				return e
			}
			if d.Alternative == "" {
				return -1
			}
			e = engineIndex(d.Alternative)
		}
		return -1
	},
}

func (f *simFleet) run(choose func(f *simFleet, now time.Time, w simWork) int) {
	ids := GrantID(0)
	for step := range simSeconds * simRequestRate {
		now := at(float64(step) / simRequestRate)
		for i := 0; i < len(f.running); i++ {
			if w := f.running[i]; !w.end.After(now) {
				f.load[w.engine] -= w.cost
				f.usedByRouter[w.router][w.engine] -= w.cost
				f.controllers[ownerOf(w.engine)].ReleaseSlot(now, Release{ID: w.id, Endpoint: engineID(w.engine)}, nil)
				f.running[i] = f.running[len(f.running)-1]
				f.running = f.running[:len(f.running)-1]
				i--
			}
		}
		if step%simRequestRate == 0 {
			f.exchangeLoads(now)
		}
		ids++
		// The squared draw prefers the first engines: the first one gets a
		// third of the requests.
		draw := f.rng.Float64()
		w := simWork{id: ids, router: f.rng.IntN(simRouters), engine: int(draw * draw * simEngines), cost: 100 + f.rng.Int64N(400)}
		w.end = now.Add(time.Duration(1+f.rng.IntN(8)) * time.Second)
		f.startWork(w, choose(f, now, w))
	}
}

func (f *simFleet) startWork(w simWork, engine int) {
	if engine < 0 {
		f.refusedCount++
		return
	}
	f.placedCount++
	if engine == w.engine {
		f.placedOnPreferred++
	}
	bound := LoadBound(DefaultBoundFactor, simFloor, sum(f.load), w.cost, simEngines)
	w.engine = engine
	f.load[engine] += w.cost
	f.usedByRouter[w.router][engine] += w.cost
	if f.load[engine] > bound {
		f.aboveBound++
	}
	f.maxLoadToBound = max(f.maxLoadToBound, float64(f.load[engine])/float64(bound))
	f.running = append(f.running, w)
}

func TestOwnerGrantsStayWithinTheBound(t *testing.T) {
	f := newSimFleet()
	f.run(placementPolicies["owner grants"])
	qt.Assert(t, f.aboveBound, qt.Equals, 0)
	qt.Assert(t, f.refusedCount < f.placedCount/200, qt.IsTrue, qt.Commentf("%d of %d", f.refusedCount, f.placedCount)) // requests have no deadline, so none is queued
}

func BenchmarkAdmissionPolicies(b *testing.B) {
	for name, choose := range placementPolicies {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				f := newSimFleet()
				f.run(choose)
				n := float64(f.placedCount + f.refusedCount)
				b.ReportMetric(float64(f.aboveBound)/n, "above-bound")
				b.ReportMetric(f.maxLoadToBound, "worst/bound")
				b.ReportMetric(float64(f.placedOnPreferred)/n, "preferred")
				b.ReportMetric(float64(f.refusedCount)/n, "refused")
			}
		})
	}
}
