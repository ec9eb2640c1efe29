package hitchmeasure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchdev"
	"citronhitch.example/citronhitch/hitchfake"
)

// Interval and duration of the faults that are injected at random.
const (
	faultInterval    = 700 * time.Millisecond
	faultDuration    = 1500 * time.Millisecond
	faultDelayMillis = 300 // milliseconds
)

// faultInjector injects random faults into a fleet. A fault starts each faultInterval
// and most last faultDuration, so up to three overlap.
type faultInjector struct {
	fleet      *hitchdev.Fleet
	random     *rand.Rand
	minRouters int // no router is killed or stopped at this number

	mu     sync.Mutex
	counts map[string]int
}

func newFaultInjector(fleet *hitchdev.Fleet, seed uint64) *faultInjector {
	return &faultInjector{fleet: fleet, random: rand.New(rand.NewPCG(seed, 7)), minRouters: 4, counts: make(map[string]int)}
}

// injection is one fault. start starts it and clear, if not nil, ends it.
type injection struct {
	name  string
	start func(ctx context.Context) error
	clear func()
}

// run injects faults until ctx is done, and returns once all faults have ended.
func (c *faultInjector) run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(faultInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		next := c.randomInjection()
		group.Go(func() { c.inject(ctx, next) })
	}
}

func (c *faultInjector) inject(ctx context.Context, s injection) {
	if err := s.start(ctx); err != nil {
		return
	}
	c.mu.Lock()
	c.counts[s.name]++
	c.mu.Unlock()
	if s.clear == nil {
		return
	}
	timer := time.NewTimer(faultDuration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	s.clear()
}

// randomInjection returns a random fault.
func (c *faultInjector) randomInjection() injection {
	store := &c.fleet.Store().Faults
	services := c.fleet.Services()
	service := &services[c.random.IntN(len(services))].Service.Faults
	clearFaults := func(f *hitchfake.Faults) func() { return func() { f.Set() } }
	set := func(f *hitchfake.Faults, fault hitchfake.Fault) func(context.Context) error {
		return func(context.Context) error {
			f.Set(fault)
			return nil
		}
	}
	all := []injection{
		{"KillRouter", c.killRouter, nil},
		{"StopRouter", c.stopRouter, nil},
		{"StoreOut", set(store, hitchfake.Fault{Kind: hitchfake.FaultUnavailable}), clearFaults(store)},
		{"StoreLosesAnswers", set(store, hitchfake.Fault{Kind: hitchfake.FaultDropResponses, Share: 0.3}), clearFaults(store)},
		{"StoreSlow", set(store, hitchfake.Fault{Kind: hitchfake.FaultSlow, Millis: faultDelayMillis}), clearFaults(store)},
		{"StoreLateWrites", set(store, hitchfake.Fault{Kind: hitchfake.FaultDelayWrite, Millis: faultDelayMillis, Share: 0.3}), clearFaults(store)},
		{"ServiceSilentAfterRun", set(service, hitchfake.Fault{Kind: hitchfake.FaultHang, AfterRun: true, Share: 0.5}), clearFaults(service)},
		{"ServiceCutBeforeRun", set(service, hitchfake.Fault{Kind: hitchfake.FaultDisconnect, Share: 0.5}), clearFaults(service)},
		{"ServiceCutAfterRun", set(service, hitchfake.Fault{Kind: hitchfake.FaultDisconnect, AfterRun: true, Share: 0.5}), clearFaults(service)},
		{"ServiceCrossed", set(service, hitchfake.Fault{Kind: hitchfake.FaultSwapResponse, Share: 0.5}), clearFaults(service)},
	}
	return all[c.random.IntN(len(all))]
}

// killRouter kills a router and starts another.
func (c *faultInjector) killRouter(ctx context.Context) error {
	routers := c.fleet.Routers()
	if len(routers) <= c.minRouters {
		return errTooFewRouters
	}
	c.fleet.KillRouter(routers[0])
	_, err := c.fleet.AddRouter(ctx)
	return err
}

// stopRouter stops a router gracefully and starts another.
func (c *faultInjector) stopRouter(ctx context.Context) error {
	routers := c.fleet.Routers()
	if len(routers) <= c.minRouters {
		return errTooFewRouters
	}
	if _, err := c.fleet.AddRouter(ctx); err != nil {
		return err
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), fleetStopTimeout)
	defer cancel()
	return c.fleet.StopRouter(stopCtx, routers[1])
}

// errTooFewRouters is returned if the fleet has only the minimum number of routers.
var errTooFewRouters = fmt.Errorf("no router to stop: the fleet has the minimum number of routers")

// notes returns how often each fault was injected.
func (c *faultInjector) notes() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []string
	for name, n := range c.counts {
		all = append(all, fmt.Sprintf("Fault=%s Struck=%d", name, n))
	}
	sort.Strings(all)
	return all
}
