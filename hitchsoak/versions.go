package hitchsoak

import (
	"context"
	"syscall"
)

// The variants of a soak.
const (
	// VariantFaults injects the faults of NewPlan.
	VariantFaults = "faults"
	// VariantVersions has engines of two or three versions that serve side by side, and
	// callers that take up streams that ended in their middle.
	VariantVersions = "versions"
)

// engineIPNumber is the number of the loopback address of the engines, which no instance
// has.
const engineIPNumber = 200

// isVersions reports whether the soak is of VariantVersions.
func (s *Soak) isVersions() bool { return s.Variant == VariantVersions }

// plan returns the faults of the soak.
func (s *Soak) plan() []Fault {
	if s.isVersions() {
		return newVersionPlan(s.Seed, s.length(), s.instances())
	}
	return NewPlan(s.Seed, s.length(), s.instances(), s.endpoints(), s.organisations())
}

// startEngines starts the engines of a soak of VariantVersions: two versions for even seeds,
// three for odd ones.
func (f *fleet) startEngines(ctx context.Context, s *Soak) error {
	f.engines = &engineSet{fleet: f, ip: s.ip(engineIPNumber), versions: versionNames[:2+s.Seed%2]}
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

// startEngineFault starts a fault of the engines. It returns false for a fault of another
// kind, and if the soak has no engines.
func (f *fleet) startEngineFault(ctx context.Context, fault Fault) (undo func(), ok bool) {
	if f.engines == nil {
		return nil, false
	}
	return f.engines.startFault(ctx, fault)
}
