package hitchsoak

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

// meetSilence makes an endpoint log that a call met a short silence.
func meetSilence(e *hitchstandin.Endpoint, attempt string) {
	e.SetSilentUntil(hitchstandin.SilentBeforeAnswer, time.Now().Add(200*time.Millisecond))
	runRequest(e, attempt)
}

// meetSpoil returns an attempt whose answer an endpoint logs as spoiled.
func meetSpoil(e *hitchstandin.Endpoint, runLog *hitchstandin.RunLog) (attempt string) {
	e.SetSpoiling(true)
	for n := 0; ; n++ {
		attempt = "spoiled-" + strconv.Itoa(n)
		func() {
			defer func() { _ = recover() }()
			runRequest(e, attempt)
		}()
		if len(runLog.Disturbances(attempt)) > 0 {
			return attempt
		}
	}
}

// TestCutsBesideHarmlessFaults checks which guarantee a call violates that got no whole
// response beside silences, series and spoiled answers.
func TestCutsBesideHarmlessFaults(t *testing.T) {
	during := func(k FaultKind) Fault { return Fault{Kind: k, Begin: seconds(5), End: seconds(6)} }
	cut := func(path string, took float64) call {
		return call{Path: path, Status: http.StatusOK, Instance: "i-0", Begin: timeAt(5), End: timeAt(5 + took), Err: io.ErrUnexpectedEOF}
	}
	unread := func(path string) call {
		return call{Path: path, Instance: "i-0", Begin: timeAt(5), End: timeAt(5.1), Err: errors.New("EOF")}
	}
	silence, config, reloads, stop := during(FallSilentInStream), during(ChangeConfigs), during(ReloadSeries), during(StopInstance)
	early := Fault{Kind: StopInstance, Begin: seconds(1), End: seconds(2)}
	const stream, booking = "/stream/x", "/booking/x"
	tests := map[string]struct {
		plan []Fault
		call call
		met  string // silence, spoil or nothing
		want string
	}{
		"stream after a silence":                        {[]Fault{silence}, cut(stream, 2), "silence", "SilentStream"},
		"stream after a silence beside a configuration": {[]Fault{silence, config}, cut(stream, 2), "silence", "SilentStream"},
		"stream after a silence beside reloads":         {[]Fault{silence, reloads}, cut(stream, 2), "silence", "SilentStream"},
		"stream after a silence, endpoints refuse":      {[]Fault{silence, during(ShedRequests), during(AskForPause)}, cut(stream, 2), "silence", "SilentStream"},
		"stream after a silence while another is killed": {
			[]Fault{silence, {Kind: KillInstance, Target: 1, Begin: seconds(5), End: seconds(6)}}, cut(stream, 2), "silence", "",
		},
		"stream at the end of its time":                   {[]Fault{silence}, cut(stream, 8), "silence", ""},
		"stream before the end of its time":               {[]Fault{silence}, cut(stream, 7.9), "silence", "SilentStream"},
		"stream at the end of the time of another table":  {[]Fault{silence, config}, cut(stream, 6), "silence", ""},
		"stream before any table's end of time":           {[]Fault{silence, config}, cut(stream, 5.9), "silence", "SilentStream"},
		"stream at the end of its time without a silence": {nil, cut(stream, 8), "", "Undisturbed"},
		"stream beside a silence of another endpoint":     {[]Fault{silence}, cut(stream, 2), "", "Undisturbed"},
		"stream beside a configuration":                   {[]Fault{config}, cut(stream, 6), "", "Undisturbed"},
		"no response after a silence":                     {[]Fault{silence}, unread(booking), "silence", "Undisturbed"},
		"no response beside a configuration":              {[]Fault{config}, unread(booking), "", "Undisturbed"},
		"no response beside reloads":                      {[]Fault{reloads}, unread(booking), "", "Undisturbed"},
		"booking in its time":                             {[]Fault{silence, config}, cut(booking, 7.9), "silence", "Undisturbed"},
		"stream after a silence in a stop":                {[]Fault{silence, stop}, cut(stream, 2), "silence", "SilentStream"},
		"stream at the end of a stop":                     {[]Fault{silence, early}, cut(stream, 2.7), "silence", "SilentStream"},
		"stream sent in time for a stop, until its end":   {[]Fault{silence, {Kind: StopInstance, Begin: seconds(2.1), End: seconds(3)}}, cut(stream, 5), "silence", ""},
		"the same without a silence":                      {[]Fault{{Kind: StopInstance, Begin: seconds(2.1), End: seconds(3)}}, cut(stream, 5), "", "PlannedStop"},
		"the same in a stop of another":                   {[]Fault{silence, {Kind: StopInstance, Target: 1, Begin: seconds(2.1), End: seconds(3)}}, cut(stream, 5), "silence", "SilentStream"},
		"spoiled":                                         {[]Fault{during(SpoilAnswers)}, cut(stream, 2), "spoil", ""},
		"beside spoiled answers of others":                {[]Fault{during(SpoilAnswers)}, cut(stream, 2), "", "Undisturbed"},
		"silent, beside spoiled answers of others":        {[]Fault{silence, during(SpoilAnswers)}, cut(stream, 2), "silence", "SilentStream"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var runLog hitchstandin.RunLog
			e := &hitchstandin.Endpoint{ID: "e-3", RunLog: &runLog}
			test.call.Attempt = "attempt"
			switch test.met {
			case "silence":
				meetSilence(e, test.call.Attempt)
				qt.Assert(t, runLog.Disturbances(test.call.Attempt), qt.HasLen, 1)
			case "spoil":
				test.call.Attempt = meetSpoil(e, &runLog)
			}
			c := &checker{start: start, end: start.Add(time.Minute), plan: test.plan, addrs: []string{"i-0", "i-1"}, runLog: &runLog}
			got := ""
			for _, v := range c.checkCall(test.call) {
				if v.Guarantee != "Organisation" {
					got += v.Guarantee
				}
			}
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}
