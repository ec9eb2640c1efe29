package hitchsoak

import (
	"context"
	"sync"
	"syscall"
)

// The variants of a soak.
const (
	// VariantFaults injects the faults of NewPlan.
	VariantFaults = "faults"
	// VariantVersions has engines of two or three versions that serve side by side, and
	// callers that take up streams that ended in their middle.
	VariantVersions = "versions"
	// VariantCrashes has callers of prompts with a part that crashes engines, beside sound ones
	// and faults.
	VariantCrashes = "crashes"
	// VariantRequests has callers that repeat whole requests that crash engines.
	VariantRequests = "requests"
	// VariantQuotas has engines that name how many requests a second they take.
	VariantQuotas = "quotas"
	// VariantBrittle has engines that don't bear to refuse many requests.
	VariantBrittle = "brittle"
	// VariantRollouts has orders to roll out good and bad versions, beside faults.
	VariantRollouts = "rollouts"
	// VariantRepeats has endpoints that are processes, which are paused and killed and misbehave on
	// kept connections, and counts the runs of each attempt.
	VariantRepeats = "repeats"
)

// Variants returns the names of the variants.
func Variants() []string {
	return []string{VariantFaults, VariantVersions, VariantCrashes, VariantQuotas, VariantRequests, VariantBrittle, VariantRollouts, VariantRepeats}
}

// engineIPNumber is the number of the loopback address of the engines, which no instance
// has.
const engineIPNumber = 200

// hasEngines reports whether the soak has engines that may end, in place of endpoints that
// don't.
func (s *Soak) hasEngines() bool {
	return s.Variant != "" && s.Variant != VariantFaults && s.Variant != VariantRepeats
}

// hasCrashes reports whether requests crash engines.
func (s *Soak) hasCrashes() bool { return s.Variant == VariantCrashes || s.Variant == VariantRequests }

// callers returns the number of callers of a kind that doesn't take up streams. A soak with
// engines has none.
func (s *Soak) callers(perInstance int) int {
	if s.hasEngines() {
		return 0
	}
	return perInstance * s.instances()
}

// plan returns the faults of the soak.
func (s *Soak) plan() []Fault {
	if s.fixedPlan != nil {
		return s.fixedPlan
	}
	switch s.Variant {
	case VariantVersions:
		return newVersionPlan(s.Seed, s.length(), s.instances())
	case VariantCrashes:
		return newCrashPlan(s.Seed, s.length(), s.instances(), partCauses)
	case VariantRequests:
		return newCrashPlan(s.Seed, s.length(), s.instances(), requestCauses)
	case VariantBrittle:
		return newBrittlePlan(s.Seed, s.length(), s.instances())
	case VariantRollouts:
		return newRolloutPlan(s.Seed, s.length(), s.instances())
	case VariantRepeats:
		return newRepeatPlan(s.Seed, s.length(), s.instances())
	case VariantQuotas:
		return newQuotaPlan(s.Seed, s.length(), s.instances())
	}
	return NewPlan(s.Faults, s.Seed, s.length(), s.instances(), s.endpoints(), s.organisations())
}

// startEngines starts the engines. In a soak of VariantVersions they have two versions for
// even seeds and three for odd ones, otherwise none is named.
func (f *fleet) startEngines(ctx context.Context, s *Soak) error {
	f.engines = &engineSet{fleet: f, ip: s.ip(engineIPNumber), versions: []string{""}, variant: s.Variant}
	if s.Variant == VariantVersions {
		f.engines.versions = versionNames[:2+s.Seed%2]
	}
	if s.Variant == VariantRollouts {
		f.engines.versions = versionNames[:1]
	}
	return f.engines.start(ctx)
}

// killAll kills all processes together. It returns the function that starts them again.
func (f *fleet) killAll() (undo func()) {
	var undos []func()
	for n := range f.instances {
		undos = append(undos, f.terminate(n, syscall.SIGKILL))
	}
	return join(undos...)
}

// shortStreamCallers returns the number of callers of short streams only, of which a version that
// is rolled out needs many responses.
func (s *Soak) shortStreamCallers() int {
	if s.Variant == VariantRollouts {
		return busyCallersPerInstance * s.instances()
	}
	return 0
}

// runStreams runs the callers that take up streams until ctx ends. It records each of their
// tries as a call, and returns the streams.
func (s *Soak) runStreams(ctx context.Context, f *fleet, record func(call)) []stream {
	var mu sync.Mutex
	var streams []stream
	var wg sync.WaitGroup
	callers := streamCallersPerInstance * s.instances()
	for n := range callers + s.shortStreamCallers() {
		x := &streamCaller{caller: caller{seed: s.Seed<<16 + uint64(n), fleet: f}}
		if n >= callers {
			x.path = streamPaths[0]
		}
		wg.Go(func() {
			x.run(ctx, func(done stream) {
				for _, t := range done.Tries {
					record(t.call)
				}
				mu.Lock()
				defer mu.Unlock()
				streams = append(streams, done)
			})
		})
	}
	wg.Wait()
	return streams
}

// startEngineFault starts a fault of the engines. It returns false for a fault of another
// kind, and if the soak has no engines.
func (f *fleet) startEngineFault(ctx context.Context, fault Fault) (undo func(), ok bool) {
	if f.processes != nil {
		return f.processes.startFault(fault)
	}
	if f.engines == nil {
		return nil, false
	}
	return f.engines.startFault(ctx, fault)
}
