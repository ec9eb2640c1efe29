// Package hitchsoak runs instances as separate processes against stand-ins of the
// store and the endpoints, injects faults from outside the processes, and checks the
// responses that callers get against the runs that endpoints log.
//
//	report, err := (&hitchsoak.Soak{Seed: 7, Instances: 4, Program: os.Args[0]}).Run(ctx)
package hitchsoak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// FaultKind is the kind of a fault.
type FaultKind uint8

// The kinds of faults.
const (
	// KillInstance kills a process by SIGKILL and starts it again.
	KillInstance FaultKind = iota
	// StopInstance stops a process by SIGTERM and starts it again. It is a planned
	// restart and must not interrupt any request.
	StopInstance
	// PauseInstance suspends a process by SIGSTOP for a while.
	PauseInstance
	// SilenceEndpoint stops all data on an endpoint's open connections permanently,
	// without closing them.
	SilenceEndpoint
	// PauseEndpoint delays all data to and from an endpoint for a while.
	PauseEndpoint
	// SilenceStore stops all data on an instance's open connections to the store
	// permanently, without closing them.
	SilenceStore
	// PauseStore delays all data between an instance and the store for a while.
	PauseStore
	// CompactStore deletes the store's history.
	CompactStore
	// LoseAnswers makes an endpoint run requests without sending the responses.
	LoseAnswers
	// ShedRequests makes an endpoint refuse requests for a while.
	ShedRequests
	// LeaveEndpoint deletes an endpoint's entry from the store and writes it again.
	LeaveEndpoint
	// RevokeKey revokes an organisation's key and restores it.
	RevokeKey
	// HangStreams makes an endpoint's streams stop in their middle for a while.
	HangStreams
	// ThrottleInstance gives a process a part of its processor time for a while, in turns
	// with other faults of the same process.
	ThrottleInstance
	// ReloadInstance sends SIGHUP to a process.
	ReloadInstance
	// StopAgain sends SIGTERM to a process only if it is already stopping.
	StopAgain
	// RestoreStore takes the store away for a while, and restores it from a copy that is
	// some seconds old.
	RestoreStore
	// AnnounceLeave makes an endpoint say in each response that it leaves, while its entry
	// stays as it is.
	AnnounceLeave
	// AskForPause makes an endpoint refuse requests and ask for a pause.
	AskForPause
	// FallSilentBeforeAnswer makes a sound endpoint silent for 1 to 2 s before answers that
	// aren't streamed, and then go on.
	FallSilentBeforeAnswer
	// FallSilentBeforeFirstEvent makes a sound endpoint silent before the first events of
	// streams.
	FallSilentBeforeFirstEvent
	// FallSilentInStream makes a sound endpoint silent in the middle of streams.
	FallSilentInStream
	// SpoilAnswers makes an endpoint spoil a part of its answers.
	SpoilAnswers
	// ChangeConfigs writes several versions of the configuration a second.
	ChangeConfigs
	// ReloadSeries changes the settings file of a process and sends it SIGHUP several times a
	// second.
	ReloadSeries
	faultKindCount
)

// String returns the kind's name as it is printed in reports.
func (k FaultKind) String() string {
	if name, ok := engineKindNames[k]; ok {
		return name
	}
	return [...]string{
		"KillInstance", "StopInstance", "PauseInstance", "SilenceEndpoint", "PauseEndpoint", "SilenceStore",
		"PauseStore", "CompactStore", "LoseAnswers", "ShedRequests", "LeaveEndpoint", "RevokeKey",
		"HangStreams", "ThrottleInstance", "ReloadInstance", "StopAgain", "RestoreStore",
		"AnnounceLeave", "AskForPause", "FallSilentBeforeAnswer", "FallSilentBeforeFirstEvent", "FallSilentInStream",
		"SpoilAnswers", "ChangeConfigs", "ReloadSeries",
	}[k]
}

// Fault is one fault of a plan.
type Fault struct {
	Kind FaultKind
	// Begin and End are relative to the soak's start.
	Begin, End time.Duration
	// Target is the index of the instance, endpoint or organisation.
	Target int
}

// String returns the fault as it is printed in reports.
func (f Fault) String() string {
	return fmt.Sprintf("Fault=%s Target=%d Begin=%.1fs End=%.1fs", f.Kind, f.Target, f.Begin.Seconds(), f.End.Seconds())
}

// Durations of a plan.
const (
	// faultFreeStart and faultFreeEnd are periods without faults, in which the fleet
	// starts and recovers.
	faultFreeStart = 2 * time.Second
	faultFreeEnd   = 8 * time.Second
	// meanFaultInterval is the mean time between the starts of two faults.
	meanFaultInterval = 700 * time.Millisecond
	// minFaultDuration and maxFaultDuration limit the duration of a fault.
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 4 * time.Second
)

// NewPlan returns random faults of a set for a soak. Faults may overlap, but at most half of
// the instances are affected at a time. The same arguments give the same plan.
func NewPlan(set FaultSet, seed uint64, length time.Duration, instances, endpoints, organisations int) []Fault {
	rng := rand.New(rand.NewPCG(seed, 1))
	targets := map[FaultKind]int{
		KillInstance: instances, StopInstance: instances, PauseInstance: instances,
		SilenceStore: instances, PauseStore: instances, CompactStore: 1, RestoreStore: 1, RevokeKey: organisations,
		ThrottleInstance: instances, ReloadInstance: instances, StopAgain: instances,
		ChangeConfigs: 1, ReloadSeries: instances,
	}
	var plan []Fault
	for at := faultFreeStart; at < length-faultFreeEnd; at += time.Duration(rng.ExpFloat64() * float64(meanFaultInterval)) {
		f := Fault{Kind: set.randomKind(rng), Begin: at}
		n, ok := targets[f.Kind]
		if !ok {
			n = endpoints
		}
		f.Target = rng.IntN(n)
		f.End = min(at+f.Kind.randomDuration(rng), length-faultFreeEnd)
		if isInstanceFault(f.Kind) && countAffectedInstances(plan, f) >= max(instances/2, 1) {
			continue
		}
		plan = append(plan, f)
	}
	return plan
}

// isInstanceFault reports whether a fault affects a process.
func isInstanceFault(k FaultKind) bool {
	return k == KillInstance || k == StopInstance || k == PauseInstance
}

// maxRestartTime is the maximum time a stopped instance takes to end and start again.
const maxRestartTime = 9 * time.Second

// effectEnd returns when the effect of a fault ends.
func (f Fault) effectEnd() time.Duration {
	switch f.Kind {
	case StopInstance:
		return f.Begin + maxRestartTime
	case RestoreStore:
		return f.End + rewriteDelay + time.Second
	default:
		return f.End + time.Second
	}
}

// countAffectedInstances returns the number of instances that faults of the plan
// affect at the same time as f. If the target of f is one of them, it returns a
// number above any limit, as two faults can't affect one process at a time.
func countAffectedInstances(plan []Fault, f Fault) int {
	affected := make(map[int]bool)
	for _, other := range plan {
		if isInstanceFault(other.Kind) && other.Begin < f.effectEnd() && f.Begin < other.effectEnd() {
			if other.Target == f.Target {
				return 1 << 20
			}
			affected[other.Target] = true
		}
	}
	return len(affected)
}
