package hitchburn

import (
	"bytes"
	"cmp"
	"fmt"
	"html/template"
	"math"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Sizes of plots.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
	// plotLines is the most series of one plot: those with the most bad events.
	plotLines = 6
	// plotRing is the ring that plots show: 6 hours by 10 minutes.
	plotRing = 2
	// leastTop is the least top of the burn rate's axis.
	leastTop = 2
)

// plotOf draws the burn rates of a level's routes over 6 hours as an SVG element.
// It returns nothing if the level has no events.
func (r Report) plotOf(l Level) (svg template.HTML, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("plot of %s: %w", l, err)
		}
	}()
	p, err := r.plot(l)
	if err != nil || p == nil {
		return "", err
	}
	return drawSVG(p)
}

// plot returns the plot of a level, or nil if it has no events.
func (r Report) plot(l Level) (*plot.Plot, error) {
	series := r.plotSeries(l)
	if len(series) == 0 {
		return nil, nil
	}
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: burn rate by route, 6 hours by 10 minutes", l)
	p.Y.Label.Text = "burn rate"
	p.X.Tick.Marker = plot.TickerFunc(hourTicks)
	p.Legend.Top = true
	p.Legend.Left = true
	top := float64(leastTop)
	for i, s := range series {
		points := ratePoints(r.AsOf, s, r.objectives.Of(l))
		top = max(top, highest(points))
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(s.Name, line)
	}
	budget := plotter.NewFunction(func(float64) float64 { return 1 })
	budget.Dashes = plotutil.Dashes(1)
	p.Add(budget)
	p.Legend.Add("budget", budget)
	p.Y.Min, p.Y.Max = 0, top
	return p, nil
}

// plotSeries returns the routes of a plot, those with the most bad events first.
func (r Report) plotSeries(l Level) (series []Series) {
	for _, s := range r.summary.Series {
		if s.Level == l && s.Dimension == ByRoute && s.Count(r.AsOf, Hours6).Total > 0 {
			series = append(series, s)
		}
	}
	slices.SortStableFunc(series, func(a, b Series) int {
		return cmp.Compare(b.Count(r.AsOf, Hours6).Bad, a.Count(r.AsOf, Hours6).Bad)
	})
	return series[:min(len(series), plotLines)]
}

// ratePoints returns the burn rate of each whole bucket at the time of its start,
// and that of the last 5 minutes at the end.
func ratePoints(now time.Time, s Series, objective float64) plotter.XYs {
	r := resolutions[plotRing]
	newest := r.slot(now)
	points := make(plotter.XYs, 0, r.buckets)
	for slot := newest - int64(r.buckets) + 1; slot < newest; slot++ {
		rate := BurnRate(s.Rings[plotRing].at(slot), objective)
		points = append(points, plotter.XY{X: float64(r.start(slot).Unix()), Y: rate})
	}
	last := BurnRate(s.Count(now, Minutes5), objective)
	return append(points, plotter.XY{X: float64(now.Unix()), Y: last})
}

// hourTicks marks the full hours between two Unix times.
func hourTicks(least, most float64) (ticks []plot.Tick) {
	const hour = 3600
	for at := math.Ceil(least/hour) * hour; at <= most; at += hour {
		ticks = append(ticks, plot.Tick{Value: at, Label: time.Unix(int64(at), 0).UTC().Format("15:04")})
	}
	return ticks
}

func highest(points plotter.XYs) (top float64) {
	for _, p := range points {
		top = max(top, p.Y)
	}
	return top
}

// drawSVG returns a plot as an SVG element without the XML prologue, which doesn't
// belong in HTML.
func drawSVG(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	start := bytes.Index(out.Bytes(), []byte("<svg"))
	if start < 0 {
		return "", fmt.Errorf("no svg element in %d bytes", out.Len())
	}
	// The text comes from the SVG library, which escapes the names in it.
	return template.HTML(out.Bytes()[start:]), nil
}
