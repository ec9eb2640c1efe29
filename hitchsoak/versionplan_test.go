package hitchsoak

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestVersionPlanIsDeterministic(t *testing.T) {
	const length = 60 * time.Second
	first := newVersionPlan(7, length, 4)
	qt.Assert(t, newVersionPlan(7, length, 4), qt.DeepEquals, first)
	qt.Assert(t, newVersionPlan(8, length, 4), qt.Not(qt.DeepEquals), first)
	qt.Assert(t, len(first) > 20, qt.IsTrue)
}

// TestVersionPlan checks the limits of the plans, and that they have each kind of fault.
func TestVersionPlan(t *testing.T) {
	const length = 40 * time.Second
	kinds := make(map[FaultKind]int)
	for seed := range uint64(60) {
		plan := newVersionPlan(seed, length, 4)
		for _, f := range plan {
			kinds[f.Kind]++
			qt.Assert(t, f.Begin >= faultFreeStart && f.End <= length-faultFreeEnd, qt.IsTrue, qt.Commentf("seed %d: %s", seed, f))
			if !isInstanceFault(f.Kind) {
				continue
			}
			affected := map[int]bool{}
			for _, g := range plan {
				isTogether := g.Begin < f.effectEnd() && f.Begin < g.effectEnd()
				qt.Assert(t, g.Kind == KillAllInstances && isTogether, qt.IsFalse, qt.Commentf("seed %d: %s beside %s", seed, f, g))
				if isInstanceFault(g.Kind) && g.Begin <= f.Begin && f.Begin < g.effectEnd() {
					affected[g.Target] = true
				}
			}
			qt.Assert(t, len(affected) <= 2, qt.IsTrue, qt.Commentf("seed %d at %s: %v", seed, f.Begin, affected))
		}
		last := slices.MaxFunc(plan, func(a, b Fault) int { return int(a.End - b.End) })
		qt.Assert(t, last.End, qt.Equals, length-faultFreeEnd)
		qt.Assert(t, plan[0].Kind, qt.Equals, KillAllInstances)
	}
	for _, kind := range append([]FaultKind{RestartSameID, KillAllInstances}, versionPlanKinds...) {
		qt.Assert(t, kinds[kind] > 0, qt.IsTrue, qt.Commentf("%s", kind))
	}
	qt.Assert(t, kinds[RestartSameID] < kinds[RestartAtAddress]/2, qt.IsTrue, qt.Commentf("%v", kinds))
	qt.Assert(t, kinds[KillInstance] > 0 && RestartSameID.String() == "RestartSameID" && KillInstance.String() == "KillInstance", qt.IsTrue)
}
