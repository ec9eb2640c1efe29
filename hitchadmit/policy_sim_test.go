package hitchadmit

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The sizes of the trial: eight routers before ten engines, 80 requests a second.
const (
	trialRouters = 8
	trialEngines = 10
	trialFloor   = 4000
	trialSeconds = 120
	trialRate    = 80
)

// trialFleet places requests that each prefer one engine, some engines being
// preferred by far more than others.
type trialFleet struct {
	rng     *rand.Rand
	load    [trialEngines]int64
	gossip  [trialEngines]int64 // loads as of the last second
	held    [trialRouters][trialEngines]int64
	owners  [trialRouters]*Owners
	running []trialWork

	placed, preferred, above, refused int
	worst                             float64
}

type trialWork struct {
	id             GrantID
	router, engine int
	cost           int64
	end            time.Time
}

func newTrialFleet() *trialFleet {
	f := &trialFleet{rng: rand.New(rand.NewPCG(20261203, 7))}
	for i, self := range routers(trialRouters) {
		m := alone(trialEngines)
		m.Self, m.Live, m.Listed = self.ID, routers(trialRouters), trialRouters
		f.owners[i] = &Owners{Limits: Limits{EngineFloor: trialFloor}}
		f.owners[i].SetMembers(at(-20), m, nil)
	}
	for s := -20; s <= 0; s++ {
		f.second(at(float64(s)))
	}
	return f
}

// second spreads loads: by gossip to all, and by digests between owners.
func (f *trialFleet) second(now time.Time) {
	f.gossip = f.load
	for i, o := range f.owners {
		for e := range trialEngines {
			o.Report(now, LoadReport{Endpoint: engineID(e), AsOf: now, Load: f.load[e]}, nil)
		}
		o.Tick(now, nil)
		for k, other := range f.owners {
			if k != i {
				other.Learn(now, o.Digest(now))
			}
		}
	}
}

func sum(loads [trialEngines]int64) (total int64) {
	for _, l := range loads {
		total += l
	}
	return total
}

// ownerOf is the index of an engine's owner.
func ownerOf(engine int) int {
	owner, _ := Owner(engineID(engine), "se-south", routers(trialRouters))
	for i, r := range routers(trialRouters) {
		if r.ID == owner.ID {
			return i
		}
	}
	return -1
}

// Each policy returns the engine for a request, or -1.
var trialPolicies = map[string]func(f *trialFleet, now time.Time, w trialWork) int{
	"static shares": func(f *trialFleet, _ time.Time, w trialWork) int {
		share := Bound(DefaultBoundFactor, trialFloor, sum(f.gossip), w.cost, trialEngines) / trialRouters
		for k := range trialEngines {
			if e := (w.engine + k) % trialEngines; f.held[w.router][e]+w.cost <= share {
				return e
			}
		}
		return -1
	},
	"two choices on gossip": func(f *trialFleet, _ time.Time, w trialWork) int {
		bound := Bound(DefaultBoundFactor, trialFloor, sum(f.gossip), w.cost, trialEngines)
		if f.gossip[w.engine]+w.cost <= bound {
			return w.engine
		}
		a, b := f.rng.IntN(trialEngines), f.rng.IntN(trialEngines)
		if f.gossip[b] < f.gossip[a] {
			a = b
		}
		return a
	},
	"owner grants": func(f *trialFleet, now time.Time, w trialWork) int {
		e := w.engine
		for hops := range uint8(MaxHops + 1) {
			a := askFor(w.id, e, w.cost)
			a.Hops = hops
			d, _ := f.owners[ownerOf(e)].Ask(now, a, nil)
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

func (f *trialFleet) run(choose func(f *trialFleet, now time.Time, w trialWork) int) {
	ids := GrantID(0)
	for step := range trialSeconds * trialRate {
		now := at(float64(step) / trialRate)
		for i := 0; i < len(f.running); i++ {
			if w := f.running[i]; !w.end.After(now) {
				f.load[w.engine] -= w.cost
				f.held[w.router][w.engine] -= w.cost
				f.owners[ownerOf(w.engine)].Release(now, Release{ID: w.id, Endpoint: engineID(w.engine)}, nil)
				f.running[i] = f.running[len(f.running)-1]
				f.running = f.running[:len(f.running)-1]
				i--
			}
		}
		if step%trialRate == 0 {
			f.second(now)
		}
		ids++
		// The squared draw prefers the first engines: a third want the first one.
		draw := f.rng.Float64()
		w := trialWork{id: ids, router: f.rng.IntN(trialRouters), engine: int(draw * draw * trialEngines), cost: 100 + f.rng.Int64N(400)}
		w.end = now.Add(time.Duration(1+f.rng.IntN(8)) * time.Second)
		f.place(w, choose(f, now, w))
	}
}

func (f *trialFleet) place(w trialWork, engine int) {
	if engine < 0 {
		f.refused++
		return
	}
	f.placed++
	if engine == w.engine {
		f.preferred++
	}
	bound := Bound(DefaultBoundFactor, trialFloor, sum(f.load), w.cost, trialEngines)
	w.engine = engine
	f.load[engine] += w.cost
	f.held[w.router][engine] += w.cost
	if f.load[engine] > bound {
		f.above++
	}
	f.worst = max(f.worst, float64(f.load[engine])/float64(bound))
	f.running = append(f.running, w)
}

func TestOwnerGrantsKeepTheBound(t *testing.T) {
	f := newTrialFleet()
	f.run(trialPolicies["owner grants"])
	qt.Assert(t, f.above, qt.Equals, 0)
	qt.Assert(t, f.refused < f.placed/200, qt.IsTrue, qt.Commentf("%d of %d", f.refused, f.placed)) // none may wait
}

func BenchmarkAdmissionPolicies(b *testing.B) {
	for name, choose := range trialPolicies {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				f := newTrialFleet()
				f.run(choose)
				n := float64(f.placed + f.refused)
				b.ReportMetric(float64(f.above)/n, "above-bound")
				b.ReportMetric(f.worst, "worst/bound")
				b.ReportMetric(float64(f.preferred)/n, "preferred")
				b.ReportMetric(float64(f.refused)/n, "refused")
			}
		})
	}
}
