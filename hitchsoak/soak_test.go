package hitchsoak

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

var start = time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)

func timeAt(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func TestPlanIsDeterministic(t *testing.T) {
	const length = 60 * time.Second
	first := NewPlan(BasicFaults, 7, length, 4, 6, 5)
	qt.Assert(t, NewPlan(BasicFaults, 7, length, 4, 6, 5), qt.DeepEquals, first)
	qt.Assert(t, NewPlan(BasicFaults, 8, length, 4, 6, 5), qt.Not(qt.DeepEquals), first)
	qt.Assert(t, len(first) > 20, qt.IsTrue)
}

func TestPlanAffectsAtMostHalfOfInstances(t *testing.T) {
	const length = 120 * time.Second
	for seed := range uint64(20) {
		plan := NewPlan(BasicFaults, seed, length, 4, 6, 5)
		for _, f := range plan {
			qt.Assert(t, f.Begin >= faultFreeStart && f.End <= length-faultFreeEnd, qt.IsTrue)
			if !isInstanceFault(f.Kind) {
				continue
			}
			affected := map[int]bool{}
			for _, g := range plan {
				if isInstanceFault(g.Kind) && g.Begin <= f.Begin && f.Begin < g.effectEnd() {
					affected[g.Target] = true
				}
			}
			qt.Assert(t, len(affected) <= 2, qt.IsTrue, qt.Commentf("seed %d at %s: %v", seed, f.Begin, affected))
		}
	}
}

// runRequest sends a request directly to an endpoint, which logs a run.
func runRequest(e *hitchstandin.Endpoint, attempt string) {
	r := httptest.NewRequest(http.MethodPost, "/booking/x", strings.NewReader("b"))
	r.Header.Set("X-Attempt-Id", attempt)
	r.Header.Set("X-Tenant", "organisation-1")
	e.ServeHTTP(httptest.NewRecorder(), r)
}

// TestCheckerReportsEachViolation checks that each guarantee that checkCall tests is
// reported once violated, and that allowed results aren't reported.
func TestCheckerReportsEachViolation(t *testing.T) {
	stop := Fault{Kind: StopInstance, Begin: seconds(5), End: seconds(6)}
	kill := Fault{Kind: KillInstance, Begin: seconds(5), End: seconds(6)}
	throttle := Fault{Kind: ThrottleInstance, Begin: seconds(5), End: seconds(6)}
	dropped := call{Path: "/booking/x", Instance: "i-0", Begin: timeAt(6), IsDropped: true}
	tests := map[string]struct {
		plan []Fault
		call call
		runs int
		want string
	}{
		"served":                                {nil, call{Path: "/booking/x", Status: 200}, 1, ""},
		"refused":                               {nil, call{Path: "/booking/x", Status: 503}, 0, ""},
		"a booking ran twice":                   {nil, call{Path: "/booking/x", Status: 200}, 2, "AtMostOnce"},
		"a lookup ran twice":                    {nil, call{Path: "/lookup/x", Status: 200}, 2, ""},
		"refused as not run, but it ran":        {nil, call{Path: "/lookup/x", Status: 503}, 1, "NotRun"},
		"called late as not run, but it ran":    {nil, call{Path: "/lookup/x", Status: 408}, 1, "NotRun"},
		"called misdirected, but it ran":        {nil, call{Path: "/lookup/x", Status: 421}, 1, "NotRun"},
		"called too many, but it ran":           {nil, call{Path: "/lookup/x", Status: 429}, 1, "NotRun"},
		"unknown, and it ran":                   {nil, call{Path: "/booking/x", Status: 502}, 1, ""},
		"response of another request":           {nil, call{Path: "/booking/x", Status: 200, Mismatch: "x"}, 1, "OwnWholeAnswer"},
		"interrupted by a planned stop":         {[]Fault{stop}, call{Path: "/booking/x", Begin: timeAt(6), Err: errors.New("EOF")}, 0, "PlannedStop"},
		"interrupted by a stop and a kill":      {[]Fault{stop, {Kind: KillInstance, Target: 1, Begin: seconds(5), End: seconds(6)}}, call{Path: "/booking/x", Begin: timeAt(6), Err: errors.New("EOF")}, 0, ""},
		"interrupted by a stop while throttled": {[]Fault{stop, throttle}, call{Path: "/booking/x", Begin: timeAt(6), Err: errors.New("EOF")}, 0, "PlannedStop"},
		"failed beside a reload":                {[]Fault{{Kind: ReloadInstance, Begin: seconds(5), End: seconds(6)}}, call{Path: "/booking/x", Begin: timeAt(6), Err: errors.New("EOF")}, 0, "Undisturbed"},
		"failed without a fault":                {nil, call{Path: "/booking/x", Begin: timeAt(6), Err: errors.New("EOF")}, 0, "Undisturbed"},
		"dropped after it was read":             {nil, dropped, 0, "Answered"},
		"dropped by a kill":                     {[]Fault{kill}, dropped, 0, ""},
		"dropped beside a kill of another":      {[]Fault{{Kind: KillInstance, Target: 1, Begin: seconds(5), End: seconds(6)}}, dropped, 0, "Answered"},
		"a revoked key":                         {[]Fault{{Kind: RevokeKey, Target: 1, Begin: seconds(5), End: seconds(60)}}, call{Path: "/booking/x", Key: 1, Begin: timeAt(7.1), Status: 200}, 1, "Configuration"},
		"a key revoked within the bound":        {[]Fault{{Kind: RevokeKey, Target: 1, Begin: seconds(5), End: seconds(60)}}, call{Path: "/booking/x", Key: 1, Begin: timeAt(6.9), Status: 200}, 1, ""},
		"a revoked key with the store paused":   {[]Fault{{Kind: RevokeKey, Target: 1, Begin: seconds(5), End: seconds(60)}, {Kind: PauseStore, Begin: seconds(4), End: seconds(8)}}, call{Path: "/booking/x", Key: 1, Begin: timeAt(7.1), Status: 200}, 1, ""},
		"a removed endpoint":                    {[]Fault{{Kind: LeaveEndpoint, Target: 3, Begin: seconds(5), End: seconds(60)}}, call{Path: "/booking/x", Key: 1, Begin: timeAt(7.1), Status: 200}, 1, "LeavingEndpoint"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var runLog hitchstandin.RunLog
			e := &hitchstandin.Endpoint{ID: "e-3", RunLog: &runLog}
			test.call.Attempt = "attempt"
			for range test.runs {
				runRequest(e, "attempt")
			}
			// Runs are logged with the current time, which is before the end of the faults.
			c := &checker{start: time.Now().Add(-seconds(8)), end: time.Now().Add(seconds(72)), plan: test.plan, addrs: []string{"i-0", "i-1"}, runLog: &runLog}
			test.call.Begin = c.start.Add(test.call.Begin.Sub(start))
			test.call.End = test.call.Begin.Add(seconds(0.1))
			got := ""
			for _, v := range c.checkCall(test.call) {
				got += v.Guarantee
			}
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}

// TestCheckerCountsRunsOfRepeatedIDs guards against second runs that aren't seen as their caller has sent the
// request's ID twice.
func TestCheckerCountsRunsOfRepeatedIDs(t *testing.T) {
	tests := map[string]struct {
		statuses []int
		runs     int
		want     string
	}{
		"each ran":                    {[]int{200, 200}, 2, ""},
		"one ran twice":               {[]int{200, 200}, 3, "AtMostOnce"},
		"first was refused":           {[]int{503, 200}, 1, ""},
		"first was refused, two runs": {[]int{503, 200}, 2, "AtMostOnceNotRun"},
		"both were refused":           {[]int{503, 429}, 0, ""},
		"both were refused, one run":  {[]int{503, 429}, 1, "NotRun"},
		"one isn't known":             {[]int{200, 502}, 1, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var runLog hitchstandin.RunLog
			run := func(count int) {
				for range count {
					runRequest(&hitchstandin.Endpoint{ID: "e", RunLog: &runLog}, "attempt")
				}
			}
			c := &checker{start: time.Now(), end: time.Now().Add(seconds(72)), runLog: &runLog}
			first := call{Attempt: "attempt", Path: "/booking/x", Status: test.statuses[0], Begin: time.Now()}
			before := 0 // one that was served has run before the next one is sent
			if first.Status == http.StatusOK {
				before = 1
			}
			run(before)
			second := call{Attempt: "attempt", Path: "/booking/x", Status: test.statuses[1], Begin: time.Now()}
			run(test.runs - before)
			calls := []call{first, second}
			c.countSends(calls)
			got := ""
			for _, v := range c.checkCall(calls[0]) {
				got += v.Guarantee
			}
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}

// TestCheckerTellsRunsOfRepeatedIDsApart covers a send that ran twice, while the other one of its ID didn't run.
func TestCheckerTellsRunsOfRepeatedIDsApart(t *testing.T) {
	tests := map[string]struct {
		firstStatus int
		runsAt      []float64 // seconds; the second send is at 10
		want        string
	}{
		"each ran":                           {200, []float64{1, 11}, ""},
		"first ran twice":                    {502, []float64{1, 2}, "AtMostOnce"},
		"second ran twice, first was served": {200, []float64{11, 12}, "AtMostOnce"},
		"first ran late":                     {502, []float64{11, 12}, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var runs []hitchstandin.Run
			for _, at := range test.runsAt {
				runs = append(runs, hitchstandin.Run{Attempt: "a", Organisation: "organisation-0", At: timeAt(at)})
			}
			c := &checker{start: start, end: timeAt(80), runLog: hitchstandin.NewRunLog(runs...)}
			first := call{Attempt: "a", Path: "/booking/x", Status: test.firstStatus, Begin: timeAt(0)}
			c.countSends([]call{first, {Attempt: "a", Path: "/booking/x", Status: 502, Begin: timeAt(10)}})
			got := ""
			for _, v := range c.checkCall(first) {
				got += v.Guarantee
			}
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}

func TestFindMismatch(t *testing.T) {
	header := http.Header{"X-Attempt-Id": {"a"}, "X-Response-Seal": {"s"}}
	completeStream := streamBody("a", hitchstandin.ShapeOf("/stream/x"))
	tests := map[string]struct {
		path, body string
		header     http.Header
		isCorrect  bool
	}{
		"complete":          {"/booking/x", "a body of a", header, true},
		"another body":      {"/booking/x", "b body of b", header, false},
		"another ID":        {"/booking/x", "a body of a", http.Header{"X-Attempt-Id": {"b"}, "X-Response-Seal": {"s"}}, false},
		"no digest":         {"/booking/x", "a body of a", http.Header{"X-Attempt-Id": {"a"}}, false},
		"complete stream":   {"/stream/x", completeStream, header, true},
		"a missing event":   {"/stream/x", strings.Replace(completeStream, "id: 3\ndata: a 3\n\n", "", 1), header, false},
		"truncated stream":  {"/stream/x", completeStream[:len(completeStream)-5], header, false},
		"a duplicate event": {"/stream/x", completeStream + "id: 8\ndata: a 8\n\n", header, false},
		"another stream":    {"/stream/x", streamBody("b", hitchstandin.ShapeOf("/stream/x")), header, false},
		"an empty stream":   {"/stream/x", "", header, false},
		"an empty lookup":   {"/lookup/x", "", header, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := findMismatch(call{Attempt: "a", Path: test.path}, test.header, test.body)
			qt.Assert(t, got == "", qt.Equals, test.isCorrect, qt.Commentf("%s", got))
		})
	}
}
