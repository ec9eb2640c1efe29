package hitchsoak

import (
	"math/rand/v2"
	"time"
)

// The kinds of faults that only soaks with engines have. Their numbers are apart from
// those of the other kinds, on whose count the plans of NewPlan depend.
const (
	// ReplaceEndpoints starts endpoints of another version and then takes as many out of
	// the store, which end some time later.
	ReplaceEndpoints FaultKind = iota + firstVersionKind
	// RestartAtAddress ends an endpoint without notice. Another one, with another ID and
	// version, starts at its address.
	RestartAtAddress
	// RestartSameID ends an endpoint without notice. It starts again with its ID and its
	// address, but with another version.
	RestartSameID
	// KillAllInstances kills all processes together by SIGKILL and starts them again.
	KillAllInstances
	// CrashingRequests are requests of callers at which endpoints crash.
	CrashingRequests
	// CrashEndpoint ends an endpoint without notice. It starts again at its address, with its
	// ID.
	CrashEndpoint
	// BrittleEndpoints makes all endpoints say that they don't bear to refuse many requests.
	BrittleEndpoints
	// NameQuota makes an endpoint name how many requests a second it takes.
	NameQuota
)

const firstVersionKind = 200

// engineKindNames are the names of these kinds in reports.
var engineKindNames = map[FaultKind]string{
	ReplaceEndpoints: "ReplaceEndpoints", RestartAtAddress: "RestartAtAddress",
	RestartSameID: "RestartSameID", KillAllInstances: "KillAllInstances",
	CrashingRequests: "CrashingRequests", CrashEndpoint: "CrashEndpoint", NameQuota: "NameQuota",
	BrittleEndpoints: "BrittleEndpoints", PauseProcess: "PauseProcess", KillProcess: "KillProcess",
}

// versionPlanKinds are the kinds of such a plan. A kind that is listed twice is twice as
// frequent.
var versionPlanKinds = []FaultKind{
	ReplaceEndpoints, ReplaceEndpoints, ReplaceEndpoints, RestartAtAddress, RestartAtAddress,
	KillInstance, KillInstance, StopInstance, PauseInstance, PauseInstance, ThrottleInstance,
	SilenceStore, PauseStore, CompactStore, RestoreStore,
	SilenceEndpoint, PauseEndpoint, HangStreams, HangStreams, LoseAnswers, ShedRequests,
}

const (
	// sameIDShare is the share of RestartSameID, which is rare.
	sameIDShare = 1.0 / 40
	// minKillAllInterval and maxKillAllInterval limit the time between two kills of all
	// processes.
	minKillAllInterval = 12 * time.Second
	maxKillAllInterval = 24 * time.Second
	// killAllDuration is the time for which they are down.
	killAllDuration = time.Second
)

// newVersionPlan returns random faults for a soak of VariantVersions. Faults may overlap,
// but unless all instances are killed together, at most half of them are affected at a time.
// The same arguments give the same plan.
func newVersionPlan(seed uint64, length time.Duration, instances int) []Fault {
	rng := rand.New(rand.NewPCG(seed, 5))
	return addEngineFaults(rng, planKillsOfAll(rng, length), length, meanFaultInterval, instances, func() FaultKind {
		kind := versionPlanKinds[rng.IntN(len(versionPlanKinds))]
		if rng.Float64() < sameIDShare {
			kind = RestartSameID
		}
		return kind
	})
}

// addEngineFaults adds random faults of the kinds that pickKind returns to a plan, with a mean
// interval between them.
func addEngineFaults(rng *rand.Rand, plan []Fault, length, interval time.Duration, instances int, pickKind func() FaultKind) []Fault {
	for at := faultFreeStart; at < length-faultFreeEnd; at += time.Duration(rng.ExpFloat64() * float64(interval)) {
		f := Fault{Kind: pickKind(), Begin: at}
		switch f.Kind {
		case CompactStore, RestoreStore:
		case KillInstance, StopInstance, PauseInstance, ThrottleInstance, SilenceStore, PauseStore:
			f.Target = rng.IntN(instances)
		default:
			f.Target = rng.IntN(engineSlots)
		}
		f.End = min(at+minFaultDuration+time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration))), length-faultFreeEnd)
		if isInstanceFault(f.Kind) && (countAffectedInstances(plan, f) >= max(instances/2, 1) || overlapsKillOfAll(plan, f)) {
			continue
		}
		plan = append(plan, f)
	}
	return plan
}

// planKillsOfAll returns the kills of all instances, the last of which ends the faults.
func planKillsOfAll(rng *rand.Rand, length time.Duration) (plan []Fault) {
	for end := length - faultFreeEnd; end-killAllDuration > faultFreeStart; end -= minKillAllInterval + time.Duration(rng.Int64N(int64(maxKillAllInterval-minKillAllInterval))) {
		plan = append(plan, Fault{Kind: KillAllInstances, Begin: end - killAllDuration, End: end})
	}
	return plan
}

// overlapsKillOfAll reports whether all instances are killed during the effect of a fault.
func overlapsKillOfAll(plan []Fault, f Fault) bool {
	for _, other := range plan {
		if other.Kind == KillAllInstances && other.Begin < f.effectEnd() && f.Begin < other.effectEnd() {
			return true
		}
	}
	return false
}
