package hitchburn

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/samber/lo"
)

// Text returns the report as readable text. Its first line is the headline.
func (r Report) Text() string {
	var text strings.Builder
	writef(&text, "%s\n", r.Headline)
	writef(&text, "AsOf=%s Routers=%d Missing=%d\n", r.AsOf.Format(time.RFC3339), len(r.Routers), len(r.Missing))
	for _, m := range r.Missing {
		writef(&text, "Missing=%s Address=%s Error=%q\n", m.Instance, m.Address, m.Error)
	}
	for _, f := range r.Findings {
		writef(&text, "%s: %s\n", f.Severity, f)
	}
	for d := range dimensionCount {
		r.levelTable(&text, d)
	}
	r.latencyTable(&text)
	return text.String()
}

// rows returns the level rows of one dimension.
func (r Report) rows(d Dimension) []LevelRow {
	return lo.Filter(r.Levels, func(row LevelRow, _ int) bool { return row.Dimension == d })
}

func (r Report) levelTable(w io.Writer, d Dimension) {
	rows := r.rows(d)
	if len(rows) == 0 {
		return
	}
	writef(w, "\n")
	t := newTable(w)
	writef(t, "%s\tLevel\tObjective\tBurn 5m\t30m\t1h\t6h\t3d\tEvents 3d\tBad\t\n", d)
	for _, row := range rows {
		writef(t, "%s\t%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%d\t\n", row.Name, row.Level, percent(row.Objective),
			row.Rates.Minutes5, row.Rates.Minutes30, row.Rates.Hour1, row.Rates.Hours6, row.Rates.Days3,
			row.Events.Total, row.Events.Bad)
	}
	_ = t.Flush()
}

func (r Report) latencyTable(w io.Writer) {
	if len(r.Latencies) == 0 {
		return
	}
	writef(w, "\n")
	t := newTable(w)
	writef(t, "Route\tFirst token ms p50\tp95\tp99\tToken gap ms p50\tp95\tp99\tAnswers\t\n")
	for _, l := range r.Latencies {
		writef(t, "%s\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%.1f\t%d\t\n", l.Route,
			l.FirstToken.P50, l.FirstToken.P95, l.FirstToken.P99,
			l.TokenGap.P50, l.TokenGap.P95, l.TokenGap.P99, l.FirstToken.Events)
	}
	_ = t.Flush()
}

func newTable(w io.Writer) *tabwriter.Writer {
	const minWidth, tabWidth, padding = 0, 8, 2
	return tabwriter.NewWriter(w, minWidth, tabWidth, padding, ' ', 0)
}

// percent formats an objective as a percentage without trailing zeros.
func percent(objective float64) string {
	const percentScale = 100
	return fmt.Sprintf("%.6g%%", objective*percentScale)
}

func writef(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}
