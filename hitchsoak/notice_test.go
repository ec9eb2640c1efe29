package hitchsoak

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

// TestCheckerReportsIgnoredNotices checks that requests to an endpoint that said that it
// leaves, or asked for a pause, are reported, and allowed ones aren't.
func TestCheckerReportsIgnoredNotices(t *testing.T) {
	leave := Fault{Kind: AnnounceLeave, Target: 3, Begin: seconds(5), End: seconds(60)}
	tests := map[string]struct {
		plan     []Fault
		isPause  bool
		instance string  // of the later calls
		after    float64 // seconds from the notice to the later calls
		calls    int
		want     int
	}{
		"after it said that it leaves":         {[]Fault{leave}, false, "i-0", 2.5, 1, 1},
		"within the bound":                     {[]Fault{leave}, false, "i-0", 1.5, 1, 0},
		"from another instance":                {[]Fault{leave}, false, "i-1", 2.5, 1, 0},
		"after a restart of the instance":      {[]Fault{leave, {Kind: KillInstance, Begin: seconds(7), End: seconds(7.5)}}, false, "i-0", 2.5, 1, 0},
		"too many in a pause":                  {nil, true, "i-0", 1, 3, 1},
		"two in a pause":                       {nil, true, "i-0", 1, 2, 0},
		"after the pause":                      {nil, true, "i-0", 3.5, 3, 0},
		"in flight as the pause was asked for": {nil, true, "i-0", 0.3, 3, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var runLog hitchstandin.RunLog
			e := &hitchstandin.Endpoint{ID: "e-3", RunLog: &runLog}
			now := time.Now()
			c := &checker{start: now.Add(-seconds(8)), end: now.Add(seconds(72)), plan: test.plan, addrs: []string{"i-0", "i-1"}, runLog: &runLog}
			noticeAt := now.Add(-time.Duration(test.after * float64(time.Second)))
			if test.isPause {
				runLog.RecordPause(hitchstandin.Pause{Attempt: "first", Endpoint: "e-3", At: noticeAt, Until: noticeAt.Add(hitchstandin.PauseTime)})
			} else {
				runRequest(e, "first")
			}
			calls := []call{{Attempt: "first", Instance: "i-0", Begin: noticeAt.Add(-seconds(0.1)), End: noticeAt, SaysLeaving: !test.isPause}}
			for n := range test.calls {
				attempt := strings.Repeat("x", n+1)
				runRequest(e, attempt)
				calls = append(calls, call{Attempt: attempt, Instance: test.instance, Begin: now, End: now.Add(seconds(0.1))})
			}
			qt.Assert(t, c.checkNotices(calls), qt.HasLen, test.want)
		})
	}
}

// TestNoticeIsOfTheSealingEndpoint checks that the notice of a call that ran at two
// endpoints is that of the one whose header was forwarded, and of both if none is named.
func TestNoticeIsOfTheSealingEndpoint(t *testing.T) {
	tests := map[string]struct {
		sealedBy string
		want     int
	}{
		"by the one that is used again": {"e-3", 1},
		"by the other":                  {"e-1", 0},
		"by none":                       {"", 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var runLog hitchstandin.RunLog
			now := time.Now()
			c := &checker{start: now.Add(-seconds(8)), end: now.Add(seconds(72)), addrs: []string{"i-0"}, runLog: &runLog,
				plan: []Fault{{Kind: AnnounceLeave, Target: 3, Begin: seconds(5), End: seconds(60)}, {Kind: AnnounceLeave, Target: 1, Begin: seconds(5), End: seconds(60)}}}
			used := &hitchstandin.Endpoint{ID: "e-3", RunLog: &runLog}
			runRequest(&hitchstandin.Endpoint{ID: "e-1", RunLog: &runLog}, "first")
			runRequest(used, "first")
			runRequest(used, "second")
			got := c.checkNotices([]call{
				{Attempt: "first", Instance: "i-0", Begin: now.Add(-seconds(3)), End: now.Add(-seconds(2.5)), SaysLeaving: true, SealedBy: test.sealedBy},
				{Attempt: "second", Instance: "i-0", Begin: now, End: now.Add(seconds(0.1))},
			})
			qt.Assert(t, got, qt.HasLen, test.want)
		})
	}
}

// TestStandinGivesNotice checks the responses of the simulated endpoint.
func TestStandinGivesNotice(t *testing.T) {
	var runLog hitchstandin.RunLog
	e := &hitchstandin.Endpoint{ID: "e-3", RunLog: &runLog}
	send := func() *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/booking/x", nil))
		return w
	}
	e.SetLeaving(true)
	qt.Assert(t, hitchstandin.SaysLeaving(send().Header()), qt.IsTrue)
	qt.Assert(t, hitchstandin.SealedBy(send().Header()), qt.Equals, "e-3")
	e.Restart()
	qt.Assert(t, hitchstandin.SaysLeaving(send().Header()), qt.IsFalse)
	e.SetPausing(true)
	w := send()
	qt.Assert(t, w.Code, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, w.Header().Get("Retry-After"), qt.Equals, "3.000")
	qt.Assert(t, runLog.Pauses(), qt.HasLen, 1)
}
