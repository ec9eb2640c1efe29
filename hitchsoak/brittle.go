package hitchsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

// Brittle engines of a soak, and the bound of the guarantee that they don't fall over for what
// undisturbed instances send them: in each time in which they are brittle at most maxFalls,
// and one for fallDivisor of them.
const (
	brittleSlots       = 5
	brittleQueue       = 10
	brittleMaxRefusals = 4
	maxFalls           = 2
	fallDivisor        = 10
	brittleContactTime = 3 * time.Second
	// minBrittleTime and maxBrittleTime limit the time for which the engines are brittle, and
	// brittlePause is the time between two of these.
	minBrittleTime, maxBrittleTime = 8 * time.Second, 14 * time.Second
	brittlePause                   = 3 * time.Second
)

// newBrittlePlan returns faults for a soak of VariantBrittle: times in which all engines are
// brittle, and random faults.
func newBrittlePlan(seed uint64, length time.Duration, instances int) (plan []Fault) {
	rng := rand.New(rand.NewPCG(seed, 13))
	end := length - faultFreeEnd
	for at := faultFreeStart; at < end-minBrittleTime/2; {
		f := Fault{Kind: BrittleEndpoints, Begin: at}
		f.End = min(at+minBrittleTime+time.Duration(rng.Int64N(int64(maxBrittleTime-minBrittleTime))), end)
		plan = append(plan, f)
		at = f.End + brittlePause
	}
	return addEngineFaults(rng, plan, length, quotaFaultInterval, instances, func() FaultKind { return quotaPlanKinds[rng.IntN(len(quotaPlanKinds))] })
}

// rushEnd returns when the callers end that ask for more than the engines have room for.
func (c *checker) rushEnd() (end time.Time) {
	for _, f := range c.plan {
		if f.Kind == BrittleEndpoints {
			end = c.start.Add(f.End)
		}
	}
	return end
}

// limitEngine gives an engine that starts the slots and the queue of the present time.
func (s *engineSet) limitEngine(e *engine) {
	if s.variant != VariantBrittle {
		return
	}
	e.Brittle = &hitchstandin.Brittle{Slots: brittleSlots, Queue: brittleQueue, MaxRefusals: brittleMaxRefusals}
	s.mu.Lock()
	defer s.mu.Unlock()
	e.Brittle.SetBrittle(s.isBrittle)
	if s.isShort {
		e.Brittle.SetQueue(0)
	}
}

// beBrittle makes all engines brittle, and lets none wait any more after the contact time, until
// the returned function is called.
func (s *engineSet) beBrittle(ctx context.Context) (undo func()) {
	s.setBrittle(true, false)
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		if sleepUntil(ctx, time.Now().Add(brittleContactTime)) {
			s.setBrittle(true, true)
		}
	}()
	return func() {
		cancel()
		s.setBrittle(false, false)
	}
}

// setBrittle sets whether the engines are brittle, and let no request wait.
func (s *engineSet) setBrittle(isBrittle, isShort bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isBrittle, s.isShort = isBrittle, isShort
	queue := brittleQueue
	if isShort {
		queue = 0
	}
	for _, e := range s.all {
		e.Brittle.SetBrittle(isBrittle)
		e.Brittle.SetQueue(queue)
	}
}

// falls returns the falls of all engines.
func (s *engineSet) falls() (falls []hitchstandin.Fall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.all {
		falls = append(falls, e.Brittle.Falls()...)
	}
	return falls
}

// checkFalls checks that few engines fall over for what undisturbed instances send them.
func (c *checker) checkFalls(calls []call, falls []hitchstandin.Fall) (out []Violation, note string) {
	instances := make(map[string]string)
	for _, x := range calls {
		instances[x.Attempt] = x.Instance
	}
	allowed := maxFalls + engineSlots/fallDivisor
	counted := 0
	for _, f := range c.plan {
		if f.Kind != BrittleEndpoints {
			continue
		}
		n := 0
		var times []string
		for _, fall := range falls {
			if c.overlaps(f, fall.At, fall.At) && c.isByUndisturbed(fall, instances) {
				n++
				times = append(times, fall.At.Sub(c.start.Add(f.Begin)).String())
			}
		}
		counted += n
		if n > allowed {
			out = append(out, Violation{Guarantee: "BrittleEndpoints", Detail: fmt.Sprintf("falls from %s to %s, %d allowed, %s after the begin", f.Begin, f.End, allowed, times)})
		}
	}
	return out, fmt.Sprintf("Falls=%d Counted=%d", len(falls), counted)
}

// isByUndisturbed reports whether most of the refused requests before a fall came from undisturbed
// instances.
func (c *checker) isByUndisturbed(fall hitchstandin.Fall, instances map[string]string) bool {
	undisturbed := 0
	for _, attempt := range fall.Refused {
		if c.isInstanceUndisturbed(instances[attempt], fall.At.Add(-brittleContactTime), fall.At) {
			undisturbed++
		}
	}
	return 2*undisturbed > len(fall.Refused)
}
