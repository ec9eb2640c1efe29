package hitchsoak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

// The kinds of faults of endpoints that are processes.
const (
	// PauseProcess suspends an endpoint's process by SIGSTOP for a while.
	PauseProcess FaultKind = iota + firstProcessKind
	// KillProcess kills an endpoint's process by SIGKILL. It starts again at its address.
	KillProcess
)

const firstProcessKind = 230

// repeatPlanKinds are the kinds of faults of a soak of VariantRepeats. A kind that is listed twice is
// twice as frequent.
var repeatPlanKinds = []FaultKind{
	PauseProcess, PauseProcess, PauseProcess, PauseProcess, KillProcess,
	PauseInstance, PauseInstance, KillInstance, StopInstance, ThrottleInstance, PauseStore,
}

// Callers and faults of a soak of VariantRepeats, and the bounds of its checks.
const (
	// bookersPerInstance callers make bookings, and onceCallersPerFleet request streams that may run
	// once. repeatCallerSeed separates their seeds from those of other callers.
	bookersPerInstance  = 3
	onceCallersPerFleet = 8
	repeatCallerSeed    = 1 << 13
	// repeatFaultInterval is the mean time between two faults.
	repeatFaultInterval = 500 * time.Millisecond
	// maxRunOverlap is how long two endpoints may work on one stream.
	maxRunOverlap = 400 * time.Millisecond
	// pauseSettleTime is how long a process that goes on may be late.
	pauseSettleTime = time.Second
	// powerLossTime is how long all processes are down at the end, after powerLossLead without other faults.
	powerLossTime = 1500 * time.Millisecond
	powerLossLead = time.Second
)

// newRepeatPlan returns random faults for a soak of VariantRepeats, at the end of which all instances and endpoints lose
// power. At most half of the instances are affected at a time before.
func newRepeatPlan(seed uint64, length time.Duration, instances int) (plan []Fault) {
	rng := rand.New(rand.NewPCG(seed, 12))
	powerLossAt := length - faultFreeEnd - powerLossTime
	end := powerLossAt - powerLossLead
	busyUntil := make([]time.Duration, bookingProcesses+engineProcesses)
	for at := faultFreeStart; at < end; at += time.Duration(rng.ExpFloat64() * float64(repeatFaultInterval)) {
		f := Fault{Kind: repeatPlanKinds[rng.IntN(len(repeatPlanKinds))], Begin: at}
		f.End = min(at+minFaultDuration+time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration))), end)
		if f.Kind == PauseProcess || f.Kind == KillProcess {
			if f.Target = rng.IntN(len(busyUntil)); at < busyUntil[f.Target] {
				continue
			}
			busyUntil[f.Target] = f.End + time.Second
		} else if f.Target = rng.IntN(instances); countAffectedInstances(plan, f) >= max(instances/2, 1) {
			continue
		}
		if f.Kind == StopInstance && at+hitchstandin.GracePeriod > end {
			continue
		}
		plan = append(plan, f)
	}
	return append(plan, powerLoss(powerLossAt, instances)...)
}

// powerLoss returns the faults by which all instances and endpoints are killed at the same time.
func powerLoss(at time.Duration, instances int) (faults []Fault) {
	for n := range instances {
		faults = append(faults, Fault{Kind: KillInstance, Target: n, Begin: at, End: at + powerLossTime})
	}
	for n := range bookingProcesses + engineProcesses {
		faults = append(faults, Fault{Kind: KillProcess, Target: n, Begin: at, End: at + powerLossTime})
	}
	return faults
}

// runRepeatCallers runs the callers of bookings, and of streams that may run once, until ctx ends.
func (s *Soak) runRepeatCallers(ctx context.Context, f *fleet, record func(call)) {
	var wg sync.WaitGroup
	bookers := bookersPerInstance * s.instances()
	for n := range bookers + onceCallersPerFleet {
		x := &caller{seed: s.Seed<<16 + repeatCallerSeed + uint64(n), fleet: f, path: "/booking/x", sendsAgain: true}
		if n >= bookers {
			x.path = hitchstandin.OncePrefix + "x"
		}
		wg.Go(func() { x.run(ctx, record) })
	}
	wg.Wait()
}

// checkRepeats checks that a stream doesn't go on at an endpoint while the one before still works on it
// for longer than maxRunOverlap.
func (c *checker) checkRepeats(calls []call) (out []Violation, note string) {
	repeated, excused, unheard, longest := 0, 0, 0, time.Duration(0)
	for _, x := range calls {
		runs := c.runLog.Runs(x.Attempt)
		slices.SortFunc(runs, func(a, b hitchstandin.Run) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
		for n := 1; n < len(runs); n++ {
			before, after := runs[n-1], runs[n]
			repeated++
			if after.FirstEventAt.IsZero() || !before.EndedAt.IsZero() && !before.EndedAt.After(after.FirstEventAt.Add(maxRunOverlap)) {
				continue
			}
			if c.isDisturbed(x, before, after) {
				excused++
				continue
			}
			if after.IsLost { // the instance can't know that it has begun
				unheard++
				continue
			}
			longest = max(longest, before.EndedAt.Sub(after.FirstEventAt))
			out = append(out, Violation{Guarantee: "RunsOverlap", Call: x.Attempt, Detail: fmt.Sprintf("%s worked on until %s after the first event at %s; first event after %s, events %d and %d",
				before.Endpoint, before.EndedAt.Sub(after.FirstEventAt), after.Endpoint, after.FirstEventAt.Sub(before.At), before.Events, after.Events)})
		}
	}
	return out, fmt.Sprintf("Repeated=%d OverlapsOfDisturbed=%d OverlapsUnheard=%d Overlaps=%d LongestOverlap=%s", repeated, excused, unheard, len(out), longest)
}

// isDisturbed reports whether a process that took part in two runs stood still or was killed meanwhile,
// or the instance that sent them.
func (c *checker) isDisturbed(x call, before, after hitchstandin.Run) bool {
	end := before.EndedAt
	if end.IsZero() {
		end = c.end
	}
	return slices.ContainsFunc(c.plan, func(f Fault) bool {
		if !c.start.Add(f.Begin).Before(end) || !before.At.Before(c.start.Add(f.End).Add(pauseSettleTime)) {
			return false
		}
		switch f.Kind {
		case PauseProcess, KillProcess:
			name := fmt.Sprintf("p-%d", f.Target)
			return name == before.Endpoint || name == after.Endpoint
		case PauseInstance, KillInstance, StopInstance, ThrottleInstance:
			return c.addrs[f.Target] == x.Instance
		default:
			return false
		}
	})
}
