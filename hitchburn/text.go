package hitchburn

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/samber/lo"
)

// Text returns the report for people. Its first line says what burned, how fast
// and since when.
func (r Report) Text() string {
	var text strings.Builder
	put(&text, "%s\n", r.Headline)
	put(&text, "AsOf=%s Routers=%d Missing=%d\n", r.AsOf.Format(time.RFC3339), len(r.Routers), len(r.Missing))
	for _, m := range r.Missing {
		put(&text, "Missing=%s Address=%s Error=%q\n", m.Instance, m.Address, m.Error)
	}
	for _, f := range r.Findings {
		put(&text, "%s: %s\n", f.Severity, f)
	}
	for d := range dimensionCount {
		r.levelTable(&text, d)
	}
	r.latencyTable(&text)
	return text.String()
}

// rows returns the rows of one dimension.
func (r Report) rows(d Dimension) []LevelRow {
	return lo.Filter(r.Levels, func(row LevelRow, _ int) bool { return row.Dimension == d })
}

func (r Report) levelTable(w io.Writer, d Dimension) {
	rows := r.rows(d)
	if len(rows) == 0 {
		return
	}
	put(w, "\n")
	t := newTable(w)
	put(t, "%s\tLevel\tObjective\tBurn 5m\t30m\t1h\t6h\t3d\tEvents 3d\tBad\t\n", d)
	for _, row := range rows {
		put(t, "%s\t%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%d\t\n", row.Name, row.Level, percent(row.Objective),
			row.Rates.Minutes5, row.Rates.Minutes30, row.Rates.Hour1, row.Rates.Hours6, row.Rates.Days3,
			row.Events.Total, row.Events.Bad)
	}
	_ = t.Flush()
}

func (r Report) latencyTable(w io.Writer) {
	if len(r.Latencies) == 0 {
		return
	}
	put(w, "\n")
	t := newTable(w)
	put(t, "Route\tFirst token ms p50\tp95\tp99\tToken gap ms p50\tp95\tp99\tAnswers\t\n")
	for _, l := range r.Latencies {
		put(t, "%s\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%.1f\t%d\t\n", l.Route,
			l.FirstToken.P50, l.FirstToken.P95, l.FirstToken.P99,
			l.TokenGap.P50, l.TokenGap.P95, l.TokenGap.P99, l.FirstToken.Events)
	}
	_ = t.Flush()
}

func newTable(w io.Writer) *tabwriter.Writer {
	const minWidth, tabWidth, padding = 0, 8, 2
	return tabwriter.NewWriter(w, minWidth, tabWidth, padding, ' ', 0)
}

// percent writes an objective without trailing zeros.
func percent(objective float64) string {
	const whole = 100
	return fmt.Sprintf("%.6g%%", objective*whole)
}

func put(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}
