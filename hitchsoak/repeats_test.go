package hitchsoak

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

func TestRepeatPlan(t *testing.T) {
	for seed := range uint64(20) {
		plan := newRepeatPlan(seed, time.Minute, 7)
		qt.Assert(t, plan, qt.DeepEquals, newRepeatPlan(seed, time.Minute, 7))
		for _, f := range plan {
			qt.Assert(t, f.End <= time.Minute-faultFreeEnd, qt.IsTrue)
			qt.Assert(t, countAffectedInstances(plan, f) > 0 || !isInstanceFault(f.Kind), qt.IsTrue)
		}
	}
}

// TestCheckerReportsOverlaps covers two runs of one stream that go on side by side.
func TestCheckerReportsOverlaps(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	run := func(endpoint string, from, first, end int) hitchstandin.Run {
		r := hitchstandin.Run{Attempt: "a", Endpoint: endpoint, At: at(from), FirstEventAt: at(first)}
		if end > 0 {
			r.EndedAt = at(end)
		}
		return r
	}
	tests := map[string]struct {
		before, after hitchstandin.Run
		faults        []Fault
		want          int
	}{
		"one after the other":           {run("p-1", 0, 20, 1000), run("p-2", 1000, 1020, 2000), nil, 0},
		"ends soon":                     {run("p-1", 0, 20, 1400), run("p-2", 1000, 1020, 2000), nil, 0},
		"side by side":                  {run("p-1", 0, 20, 1500), run("p-2", 1000, 1020, 2000), nil, 1},
		"never ends":                    {run("p-1", 0, 20, 0), run("p-2", 1000, 1020, 2000), nil, 1},
		"stands still":                  {run("p-1", 0, 20, 1500), run("p-2", 1000, 1020, 2000), []Fault{{Kind: PauseProcess, Target: 1, Begin: time.Second, End: 1500 * time.Millisecond}}, 0},
		"another one stands still":      {run("p-1", 0, 20, 1500), run("p-2", 1000, 1020, 2000), []Fault{{Kind: PauseProcess, Target: 3, Begin: time.Second, End: 1500 * time.Millisecond}}, 1},
		"its instance stands still":     {run("p-1", 0, 20, 1500), run("p-2", 1000, 1020, 2000), []Fault{{Kind: PauseInstance, Begin: time.Second, End: 1500 * time.Millisecond}}, 0},
		"stood still before both begun": {run("p-1", 5000, 5020, 6500), run("p-2", 6000, 6020, 7000), []Fault{{Kind: PauseProcess, Target: 1, Begin: time.Second, End: 1500 * time.Millisecond}}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			log := hitchstandin.NewRunLog(test.after, test.before)
			c := &checker{start: start, end: at(20_000), plan: test.faults, addrs: []string{"i"}, runLog: log}
			got, note := c.checkRepeats([]call{{Attempt: "a", Instance: "i"}})
			qt.Assert(t, got, qt.HasLen, test.want, qt.Commentf("%s", fmt.Sprint(got, note)))
		})
	}
}
