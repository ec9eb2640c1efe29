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

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func TestAPlanIsTheSameForItsSeed(t *testing.T) {
	const length = 60 * time.Second
	first := NewPlan(7, length, 4, 6, 5)
	qt.Assert(t, NewPlan(7, length, 4, 6, 5), qt.DeepEquals, first)
	qt.Assert(t, NewPlan(8, length, 4, 6, 5), qt.Not(qt.DeepEquals), first)
	qt.Assert(t, len(first) > 20, qt.IsTrue)
}

func TestAPlanLeavesHalfOfTheInstancesAlone(t *testing.T) {
	const length = 120 * time.Second
	for seed := range uint64(20) {
		plan := NewPlan(seed, length, 4, 6, 5)
		for _, f := range plan {
			qt.Assert(t, f.Begin >= quietStart && f.End <= length-quietEnd, qt.IsTrue)
			if !isInstanceFault(f.Kind) {
				continue
			}
			hit := map[int]bool{}
			for _, g := range plan {
				if isInstanceFault(g.Kind) && g.Begin <= f.Begin && f.Begin < g.until() {
					hit[g.Target] = true
				}
			}
			qt.Assert(t, len(hit) <= 2, qt.IsTrue, qt.Commentf("seed %d at %s: %v", seed, f.Begin, hit))
		}
	}
}

// ask makes an endpoint run a request.
func ask(e *hitchstandin.Endpoint, attempt string) {
	r := httptest.NewRequest(http.MethodPost, "/booking/x", strings.NewReader("b"))
	r.Header.Set("X-Attempt-Id", attempt)
	r.Header.Set("X-Tenant", "organisation-1")
	e.ServeHTTP(httptest.NewRecorder(), r)
}

// TestTheCheckerHasTeeth breaks each promise once.
func TestTheCheckerHasTeeth(t *testing.T) {
	stop := Fault{Kind: StopInstance, Begin: seconds(5), End: seconds(6)}
	tests := map[string]struct {
		plan []Fault
		call call
		runs int
		want string
	}{
		"served":                             {nil, call{Path: "/booking/x", Status: 200}, 1, ""},
		"refused":                            {nil, call{Path: "/booking/x", Status: 503}, 0, ""},
		"a booking ran twice":                {nil, call{Path: "/booking/x", Status: 200}, 2, "AtMostOnce"},
		"a lookup ran twice":                 {nil, call{Path: "/lookup/x", Status: 200}, 2, ""},
		"refused as not run, but it ran":     {nil, call{Path: "/lookup/x", Status: 503}, 1, "NotRun"},
		"unknown, and it ran":                {nil, call{Path: "/booking/x", Status: 502}, 1, ""},
		"another's answer":                   {nil, call{Path: "/booking/x", Status: 200, Wrong: "x"}, 1, "OwnWholeAnswer"},
		"cut by a planned stop":              {[]Fault{stop}, call{Path: "/booking/x", Begin: at(6), Err: errors.New("EOF")}, 0, "PlannedStop"},
		"cut by a kill beside":               {[]Fault{stop, {Kind: KillInstance, Target: 1, Begin: seconds(5), End: seconds(6)}}, call{Path: "/booking/x", Begin: at(6), Err: errors.New("EOF")}, 0, ""},
		"a revoked key":                      {[]Fault{{Kind: RevokeKey, Target: 1, Begin: seconds(5), End: seconds(60)}}, call{Path: "/booking/x", Key: 1, Begin: at(7.1), Status: 200}, 1, "Configuration"},
		"a key that was just revoked":        {[]Fault{{Kind: RevokeKey, Target: 1, Begin: seconds(5), End: seconds(60)}}, call{Path: "/booking/x", Key: 1, Begin: at(6.9), Status: 200}, 1, ""},
		"a revoked key beside a store's cut": {[]Fault{{Kind: RevokeKey, Target: 1, Begin: seconds(5), End: seconds(60)}, {Kind: PauseStore, Begin: seconds(4), End: seconds(8)}}, call{Path: "/booking/x", Key: 1, Begin: at(7.1), Status: 200}, 1, ""},
		"an endpoint that left":              {[]Fault{{Kind: LeaveEndpoint, Target: 3, Begin: seconds(5), End: seconds(60)}}, call{Path: "/booking/x", Key: 1, Begin: at(7.1), Status: 200}, 1, "LeavingEndpoint"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var ledger hitchstandin.RunLog
			e := &hitchstandin.Endpoint{ID: "e-3", RunLog: &ledger}
			test.call.Attempt = "attempt"
			for range test.runs {
				ask(e, "attempt")
			}
			// Runs are noted with the real time, which lies before the faults' ends.
			c := &checker{start: time.Now().Add(-seconds(8)), end: time.Now().Add(seconds(72)), plan: test.plan, ledger: &ledger}
			test.call.Begin = c.start.Add(test.call.Begin.Sub(start))
			test.call.End = test.call.Begin.Add(seconds(0.1))
			got := ""
			for _, v := range c.check(test.call) {
				got += v.Promise
			}
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}

func TestWrongAnswersAreSeen(t *testing.T) {
	header := http.Header{"X-Attempt-Id": {"a"}, "X-Response-Seal": {"s"}}
	whole := events("a")
	tests := map[string]struct {
		path, body string
		header     http.Header
		isRight    bool
	}{
		"whole":             {"/booking/x", "a body of a", header, true},
		"another's body":    {"/booking/x", "b body of b", header, false},
		"another's ID":      {"/booking/x", "a body of a", http.Header{"X-Attempt-Id": {"b"}, "X-Response-Seal": {"s"}}, false},
		"no seal":           {"/booking/x", "a body of a", http.Header{"X-Attempt-Id": {"a"}}, false},
		"whole stream":      {"/stream/x", whole, header, true},
		"a missing event":   {"/stream/x", strings.Replace(whole, "id: 3\ndata: a 3\n\n", "", 1), header, false},
		"a stream cut off":  {"/stream/x", whole[:len(whole)-5], header, false},
		"an event twice":    {"/stream/x", whole + "id: 8\ndata: a 8\n\n", header, false},
		"another's stream":  {"/stream/x", events("b"), header, false},
		"an empty success":  {"/stream/x", "", header, false},
		"stream of nothing": {"/lookup/x", "", header, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := wrong(call{Attempt: "a", Path: test.path}, test.header, test.body)
			qt.Assert(t, got == "", qt.Equals, test.isRight, qt.Commentf("%s", got))
		})
	}
}
