package hitchburn

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Report lists the firing rules and the burn rates of all series.
type Report struct {
	AsOf time.Time
	// Headline is a summary in one line: the most severe finding with its burn rates
	// and the start of the burn, and the number of routers that responded.
	Headline string
	// Routers are those that the report covers, Missing those that didn't respond.
	Routers []hitchfleet.InstanceID
	Missing []MissingRouter
	// Findings are the firing rules, the most severe first.
	Findings  []Finding
	Levels    []LevelRow
	Latencies []LatencyRow

	summary    Summary
	objectives Objectives
}

// Finding is a rule that is firing for one series.
type Finding struct {
	Dimension Dimension
	Name      string
	Level     Level
	Severity  Severity
	Rule      Rule
	// LongRate and ShortRate are the burn rates in the rule's windows.
	LongRate  float64
	ShortRate float64
	// Since is when the burn began, with the precision of a bucket.
	Since time.Time
}

// LevelRow holds the burn rates and event counts of one series.
type LevelRow struct {
	Dimension Dimension
	Name      string
	Level     Level
	Objective float64
	// Rates are the burn rates of the windows.
	Rates WindowRates
	// Events counts the events of the last three days.
	Events Count
}

// WindowRates are burn rates by window.
type WindowRates struct {
	Minutes5  float64
	Minutes30 float64
	Hour1     float64
	Hours6    float64
	Days3     float64
}

// LatencyRow holds quantiles of a route's latencies over the last one to two hours,
// in milliseconds.
type LatencyRow struct {
	Route      hitchfleet.RouteID
	FirstToken Quantiles
	TokenGap   Quantiles
}

// Quantiles holds quantiles of a latency in milliseconds.
type Quantiles struct {
	Events int64
	P50    float64
	P95    float64
	P99    float64
}

// NewReport evaluates the rules and burn rates for a summary.
func NewReport(now time.Time, s Summary, objectives Objectives) Report {
	r := Report{
		AsOf: now.UTC(), Routers: s.Routers, Missing: s.Missing,
		Findings: []Finding{}, Levels: []LevelRow{}, Latencies: lo.Map(s.Latencies, latencyRow),
		summary: s, objectives: objectives,
	}
	for _, series := range s.Series {
		if series.Count(now, Days3).Total == 0 {
			continue
		}
		objective := objectives.Of(series.Level)
		r.Levels = append(r.Levels, levelRow(now, series, objective))
		if f, ok := findingOf(now, series, objective); ok {
			r.Findings = append(r.Findings, f)
		}
	}
	slices.SortStableFunc(r.Findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(b.Severity, a.Severity), cmp.Compare(b.LongRate, a.LongRate))
	})
	r.Headline = r.headline()
	return r
}

// findingOf returns the firing rule of a series with the highest burn rate.
func findingOf(now time.Time, s Series, objective float64) (Finding, bool) {
	for _, rule := range Rules() {
		if !rule.isFiring(now, s, objective) {
			continue
		}
		return Finding{
			Dimension: s.Dimension, Name: s.Name, Level: s.Level, Severity: rule.Severity, Rule: rule,
			LongRate:  BurnRate(s.Count(now, rule.Long), objective),
			ShortRate: BurnRate(s.Count(now, rule.Short), objective),
			Since:     rule.firingSince(now, s, objective),
		}, true
	}
	return Finding{}, false
}

func levelRow(now time.Time, s Series, objective float64) LevelRow {
	rate := func(w Window) float64 { return BurnRate(s.Count(now, w), objective) }
	return LevelRow{
		Dimension: s.Dimension, Name: s.Name, Level: s.Level, Objective: objective, Events: s.Count(now, Days3),
		Rates: WindowRates{rate(Minutes5), rate(Minutes30), rate(Hour1), rate(Hours6), rate(Days3)},
	}
}

func latencyRow(l Latency, _ int) LatencyRow {
	return LatencyRow{Route: l.Route, FirstToken: quantilesOf(l.FirstToken), TokenGap: quantilesOf(l.TokenGap)}
}

func quantilesOf(data []byte) Quantiles {
	h := decodeHistogram(data)
	at := func(percentile float64) float64 {
		return float64(h.ValueAtPercentile(percentile)) * float64(histogramUnit) / float64(time.Millisecond)
	}
	return Quantiles{Events: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99)}
}

// headline returns the text of Report.Headline.
func (r Report) headline() string {
	responded := len(r.Routers)
	requested := responded + len(r.Missing)
	routers := fmt.Sprintf("%d of %d routers answered", responded, requested)
	switch {
	case responded == 0:
		return "Nothing is known: " + routers + "."
	case len(r.Findings) == 0:
		return "Nothing burns; " + routers + "."
	case len(r.Findings) == 1:
		return fmt.Sprintf("Burning: %s; %s.", r.Findings[0], routers)
	default:
		return fmt.Sprintf("Burning: %s; and %d more; %s.", r.Findings[0], len(r.Findings)-1, routers)
	}
}

// String returns the level, the series, the burn rates and the start of the burn on
// one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s of %s %s at %.1f times its budget over %s and %.1f over %s since %s (%s)",
		f.Level, f.Dimension, f.Name, f.LongRate, f.Rule.Long, f.ShortRate, f.Rule.Short,
		f.Since.Format(time.RFC3339), f.Severity)
}
