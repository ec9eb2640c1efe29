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

// orderRig is two routers that may send orders, a store and engines, in a synctest
// bubble.
type orderRig struct {
	t          *testing.T
	network    hitchfake.Network
	store      hitchfake.Store
	engines    []*hitchfake.Engine
	loops      []*orderLoop
	transports []*pausableTransport
	leaving    [2]atomic.Bool
	version    atomic.Pointer[string]
}

// pausableTransport sends the calls of one router to engines. While it is paused it
// holds orders back, even past their deadline, like a pause of the router's process
// right after its last check.
type pausableTransport struct {
	next    http.RoundTripper
	paused  atomic.Bool
	waiting atomic.Int64
	resume  chan struct{}
}

// RoundTrip sends a request; an order waits while the transport is paused.
func (t *pausableTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method == http.MethodPost && t.paused.Load() {
		t.waiting.Add(1)
		<-t.resume
		r = r.WithContext(context.WithoutCancel(r.Context()))
	}
	return t.next.RoundTrip(r)
}

// withOrderRig runs a test with two routers and engines that should all serve v1.
func withOrderRig(t *testing.T, engines []*hitchfake.Engine, loadsPerMinute int, test func(r *orderRig)) {
	synctest.Test(t, func(t *testing.T) {
		r := &orderRig{t: t, engines: engines}
		defer func() { qt.Check(t, r.network.Close(), qt.IsNil) }()
		r.setDesiredVersion("v1")
		r.network.Serve("store:80", r.store.Handler())
		for i, e := range engines {
			r.network.Serve(fmt.Sprintf("engine-%d:80", i), e.Handler())
		}
		ctx, cancel := context.WithCancel(t.Context())
		node := &Node{}
		for i := range 2 {
			l := r.newLoop(fmt.Sprint("router-", i), loadsPerMinute)
			l.isCandidate = func() bool { return !r.leaving[i].Load() }
			go node.runPeriodically(ctx, orderTickInterval, l.tick)
		}
		test(r)
		cancel()
		synctest.Wait()
	})
}

func (r *orderRig) newLoop(name string, loadsPerMinute int) *orderLoop {
	transport := &pausableTransport{next: r.network.Client().Transport, resume: make(chan struct{})}
	l := &orderLoop{
		self:    hitchfleet.InstanceID(name),
		store:   &hitchstore.Client{Endpoints: []string{"http://store"}, Writer: name, HTTP: r.network.Client()},
		engines: engineClient{http: http.Client{Transport: transport}},
		log:     hclog.NewNullLogger(),
		plan:    func() (orderPlan, bool) { return orderPlan{r.desired(), loadsPerMinute}, true },
	}
	r.loops, r.transports = append(r.loops, l), append(r.transports, transport)
	return l
}

// setDesiredVersion sets the version that all engines should serve.
func (r *orderRig) setDesiredVersion(version string) { r.version.Store(&version) }

func (r *orderRig) desired() []hitchorder.Desired {
	return lo.Map(r.engines, func(e *hitchfake.Engine, i int) hitchorder.Desired {
		name := fmt.Sprint("engine-", i)
		return hitchorder.Desired{
			Endpoint: hitchfleet.Endpoint{ID: hitchfleet.EndpointID(name), Route: "guide-llm", URL: "http://" + name},
			Version:  *r.version.Load(), ChecksFencing: !e.IgnoresFencing, InService: true,
		}
	})
}

// waitFor waits until a condition is true.
func (r *orderRig) waitFor(description string, condition func() bool) {
	r.t.Helper()
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	end := time.NewTimer(10 * time.Minute)
	defer end.Stop()
	for !condition() {
		qt.Assert(r.t, lo.CountBy(r.loops, isHolding) <= 1, qt.IsTrue, qt.Commentf("two routers hold the order lease"))
		select {
		case <-ticker.C:
		case <-end.C:
			r.t.Fatalf("timed out: %s", description)
		}
	}
}

func isHolding(l *orderLoop) bool { return l.grant(time.Now()).Number > 0 }

// countServing counts the engines that serve a version and nothing else.
func (r *orderRig) countServing(version string) int {
	return lo.CountBy(r.engines, func(e *hitchfake.Engine) bool {
		return slices.Equal(e.Models().Versions, []hitchfake.LoadedVersion{{Name: version, Ready: true}})
	})
}

func (r *orderRig) holderIndex() int { return slices.IndexFunc(r.loops, isHolding) }

// newEngines returns n engines with the settings of a template that hold versions.
func newEngines(n int, template *hitchfake.Engine, versions ...string) []*hitchfake.Engine {
	all := make([]*hitchfake.Engine, n)
	for i := range all {
		all[i] = &hitchfake.Engine{IgnoresFencing: template.IgnoresFencing, LoadMillis: template.LoadMillis, Weights: template.Weights}
		all[i].SetLoadedVersions(versions...)
	}
	return all
}

// A holder that is paused between its last check and the sending of an order sends it
// when another router is the holder. Engines that check fencing numbers must reject
// the order; the new holder must restore the others to their desired version.
func TestPausedHolderSendsLateOrder(t *testing.T) {
	tests := map[string]struct{ ignores bool }{
		"engines that check numbers":  {false},
		"engines that ignore numbers": {true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			withOrderRig(t, newEngines(4, &hitchfake.Engine{IgnoresFencing: test.ignores}, "v1"), 600, func(r *orderRig) {
				r.waitFor("a router holds the order lease", func() bool { return r.holderIndex() >= 0 })
				first := r.holderIndex()
				if !test.ignores {
					r.waitFor("all engines have received its number", func() bool {
						return lo.EveryBy(r.engines, func(e *hitchfake.Engine) bool { return len(e.Records().Orders) > 0 })
					})
				}
				r.transports[first].paused.Store(true)
				r.setDesiredVersion("v2")
				r.waitFor("an order is held back", func() bool { return r.transports[first].waiting.Load() > 0 })
				r.setDesiredVersion("v1")
				r.waitFor("the other router holds the order lease", func() bool { return r.holderIndex() == 1-first })
				number := r.loops[1-first].grant(time.Now()).Number
				r.waitFor("engines that check numbers have received the new number", func() bool {
					return test.ignores || lo.EveryBy(r.engines, func(e *hitchfake.Engine) bool {
						return lo.SomeBy(e.Records().Orders, func(o hitchfake.OrderRecord) bool { return o.Order.FencingNumber == number })
					})
				})
				close(r.transports[first].resume)
				late := func(o hitchfake.OrderRecord) bool {
					return o.Order.Kind == hitchfake.OrderUnload && o.Order.FencingNumber < number
				}
				var order hitchfake.OrderRecord
				r.waitFor("the late order arrives", func() bool {
					for _, e := range r.engines {
						if found, ok := lo.Find(e.Records().Orders, late); ok {
							order = found
							return true
						}
					}
					return false
				})
				qt.Assert(t, order.Accepted, qt.Equals, test.ignores)
				r.waitFor("all engines serve v1", func() bool { return r.countServing("v1") == len(r.engines) })
			})
		})
	}
}

// A holder whose lease expires while the store is unavailable must stop by itself, and
// the next holder must have a higher fencing number.
func TestLeaseExpiresWhileStoreIsUnavailable(t *testing.T) {
	withOrderRig(t, newEngines(4, &hitchfake.Engine{}, "v1"), 600, func(r *orderRig) {
		r.waitFor("a router holds the order lease", func() bool { return r.holderIndex() >= 0 })
		number := r.loops[r.holderIndex()].grant(time.Now()).Number
		r.store.Faults.Set(hitchfake.Fault{Kind: hitchfake.FaultUnavailable})
		r.waitFor("no router holds the order lease", func() bool { return r.holderIndex() < 0 })
		r.setDesiredVersion("v2")
		qt.Assert(t, r.countServing("v1"), qt.Equals, len(r.engines))
		r.store.Faults.Set()
		r.waitFor("a router holds the order lease again", func() bool { return r.holderIndex() >= 0 })
		qt.Assert(t, r.loops[r.holderIndex()].grant(time.Now()).Number > number, qt.IsTrue)
		r.waitFor("all engines serve v2", func() bool { return r.countServing("v2") == len(r.engines) })
	})
}

// An order of the previous holder may be in flight for up to OrderTimeout. A holder
// must wait that long before its first order to engines that don't check fencing
// numbers.
func TestNewHolderWaitsForOrdersInFlight(t *testing.T) {
	withOrderRig(t, newEngines(4, &hitchfake.Engine{IgnoresFencing: true}, "v1"), 600, func(r *orderRig) {
		r.setDesiredVersion("v2")
		r.waitFor("a router holds the order lease", func() bool { return r.holderIndex() >= 0 })
		previousOrdersDoneAt := r.loops[r.holderIndex()].grant(time.Now()).PreviousOrdersDoneAt
		qt.Assert(t, time.Until(previousOrdersDoneAt) > hitchorder.OrderTimeout-time.Second, qt.IsTrue)
		r.waitFor("all engines serve v2", func() bool { return r.countServing("v2") == len(r.engines) })
		for _, e := range r.engines {
			for _, o := range e.Records().Orders {
				qt.Check(t, o.At.Before(previousOrdersDoneAt), qt.IsFalse, qt.Commentf("%v", o.Order))
			}
		}
	})
}

// A holder that shuts down must revoke its lease, so that the next one needn't wait
// until it expires.
func TestLeavingHolderRevokesLease(t *testing.T) {
	withOrderRig(t, newEngines(2, &hitchfake.Engine{}, "v1"), 600, func(r *orderRig) {
		r.waitFor("a router holds the order lease", func() bool { return r.holderIndex() >= 0 })
		first := r.holderIndex()
		r.leaving[first].Store(true)
		r.waitFor("the lease is revoked", func() bool {
			entry, err := r.loops[first].store.Get(r.t.Context(), hitchorder.HolderKey)
			return err == nil && (!entry.Exists || r.holderIndex() == 1-first)
		})
		r.waitFor("the other router holds the order lease", func() bool { return r.holderIndex() == 1-first })
	})
}

// Loads must keep to the rate of the configuration, and to Retry-After if the weight
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
			withOrderRig(t, newEngines(5, &hitchfake.Engine{Weights: weights, LoadMillis: 500}), test.loadsPerMinute, func(r *orderRig) {
				var loaded []time.Time
				r.waitFor("all engines serve v1", func() bool {
					if n := r.countServing("v1"); n > len(loaded) {
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
				qt.Check(t, orders <= 2*len(r.engines), qt.IsTrue, qt.Commentf("%d load orders", orders))
			})
		})
	}
}
