package hitchsoak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

// Requests at which engines crash, and bounds of the guarantee that these don't end one
// engine after the other.
const (
	// crashContactTime is how long after a crash every instance in touch must know of it.
	crashContactTime = 3 * time.Second
	// countedCrashes is the number of crashes by a part after which it must be known, and
	// maxLateArrivals the number of requests with it that may reach engines later.
	countedCrashes  = 5
	maxLateArrivals = 3
	// minSoundRatio is the least share of sound new streams that begin at undisturbed
	// instances once the parts are known.
	minSoundRatio = 0.5
	minSoundCalls = 20
	// crashDownTime is how long a crashed engine is down.
	crashDownTime = 1500 * time.Millisecond
	// crashCallerPause is the mean pause between two such requests of one caller.
	crashCallerPause = 400 * time.Millisecond
	crashCallers     = 2
	crashCallerSeed  = 1 << 13
)

// crashPlanKinds are the kinds of faults beside such requests.
var crashPlanKinds = []FaultKind{
	KillInstance, KillInstance, StopInstance, StopInstance, PauseInstance, ThrottleInstance,
	SilenceStore, PauseStore, CompactStore, RestoreStore,
	CrashEndpoint, CrashEndpoint, CrashEndpoint, LoseAnswers, LoseAnswers, ShedRequests, HangStreams,
}

// newCrashPlan returns faults for a soak of VariantCrashes: one part at which engines crash
// from the start on, another one from a random time on, and random faults.
func newCrashPlan(seed uint64, length time.Duration, instances int) []Fault {
	rng := rand.New(rand.NewPCG(seed, 6))
	end := length - faultFreeEnd
	second := faultFreeStart + time.Duration(rng.Int64N(int64(end-faultFreeStart)/2))
	plan := []Fault{{Kind: CrashingRequests, Begin: faultFreeStart, End: end}, {Kind: CrashingRequests, Begin: second, End: end, Target: 1}}
	if rng.IntN(2) == 0 {
		plan = append(plan, planKillsOfAll(rng, length)...)
	}
	return addEngineFaults(rng, plan, length, meanFaultInterval, instances, func() FaultKind { return crashPlanKinds[rng.IntN(len(crashPlanKinds))] })
}

// crashingPart returns the part of a fault of kind CrashingRequests.
func crashingPart(f Fault) string { return fmt.Sprintf("dead%d", f.Target) }

// crash ends an engine without notice, and starts it again at its address and with its ID
// after crashDownTime.
func (s *engineSet) crash(e *engine) {
	s.mu.Lock()
	slot := slices.Index(s.slots, e)
	isFirst := slot >= 0 && e.until.IsZero()
	s.stopServing(e)
	s.mu.Unlock()
	if !isFirst {
		return
	}
	go e.end()
	time.AfterFunc(crashDownTime, func() {
		next, err := s.startEngine(e.ID, e.Version, e.Addr, e.Born+1)
		if err != nil {
			s.fleet.addProcessFailure(err.Error())
			return
		}
		s.register(slot, next)
	})
}

// runCrashCallers runs the callers whose requests have a part at which engines crash, while
// the plan has faults of that kind.
func (s *Soak) runCrashCallers(ctx context.Context, f *fleet, c *checker, record func(call)) {
	done := make(chan struct{})
	for n := range crashCallers {
		x := &caller{seed: s.Seed<<16 + crashCallerSeed + uint64(n), fleet: f, path: streamPaths[0]}
		go func() {
			defer func() { done <- struct{}{} }()
			x.runCrashing(ctx, c, record)
		}()
	}
	for range crashCallers {
		<-done
	}
}

// runCrashing sends requests with such parts until ctx ends.
func (c *caller) runCrashing(ctx context.Context, checker *checker, record func(call)) {
	rng := rand.New(rand.NewPCG(c.seed, 7))
	c.client.Transport = &http.Transport{MaxIdleConns: maxIdleConns}
	for n := 0; ctx.Err() == nil; n++ {
		sleepUntil(ctx, time.Now().Add(time.Duration(rng.ExpFloat64()*float64(crashCallerPause))))
		parts := checker.crashingParts(time.Now())
		if len(parts) > 0 && c.resolve(ctx, rng) {
			c.part = parts[rng.IntN(len(parts))]
			x := c.sendCall(rng, n)
			x.IsCrashing = true
			record(x)
		}
	}
}

// crashingParts returns the parts at which engines crash at a time.
func (c *checker) crashingParts(at time.Time) (parts []string) {
	for _, f := range c.plan {
		if f.Kind == CrashingRequests && !at.Before(c.start.Add(f.Begin)) && at.Before(c.start.Add(f.End)) {
			parts = append(parts, crashingPart(f))
		}
	}
	return parts
}

// checkCrashes checks that few requests with a part at which engines crash reach them once it
// must be known, and that sound ones are served meanwhile.
func (c *checker) checkCrashes(calls []call, arrivals []hitchstandin.Arrival) (out []Violation, notes []string) {
	instances := make(map[string]string)
	for _, x := range calls {
		instances[x.Attempt] = x.Instance
	}
	byPart := make(map[string][]hitchstandin.Arrival)
	for _, a := range arrivals {
		byPart[a.Part] = append(byPart[a.Part], a)
	}
	for part, list := range byPart {
		fifthAt, count := nthCrash(list, countedCrashes)
		late := 0
		for _, a := range list {
			isLate := !fifthAt.IsZero() && a.At.After(fifthAt.Add(crashContactTime))
			if isLate && c.isInstanceUndisturbed(instances[a.Attempt], a.At.Add(-crashContactTime), a.At) {
				late++
			}
		}
		notes = append(notes, fmt.Sprintf("Crashes Part=%s Arrivals=%d Crashes=%d Late=%d", part, len(list), count, late))
		if late > maxLateArrivals {
			out = append(out, Violation{Guarantee: "EndpointsKeepRunning", Detail: fmt.Sprintf("%d requests with part %s more than %s after %d crashes", late, part, crashContactTime, countedCrashes)})
		}
	}
	slices.Sort(notes)
	violations, note := c.checkSound(calls)
	return append(out, violations...), append(notes, note)
}

// nthCrash returns the time of the nth crash, or the zero time if there are fewer, and the
// number of crashes.
func nthCrash(arrivals []hitchstandin.Arrival, n int) (at time.Time, count int) {
	var crashes []time.Time
	for _, a := range arrivals {
		if !a.CrashAt.IsZero() {
			crashes = append(crashes, a.CrashAt)
		}
	}
	slices.SortFunc(crashes, func(x, y time.Time) int { return cmp.Compare(x.UnixNano(), y.UnixNano()) })
	if len(crashes) >= n {
		at = crashes[n-1]
	}
	return at, len(crashes)
}

// checkSound checks the share of sound new streams that are served at undisturbed instances
// while parts crash engines.
func (c *checker) checkSound(calls []call) (out []Violation, note string) {
	sound, served := 0, 0
	for _, x := range calls {
		isNew := !x.IsCrashing && !x.IsResumption && len(c.crashingParts(x.Begin.Add(-2*crashContactTime))) > 0 && len(c.crashingParts(x.Begin)) > 0
		if isNew && c.isInstanceUndisturbed(x.Instance, x.Begin, x.End) {
			countTry(&sound, &served, x.Status == http.StatusOK)
		}
	}
	if sound >= minSoundCalls && float64(served) < minSoundRatio*float64(sound) {
		out = append(out, Violation{Guarantee: "SoundRequests", Detail: fmt.Sprintf("%d of %d served", served, sound)})
	}
	return out, fmt.Sprintf("Sound Calls=%d Served=%d", sound, served)
}
