package hitchsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

// Bounds of the guarantee that engines get no more requests than they take, from all
// instances together: in each window quotaOverrun times what the quota allows, and
// quotaSlack more, from quotaContactTime after it was first named.
const (
	quotaWindow      = 4 * time.Second
	quotaOverrun     = 1.5
	quotaSlack       = 5
	quotaContactTime = 3 * time.Second
)

// Quotas of a plan.
const (
	minQuotaTime, maxQuotaTime = 6 * time.Second, 14 * time.Second
	meanQuotaInterval          = 2 * time.Second
	// quotaFaultInterval is longer than that of other plans, as requests of disturbed
	// instances don't count.
	quotaFaultInterval = 3 * time.Second
	// busyCallersPerInstance is the number of callers that request short streams, so that
	// engines would get more requests than they take.
	busyCallersPerInstance = 6
	// maxBusyCallers are enough for that in a large fleet.
	maxBusyCallers                       = 48
	busyCallerSeed                       = 1 << 14
	minQuotaPerSecond, maxQuotaPerSecond = 0.5, 4.0
)

// quotaPlanKinds are the kinds of faults beside quotas.
var quotaPlanKinds = []FaultKind{
	KillInstance, KillInstance, StopInstance, StopInstance, PauseInstance, ThrottleInstance,
	SilenceStore, PauseStore, CompactStore, RestoreStore,
	CrashEndpoint, LoseAnswers, ShedRequests, HangStreams, SilenceEndpoint,
}

// runBusyCallers runs the callers of a soak of VariantQuotas until ctx ends.
func (s *Soak) runBusyCallers(ctx context.Context, f *fleet, record func(call)) {
	var wg sync.WaitGroup
	for n := range min(busyCallersPerInstance*s.instances(), maxBusyCallers) {
		x := &caller{seed: s.Seed<<16 + busyCallerSeed + uint64(n), fleet: f, path: streamPaths[0]}
		wg.Go(func() { x.run(ctx, record) })
	}
	wg.Wait()
}

// newQuotaPlan returns faults for a soak of VariantQuotas: times in which engines name a
// quota, some of them at the same time, and random faults.
func newQuotaPlan(seed uint64, length time.Duration, instances int) []Fault {
	rng := rand.New(rand.NewPCG(seed, 8))
	end := length - faultFreeEnd
	var plan []Fault
	if rng.IntN(4) == 0 {
		plan = planKillsOfAll(rng, length)
	}
	busyUntil := make([]time.Duration, engineSlots)
	for at := faultFreeStart; at < end; at += time.Duration(rng.ExpFloat64() * float64(meanQuotaInterval)) {
		f := Fault{Kind: NameQuota, Begin: at, Target: rng.IntN(engineSlots)}
		f.End = min(at+minQuotaTime+time.Duration(rng.Int64N(int64(maxQuotaTime-minQuotaTime))), end)
		if at >= busyUntil[f.Target] {
			busyUntil[f.Target] = f.End
			plan = append(plan, f)
		}
	}
	return addEngineFaults(rng, plan, length, quotaFaultInterval, instances, func() FaultKind { return quotaPlanKinds[rng.IntN(len(quotaPlanKinds))] })
}

// quotaOf returns the quota of a fault of kind NameQuota.
func quotaOf(f Fault) float64 {
	rng := rand.New(rand.NewPCG(uint64(f.Begin), uint64(f.Target)))
	return minQuotaPerSecond + rng.Float64()*(maxQuotaPerSecond-minQuotaPerSecond)
}

// checkQuotas checks that engines get no more requests than they take from undisturbed
// instances.
func (c *checker) checkQuotas(calls []call, log *hitchstandin.QuotaLog) (out []Violation, note string) {
	instances := make(map[string]string)
	for _, x := range calls {
		instances[x.Attempt] = x.Instance
	}
	spans := log.Spans()
	windows := 0
	for _, s := range spans {
		var counted []time.Time
		for _, a := range log.Arrivals(s.Endpoint) {
			isIn := a.At.After(s.From.Add(quotaContactTime)) && (s.To.IsZero() || a.At.Before(s.To))
			if isIn && c.isInstanceUndisturbed(instances[a.Attempt], a.At.Add(-quotaContactTime), a.At) {
				counted = append(counted, a.At)
			}
		}
		allowed := quotaOverrun*quotaWindow.Seconds()*s.PerSecond + quotaSlack
		most := mostWithin(counted, quotaWindow)
		windows += len(counted)
		if float64(most) > allowed {
			out = append(out, Violation{Guarantee: "Quota", Detail: fmt.Sprintf("%s got %d requests in %s at %.1f a second, %.0f allowed, from %.1fs on",
				s.Endpoint, most, quotaWindow, s.PerSecond, allowed, s.From.Sub(c.start).Seconds())})
		}
	}
	return out, fmt.Sprintf("Quotas=%d Counted=%d", len(spans), windows)
}

// mostWithin returns the largest number of times within a window. The times are in order.
func mostWithin(times []time.Time, window time.Duration) (most int) {
	from := 0
	for n, at := range times {
		for at.Sub(times[from]) >= window {
			from++
		}
		most = max(most, n-from+1)
	}
	return most
}
