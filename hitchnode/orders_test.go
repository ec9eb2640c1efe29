package hitchnode

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchfake"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchorder"
	"citronhitch.example/citronhitch/hitchstore"
)

// orderRig is two routers that may give orders, a store and engines, in a bubble.
type orderRig struct {
	t       *testing.T
	network hitchfake.Network
	store   hitchfake.Store
	engines []*hitchfake.Engine
	loops   []*orderLoop
	wires   []*wire
	leaving [2]atomic.Bool
	version atomic.Pointer[string]
}

// wire carries the calls of one router to engines. A held wire keeps orders back,
// past their deadline too, as a pause of the router after its last check would.
type wire struct {
	next    http.RoundTripper
	held    atomic.Bool
	waiting atomic.Int64
	resume  chan struct{}
}

// RoundTrip sends a request, later if the wire is held.
func (w *wire) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method == http.MethodPost && w.held.Load() {
		w.waiting.Add(1)
		<-w.resume
		r = r.WithContext(context.WithoutCancel(r.Context()))
	}
	return w.next.RoundTrip(r)
}

// withOrderRig runs a test with engines that all hold v1.
func withOrderRig(t *testing.T, engines []*hitchfake.Engine, loadsPerMinute int, test func(r *orderRig)) {
	synctest.Test(t, func(t *testing.T) {
		r := &orderRig{t: t, engines: engines}
		defer func() { qt.Check(t, r.network.Close(), qt.IsNil) }()
		r.shall("v1")
		r.network.Serve("store:80", r.store.Handler())
		for i, e := range engines {
			r.network.Serve(fmt.Sprintf("engine-%d:80", i), e.Handler())
		}
		ctx, cancel := context.WithCancel(t.Context())
		node := &Node{}
		for i := range 2 {
			l := r.loop(fmt.Sprint("router-", i), loadsPerMinute)
			l.isCandidate = func() bool { return !r.leaving[i].Load() }
			go node.follow(ctx, orderTick, l.step)
		}
		test(r)
		cancel()
		synctest.Wait()
	})
}

func (r *orderRig) loop(name string, loadsPerMinute int) *orderLoop {
	w := &wire{next: r.network.Client().Transport, resume: make(chan struct{})}
	l := &orderLoop{
		self:    hitchfleet.InstanceID(name),
		store:   &hitchstore.Client{Endpoints: []string{"http://store"}, Writer: name, HTTP: r.network.Client()},
		engines: engineClient{http: http.Client{Transport: w}},
		log:     hclog.NewNullLogger(),
		plan:    func() (orderPlan, bool) { return orderPlan{r.desired(), loadsPerMinute}, true },
	}
	r.loops, r.wires = append(r.loops, l), append(r.wires, w)
	return l
}

// shall sets the version that all engines shall serve.
func (r *orderRig) shall(version string) { r.version.Store(&version) }

func (r *orderRig) desired() []hitchorder.Desired {
	return lo.Map(r.engines, func(e *hitchfake.Engine, i int) hitchorder.Desired {
		name := fmt.Sprint("engine-", i)
		return hitchorder.Desired{
			Endpoint: hitchfleet.Endpoint{ID: hitchfleet.EndpointID(name), Route: "guide-llm", URL: "http://" + name},
			Version:  *r.version.Load(), ChecksFencing: !e.IgnoresFencing, InService: true,
		}
	})
}

// await lets the clock run until a condition holds.
func (r *orderRig) await(what string, holds func() bool) {
	r.t.Helper()
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	end := time.NewTimer(10 * time.Minute)
	defer end.Stop()
	for !holds() {
		qt.Assert(r.t, lo.CountBy(r.loops, isHolding) <= 1, qt.IsTrue, qt.Commentf("two routers may order"))
		select {
		case <-ticker.C:
		case <-end.C:
			r.t.Fatalf("never: %s", what)
		}
	}
}

func isHolding(l *orderLoop) bool { return l.grant(time.Now()).Number > 0 }

// serving counts the engines that serve a version and nothing else.
func (r *orderRig) serving(version string) int {
	return lo.CountBy(r.engines, func(e *hitchfake.Engine) bool {
		return slices.Equal(e.Models().Versions, []hitchfake.HeldVersion{{Name: version, Ready: true}})
	})
}

func (r *orderRig) holder() int { return slices.IndexFunc(r.loops, isHolding) }

// holding returns engines like one, that hold versions.
func holding(n int, engine *hitchfake.Engine, versions ...string) []*hitchfake.Engine {
	all := make([]*hitchfake.Engine, n)
	for i := range all {
		all[i] = &hitchfake.Engine{IgnoresFencing: engine.IgnoresFencing, LoadMillis: engine.LoadMillis, Weights: engine.Weights}
		all[i].Hold(versions...)
	}
	return all
}

// A holder that is paused after its last check sends its order when another router
// holds. Engines that check numbers refuse it; the others are brought back.
func TestPausedHolderWakes(t *testing.T) {
	tests := map[string]struct{ ignores bool }{
		"engines that check numbers":  {false},
		"engines that ignore numbers": {true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			withOrderRig(t, holding(4, &hitchfake.Engine{IgnoresFencing: test.ignores}, "v1"), 600, func(r *orderRig) {
				r.await("a router holds", func() bool { return r.holder() >= 0 })
				first := r.holder()
				if !test.ignores {
					r.await("all engines know its number", func() bool {
						return lo.EveryBy(r.engines, func(e *hitchfake.Engine) bool { return len(e.Records().Orders) > 0 })
					})
				}
				r.wires[first].held.Store(true)
				r.shall("v2")
				r.await("an order waits", func() bool { return r.wires[first].waiting.Load() > 0 })
				r.shall("v1")
				r.await("the other router holds", func() bool { return r.holder() == 1-first })
				number := r.loops[1-first].grant(time.Now()).Number
				r.await("engines that check know the new number", func() bool {
					return test.ignores || lo.EveryBy(r.engines, func(e *hitchfake.Engine) bool {
						return lo.SomeBy(e.Records().Orders, func(o hitchfake.OrderRecord) bool { return o.Order.FencingNumber == number })
					})
				})
				close(r.wires[first].resume)
				late := func(o hitchfake.OrderRecord) bool {
					return o.Order.Kind == hitchfake.OrderUnload && o.Order.FencingNumber < number
				}
				var order hitchfake.OrderRecord
				r.await("the late order arrives", func() bool {
					for _, e := range r.engines {
						if found, ok := lo.Find(e.Records().Orders, late); ok {
							order = found
							return true
						}
					}
					return false
				})
				qt.Assert(t, order.Accepted, qt.Equals, test.ignores)
				r.await("all engines serve v1", func() bool { return r.serving("v1") == len(r.engines) })
			})
		})
	}
}

// A holder whose lease lapses while the store is out stops by itself, and the next
// holder has a higher number.
func TestLeaseLapsesWhileStoreIsOut(t *testing.T) {
	withOrderRig(t, holding(4, &hitchfake.Engine{}, "v1"), 600, func(r *orderRig) {
		r.await("a router holds", func() bool { return r.holder() >= 0 })
		number := r.loops[r.holder()].grant(time.Now()).Number
		r.store.Faults.Set(hitchfake.Fault{Kind: hitchfake.FaultOut})
		r.await("no router holds", func() bool { return r.holder() < 0 })
		r.shall("v2")
		qt.Assert(t, r.serving("v1"), qt.Equals, len(r.engines))
		r.store.Faults.Set()
		r.await("a router holds again", func() bool { return r.holder() >= 0 })
		qt.Assert(t, r.loops[r.holder()].grant(time.Now()).Number > number, qt.IsTrue)
		r.await("all engines serve v2", func() bool { return r.serving("v2") == len(r.engines) })
	})
}

// An order of the holder before may be on its way for as long as OrderFlight. Where
// engines don't check numbers, a holder waits that long before its first order.
func TestHolderWaitsOutOrdersOnTheirWay(t *testing.T) {
	withOrderRig(t, holding(4, &hitchfake.Engine{IgnoresFencing: true}, "v1"), 600, func(r *orderRig) {
		r.shall("v2")
		r.await("a router holds", func() bool { return r.holder() >= 0 })
		clearAt := r.loops[r.holder()].grant(time.Now()).PreviousOrdersDoneAt
		qt.Assert(t, time.Until(clearAt) > hitchorder.OrderTimeout-time.Second, qt.IsTrue)
		r.await("all engines serve v2", func() bool { return r.serving("v2") == len(r.engines) })
		for _, e := range r.engines {
			for _, o := range e.Records().Orders {
				qt.Check(t, o.At.Before(clearAt), qt.IsFalse, qt.Commentf("%v", o.Order))
			}
		}
	})
}

// A holder that leaves gives its lease back: the next one doesn't wait for its end.
func TestLeavingHolderGivesItsLeaseBack(t *testing.T) {
	withOrderRig(t, holding(2, &hitchfake.Engine{}, "v1"), 600, func(r *orderRig) {
		r.await("a router holds", func() bool { return r.holder() >= 0 })
		first := r.holder()
		r.leaving[first].Store(true)
		r.await("the lease is gone", func() bool {
			entry, err := r.loops[first].store.Get(r.t.Context(), hitchorder.HolderKey)
			return err == nil && (!entry.Exists || r.holder() == 1-first)
		})
		r.await("the other router holds", func() bool { return r.holder() == 1-first })
	})
}

// Loads keep to the rate of the configuration, and to Retry-After where the weight
// store allows fewer.
func TestWeightStoreLimit(t *testing.T) {
	tests := map[string]struct {
		loadsPerMinute int
		perSecond      float64
		gap            time.Duration
	}{
		"the configuration's rate":        {12, 10, 5 * time.Second},
		"the weight store allows fewer":   {60, 0.05, 20 * time.Second},
		"the weight store allows as many": {6, 0.1, 10 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			weights := &hitchfake.Weights{PerSecond: test.perSecond}
			withOrderRig(t, holding(5, &hitchfake.Engine{Weights: weights, LoadMillis: 500}), test.loadsPerMinute, func(r *orderRig) {
				var loaded []time.Time
				r.await("all engines serve v1", func() bool {
					if n := r.serving("v1"); n > len(loaded) {
						loaded = append(loaded, time.Now())
					}
					return len(loaded) == len(r.engines)
				})
				for i := 1; i < len(loaded); i++ {
					qt.Check(t, loaded[i].Sub(loaded[i-1]) >= test.gap-200*time.Millisecond, qt.IsTrue)
				}
				orders := lo.SumBy(r.engines, func(e *hitchfake.Engine) int {
					return lo.CountBy(e.Records().Orders, func(o hitchfake.OrderRecord) bool { return o.Order.Kind == hitchfake.OrderLoad })
				})
				qt.Check(t, orders <= 2*len(r.engines), qt.IsTrue, qt.Commentf("%d loads were tried", orders))
			})
		})
	}
}
