package hitchburn

import (
	"encoding/json"
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// recordHistory records one event per step in a period. Every nth is refused as
// overloaded, none if nth is zero.
func recordHistory(r *Recorder, from, until time.Time, step time.Duration, nth int) {
	for n := 0; from.Before(until); n++ {
		e := streamEvent(300*time.Millisecond, 30*time.Millisecond)
		if nth > 0 && n%nth == 0 {
			e.Reason, e.Outcome, e.Status = hitchoutcome.ReasonOverloaded, hitchoutcome.NotRun, 0
			e.FirstToken, e.LastToken, e.Tokens = time.Time{}, time.Time{}, 0
			e.End = e.Start
		}
		r.Record(from, e)
		from = from.Add(step)
	}
}

func TestFiringRules(t *testing.T) {
	const minute, hour = time.Minute, time.Hour
	for name, test := range map[string]struct {
		// began and ended are how long ago the faults did; every nth request failed.
		began, ended time.Duration
		nth          int
		want         string
		since        time.Duration
	}{
		"no faults":                       {0, 0, 0, "", 0},
		"all fail for 3 minutes":          {3 * minute, 0, 1, "Page 14.4", 3 * minute},
		"all fail for 30 minutes":         {30 * minute, 0, 1, "Page 14.4", 30 * minute},
		"all fail for 2 hours":            {2 * hour, 0, 1, "Page 14.4", 2 * hour},
		"all failed until 10 minutes ago": {20 * minute, 10 * minute, 1, "Page 6", 20 * minute},
		"all failed until 40 minutes ago": {60 * minute, 40 * minute, 1, "Ticket 1", 0},
		"all failed until 7 hours ago":    {8 * hour, 7 * hour, 1, "", 0},
		"1 in 100 fails for 2 hours":      {2 * hour, 0, 100, "", 0},
		"1 in 100 fails for 6 hours":      {6 * hour, 0, 100, "Page 6", 6 * hour},
		"1 in 500 fails for 40 hours":     {40 * hour, 0, 500, "Ticket 1", 40 * hour},
		"1 in 2000 fails for three days":  {72 * hour, 0, 2000, "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			var r Recorder
			const step = 6 * time.Second
			recordHistory(&r, start.Add(-72*time.Hour), start.Add(-test.began), step, 0)
			recordHistory(&r, start.Add(-test.began), start.Add(-test.ended), step, test.nth)
			recordHistory(&r, start.Add(-test.ended), start, step, 0)
			report := NewReport(start, r.Summary(start).WithRouter("r1"), Objectives{})
			if test.want == "" {
				qt.Assert(t, report.Findings, qt.HasLen, 0)
				return
			}
			f := report.Findings[0]
			qt.Assert(t, f.Severity.String()+" "+formatFloat(f.Rule.Rate), qt.Equals, test.want)
			qt.Assert(t, f.Level, qt.Equals, Availability)
			if test.since > 0 {
				late := f.Since.Sub(start.Add(-test.since))
				// The start of a burn of 40 hours is found in buckets of 3 hours.
				qt.Assert(t, late.Abs() <= 3*time.Hour && (test.since > 6*time.Hour || late.Abs() <= 10*time.Minute), qt.IsTrue, qt.Commentf("since %s", f.Since))
			}
		})
	}
}

// TestSinceOfInterruptedBurns checks that a short interruption of the faults doesn't
// start a new burn, and that one within the short window doesn't end it.
func TestSinceOfInterruptedBurns(t *testing.T) {
	const minute = time.Minute
	for name, test := range map[string]struct {
		// pauseFrom and pauseTo are how long ago the faults paused.
		pauseFrom, pauseTo, want time.Duration
	}{
		"no pause":                       {0, 0, 40 * minute},
		"a pause of 2 minutes":           {20 * minute, 18 * minute, 40 * minute},
		"a pause of 10 minutes":          {20 * minute, 10 * minute, 10 * minute},
		"no fault in the last 3 minutes": {3 * minute, 0, 40 * minute},
	} {
		t.Run(name, func(t *testing.T) {
			var r Recorder
			const step = 3 * time.Second
			recordHistory(&r, start.Add(-72*time.Hour), start.Add(-6*time.Hour), minute, 0)
			recordHistory(&r, start.Add(-6*time.Hour), start.Add(-40*minute), step, 0)
			recordHistory(&r, start.Add(-40*minute), start.Add(-test.pauseFrom), step, 1)
			recordHistory(&r, start.Add(-test.pauseFrom), start.Add(-test.pauseTo), step, 0)
			recordHistory(&r, start.Add(-test.pauseTo), start, step, 1)
			f := NewReport(start, r.Summary(start), Objectives{}).Findings[0]
			qt.Assert(t, f.Rule.Rate, qt.Equals, 14.4)
			qt.Assert(t, start.Sub(f.Since), qt.Equals, test.want)
		})
	}
}

func TestMergeDeduplicatesRouters(t *testing.T) {
	one := Summary{}.WithRouter("router-1")
	sum := Merge(one, Summary{}.WithRouter("router-2"), one)
	qt.Assert(t, sum.Routers, qt.DeepEquals, []hitchfleet.InstanceID{"router-1", "router-2"})
}

func TestFewEventsFireOnlyForBookings(t *testing.T) {
	var r Recorder
	r.Record(start, refusedEvent(hitchoutcome.ReasonOverloaded, hitchoutcome.NotRun, 0))
	qt.Assert(t, NewReport(start, r.Summary(start), Objectives{}).Findings, qt.HasLen, 0)
	r.Record(start, bookingEvent(hitchoutcome.ReasonEndpointLost, hitchoutcome.Unknown))
	findings := NewReport(start, r.Summary(start), Objectives{}).Findings
	qt.Assert(t, findings, qt.HasLen, 3)
	for _, f := range findings {
		qt.Assert(t, f.Level, qt.Equals, Booking)
	}
}

// outageReport returns the report of three routers, of which one doesn't respond,
// after 25 minutes in which every second request of another was refused.
func outageReport() Report {
	var a, b Recorder
	recordHistory(&a, start.Add(-7*time.Hour), start, 20*time.Second, 0)
	recordHistory(&b, start.Add(-7*time.Hour), start.Add(-25*time.Minute), 20*time.Second, 0)
	recordHistory(&b, start.Add(-25*time.Minute), start, 20*time.Second, 2)
	b.Record(start, bookingEvent("", hitchoutcome.Ran))
	sum := Merge(a.Summary(start).WithRouter("router-1"), b.Summary(start).WithRouter("router-2"),
		Summary{}.WithMissing(MissingRouter{"router-3", "10.0.0.3:8080", "connection refused"}))
	return NewReport(start, sum, Objectives{})
}

func TestReportText(t *testing.T) {
	goldie.New(t).Assert(t, "text", []byte(outageReport().Text()))
}

func TestReportJSON(t *testing.T) {
	data, err := json.MarshalIndent(outageReport(), "", "  ")
	qt.Assert(t, err, qt.IsNil)
	goldie.New(t).Assert(t, "json", data)
	var decoded Report
	qt.Assert(t, json.Unmarshal(data, &decoded), qt.IsNil)
	qt.Assert(t, decoded.Findings, qt.DeepEquals, outageReport().Findings)
}

// externalResource matches HTML and CSS that would make a browser load a resource.
var externalResource = regexp.MustCompile(`(?i)<(script|link|img|iframe|object|embed)|\b(src|href)\s*=\s*"[^#]|url\(|@import`)

func TestReportHTMLHasNoExternalResources(t *testing.T) {
	var page strings.Builder
	qt.Assert(t, outageReport().WriteHTML(&page), qt.IsNil)
	qt.Assert(t, externalResource.FindString(page.String()), qt.Equals, "")
	qt.Assert(t, strings.Count(page.String(), "<svg"), qt.Equals, 4)
	qt.Assert(t, page.String(), qt.Not(qt.Contains), "<?xml")
	goldie.New(t).Assert(t, "html", []byte(page.String()))
}

func TestReportHTMLEscapesNames(t *testing.T) {
	var r Recorder
	e := streamEvent(0, 0)
	e.Route = "<script>alert(1)</script>"
	r.Record(start, e)
	var page strings.Builder
	qt.Assert(t, NewReport(start, r.Summary(start), Objectives{}).WriteHTML(&page), qt.IsNil)
	qt.Assert(t, page.String(), qt.Not(qt.Contains), "<script")
}

func TestHeadline(t *testing.T) {
	var r Recorder
	recordHistory(&r, start.Add(-time.Hour), start, time.Minute, 0)
	missing := Summary{}.WithMissing(MissingRouter{Instance: "router-2", Error: "timeout"})
	for name, test := range map[string]struct {
		summary Summary
		want    string
	}{
		"no finding":          {r.Summary(start).WithRouter("router-1"), "Nothing burns; 1 of 1 routers answered."},
		"one router missing":  {Merge(r.Summary(start).WithRouter("router-1"), missing), "Nothing burns; 1 of 2 routers answered."},
		"no router responded": {missing, "Nothing is known: 0 of 1 routers answered."},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, NewReport(start, test.summary, Objectives{}).Headline, qt.Equals, test.want)
		})
	}
}

func TestMetricsText(t *testing.T) {
	var exposition Exposition
	m := Metrics{Reporter: &exposition, Instance: `router "1"`}
	m.Observe(streamEvent(FirstTokenLimit, TokenGapLimit))
	m.Observe(streamEvent(time.Hour, time.Hour))
	m.Observe(refusedEvent(hitchoutcome.ReasonOverloaded, hitchoutcome.NotRun, 0))
	m.SetTotal(StoreCallsMetric, "Txn", 7)
	m.SetTotal(StoreCallsMetric, "Txn", 9)
	m.SetGauge(InFlightMetric, 3)
	var text strings.Builder
	_, err := exposition.WriteTo(&text)
	qt.Assert(t, err, qt.IsNil)
	goldie.New(t).Assert(t, "metrics", []byte(text.String()))
}
