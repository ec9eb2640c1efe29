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

// Times of the faults that are struck at random.
const (
	chaosEvery    = 700 * time.Millisecond
	chaosDuration = 1500 * time.Millisecond
	chaosSlow     = 300 // milliseconds
)

// chaos strikes a fleet with faults at random, up to two at a time.
type chaos struct {
	fleet   *hitchdev.Fleet
	random  *rand.Rand
	minimum int // routers that are left

	mu     sync.Mutex
	counts map[string]int
}

func newChaos(fleet *hitchdev.Fleet, seed uint64) *chaos {
	return &chaos{fleet: fleet, random: rand.New(rand.NewPCG(seed, 7)), minimum: 4, counts: make(map[string]int)}
}

// strike is one fault: begin starts it and end, if not nil, heals it.
type strike struct {
	name  string
	begin func(ctx context.Context) error
	end   func()
}

// run strikes until ctx is done, and returns once all faults are healed.
func (c *chaos) run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(chaosEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		one := c.draw()
		group.Go(func() { c.carryOut(ctx, one) })
	}
}

func (c *chaos) carryOut(ctx context.Context, s strike) {
	if err := s.begin(ctx); err != nil {
		return
	}
	c.mu.Lock()
	c.counts[s.name]++
	c.mu.Unlock()
	if s.end == nil {
		return
	}
	timer := time.NewTimer(chaosDuration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	s.end()
}

// draw returns a fault at random.
func (c *chaos) draw() strike {
	store := &c.fleet.Store().Faults
	services := c.fleet.Services()
	service := &services[c.random.IntN(len(services))].Service.Faults
	heal := func(f *hitchfake.Faults) func() { return func() { f.Set() } }
	set := func(f *hitchfake.Faults, fault hitchfake.Fault) func(context.Context) error {
		return func(context.Context) error {
			f.Set(fault)
			return nil
		}
	}
	all := []strike{
		{"KillRouter", c.killRouter, nil},
		{"StopRouter", c.stopRouter, nil},
		{"StoreOut", set(store, hitchfake.Fault{Kind: hitchfake.FaultUnavailable}), heal(store)},
		{"StoreLosesAnswers", set(store, hitchfake.Fault{Kind: hitchfake.FaultDropResponses, Share: 0.3}), heal(store)},
		{"StoreSlow", set(store, hitchfake.Fault{Kind: hitchfake.FaultSlow, Millis: chaosSlow}), heal(store)},
		{"StoreLateWrites", set(store, hitchfake.Fault{Kind: hitchfake.FaultDelayWrite, Millis: chaosSlow, Share: 0.3}), heal(store)},
		{"ServiceSilentAfterRun", set(service, hitchfake.Fault{Kind: hitchfake.FaultHang, AfterRun: true, Share: 0.5}), heal(service)},
		{"ServiceCutBeforeRun", set(service, hitchfake.Fault{Kind: hitchfake.FaultDisconnect, Share: 0.5}), heal(service)},
		{"ServiceCutAfterRun", set(service, hitchfake.Fault{Kind: hitchfake.FaultDisconnect, AfterRun: true, Share: 0.5}), heal(service)},
		{"ServiceCrossed", set(service, hitchfake.Fault{Kind: hitchfake.FaultSwapResponse, Share: 0.5}), heal(service)},
	}
	return all[c.random.IntN(len(all))]
}

// killRouter ends a router at once and starts another.
func (c *chaos) killRouter(ctx context.Context) error {
	routers := c.fleet.Routers()
	if len(routers) <= c.minimum {
		return errTooFew
	}
	c.fleet.KillRouter(routers[0])
	_, err := c.fleet.AddRouter(ctx)
	return err
}

// stopRouter stops a router gracefully and starts another.
func (c *chaos) stopRouter(ctx context.Context) error {
	routers := c.fleet.Routers()
	if len(routers) <= c.minimum {
		return errTooFew
	}
	if _, err := c.fleet.AddRouter(ctx); err != nil {
		return err
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), fleetStopLimit)
	defer cancel()
	return c.fleet.StopRouter(stopCtx, routers[1])
}

// errTooFew says that no router can be spared.
var errTooFew = fmt.Errorf("too few routers are left")

// notes returns how often each fault was struck.
func (c *chaos) notes() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []string
	for name, n := range c.counts {
		all = append(all, fmt.Sprintf("Fault=%s Struck=%d", name, n))
	}
	sort.Strings(all)
	return all
}
