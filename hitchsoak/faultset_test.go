package hitchsoak

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"
)

// planHash returns a hash of the faults of a plan.
func planHash(plan []Fault) uint64 {
	h := xxhash.New()
	for _, f := range plan {
		_, _ = fmt.Fprintf(h, "%s %d %d %d\n", f.Kind, f.Target, f.Begin, f.End)
	}
	return h.Sum64()
}

// TestBasicPlansStayAsTheyAre checks that the seeds of past failures still give the plans
// with which they failed, or with which CI has played them since.
func TestBasicPlansStayAsTheyAre(t *testing.T) {
	tests := map[string]struct {
		seed           uint64
		seconds, count int
		faults         int
		hash           uint64
	}{
		"1":    {1, 40, 4, 33, 0x7c144dd933ceb4aa},
		"403":  {403, 40, 4, 35, 0x28ac4b5d63cca164},
		"405":  {405, 40, 4, 25, 0xe37e188a0f0f456b},
		"409":  {409, 40, 4, 32, 0xfb74760aba05212e},
		"544":  {544, 40, 6, 47, 0xf39b598500ce389e},
		"1056": {1056, 30, 5, 27, 0x178c934c5df5cfc5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for _, set := range []FaultSet{"", BasicFaults} {
				plan := NewPlan(set, test.seed, time.Duration(test.seconds)*time.Second, test.count, endpointCount, organisationCount)
				qt.Assert(t, len(plan), qt.Equals, test.faults)
				qt.Assert(t, planHash(plan), qt.Equals, test.hash)
			}
		})
	}
}

// TestPlansHaveOnlyKindsOfTheirSet checks that each kind of a set occurs, and no other.
func TestPlansHaveOnlyKindsOfTheirSet(t *testing.T) {
	for _, name := range FaultSets() {
		t.Run(name, func(t *testing.T) {
			set := FaultSet(name)
			want, got := map[FaultKind]bool{}, map[FaultKind]bool{}
			for _, k := range set.kinds() {
				want[k] = true
			}
			for seed := range uint64(40) {
				for _, f := range NewPlan(set, seed, time.Minute, 4, endpointCount, organisationCount) {
					got[f.Kind] = true
				}
			}
			qt.Assert(t, got, qt.DeepEquals, want)
		})
	}
}

// TestSilencesLastFromOneToTwoSeconds checks the silences of plans, but for those that the
// end of the faults cuts.
func TestSilencesLastFromOneToTwoSeconds(t *testing.T) {
	const length = time.Minute
	silences := 0
	for seed := range uint64(20) {
		for _, f := range NewPlan(AnswerFaults, seed, length, 4, endpointCount, organisationCount) {
			if _, ok := silencePoints[f.Kind]; !ok || f.End == length-faultFreeEnd {
				continue
			}
			silences++
			qt.Assert(t, f.End-f.Begin >= time.Second && f.End-f.Begin <= 2*time.Second, qt.IsTrue, qt.Commentf("%s", f))
		}
	}
	qt.Assert(t, silences > 100, qt.IsTrue)
}
