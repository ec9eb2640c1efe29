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
	// maxPlotSeries is the maximum number of series in a plot. Those with the most
	// bad events are shown.
	maxPlotSeries = 6
	// plotRingIndex is the ring that plots show: 6 hours in buckets of 10 minutes.
	plotRingIndex = 2
	// minAxisTop is the minimum upper end of the burn rate axis.
	minAxisTop = 2
)

// plotSVG draws the burn rates of a level's routes over 6 hours as an SVG element.
// It returns an empty string if the level has no events.
func (r Report) plotSVG(l Level) (svg template.HTML, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("plot of %s: %w", l, err)
		}
	}()
	p, err := r.newPlot(l)
	if err != nil || p == nil {
		return "", err
	}
	return drawSVG(p)
}

// newPlot returns the newPlot of a level, or nil if it has no events.
func (r Report) newPlot(l Level) (*plot.Plot, error) {
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
	top := float64(minAxisTop)
	for i, s := range series {
		points := ratePoints(r.AsOf, s, r.objectives.Of(l))
		top = max(top, maxRate(points))
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

// plotSeries returns the routes' series for a plot, those with the most bad events
// first.
func (r Report) plotSeries(l Level) (series []Series) {
	for _, s := range r.summary.Series {
		if s.Level == l && s.Dimension == ByRoute && s.Count(r.AsOf, Hours6).Total > 0 {
			series = append(series, s)
		}
	}
	slices.SortStableFunc(series, func(a, b Series) int {
		return cmp.Compare(b.Count(r.AsOf, Hours6).Bad, a.Count(r.AsOf, Hours6).Bad)
	})
	return series[:min(len(series), maxPlotSeries)]
}

// ratePoints returns the burn rate of each complete bucket at its start time, and
// that of the last 5 minutes at the current time.
func ratePoints(now time.Time, s Series, objective float64) plotter.XYs {
	r := resolutions[plotRingIndex]
	newest := r.bucketIndex(now)
	points := make(plotter.XYs, 0, r.buckets)
	for index := newest - int64(r.buckets) + 1; index < newest; index++ {
		rate := BurnRate(s.Rings[plotRingIndex].countAt(index), objective)
		points = append(points, plotter.XY{X: float64(r.bucketStart(index).Unix()), Y: rate})
	}
	last := BurnRate(s.Count(now, Minutes5), objective)
	return append(points, plotter.XY{X: float64(now.Unix()), Y: last})
}

// hourTicks returns an axis tick at each full hour between two Unix times.
func hourTicks(minTime, maxTime float64) (ticks []plot.Tick) {
	const hour = 3600
	for at := math.Ceil(minTime/hour) * hour; at <= maxTime; at += hour {
		ticks = append(ticks, plot.Tick{Value: at, Label: time.Unix(int64(at), 0).UTC().Format("15:04")})
	}
	return ticks
}

func maxRate(points plotter.XYs) (top float64) {
	for _, p := range points {
		top = max(top, p.Y)
	}
	return top
}

// drawSVG draws a plot as an SVG element, without the XML prologue, which isn't
// valid inside HTML.
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
	// The conversion is safe: the SVG library escapes the names in the text.
	return template.HTML(out.Bytes()[start:]), nil
}
