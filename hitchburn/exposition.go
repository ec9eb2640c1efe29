package hitchburn

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// ExpositionContentType is the media type of Exposition's output.
const ExpositionContentType = "text/plain; version=0.0.4; charset=utf-8"

// Exposition is a tally reporter that stores metrics in memory and writes them in
// the Prometheus text format, version 0.0.4. The zero value is empty. Its methods
// are safe for concurrent use.
//
//	var exposition hitchburn.Exposition
//	metrics := hitchburn.Metrics{Reporter: &exposition}
//	_, err := exposition.WriteTo(w)
type Exposition struct {
	mu       sync.Mutex
	families map[string]*family
}

var _ tally.CachedStatsReporter = (*Exposition)(nil)

// family holds the samples of one metric name, by their labels.
type family struct {
	kind    string
	samples map[string]*sample
}

// sample is one metric with one set of labels. Its lock keeps the fields of a
// histogram consistent.
type sample struct {
	mu     sync.Mutex
	value  float64
	bounds []float64
	counts []uint64
	count  uint64
}

// sample returns the sample for a metric name and labels, and creates it if needed.
func (e *Exposition) sample(kind, name string, tags map[string]string, bounds []float64) *sample {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.families == nil {
		e.families = make(map[string]*family)
	}
	f, ok := e.families[name]
	if !ok {
		f = &family{kind: kind, samples: make(map[string]*sample)}
		e.families[name] = f
	}
	labels := formatLabels(tags)
	s, ok := f.samples[labels]
	if !ok {
		s = &sample{bounds: bounds, counts: make([]uint64, len(bounds))}
		f.samples[labels] = s
	}
	return s
}

// AllocateCounter returns the counter with a name and labels.
func (e *Exposition) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	return e.sample("counter", name, tags, nil)
}

// AllocateGauge returns the gauge with a name and labels.
func (e *Exposition) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	return e.sample("gauge", name, tags, nil)
}

// AllocateTimer returns the summary, without quantiles, with a name and labels.
func (e *Exposition) AllocateTimer(name string, tags map[string]string) tally.CachedTimer {
	return e.sample("summary", name, tags, nil)
}

// AllocateHistogram returns the histogram with a name and labels.
func (e *Exposition) AllocateHistogram(name string, tags map[string]string, buckets tally.Buckets) tally.CachedHistogram {
	return e.sample("histogram", name, tags, buckets.AsValues())
}

// Capabilities reports that tags are supported.
func (e *Exposition) Capabilities() tally.Capabilities { return capabilities{} }

// Flush does nothing, as nothing is buffered.
func (e *Exposition) Flush() {}

type capabilities struct{}

// Reporting is always true.
func (capabilities) Reporting() bool { return true }

// Tagging is always true.
func (capabilities) Tagging() bool { return true }

// ReportCount adds to a counter.
func (s *sample) ReportCount(n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value += float64(n)
}

// ReportGauge sets a gauge.
func (s *sample) ReportGauge(value float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value = value
}

// ReportTimer adds a time to a summary.
func (s *sample) ReportTimer(d time.Duration) { s.observe(d.Seconds(), 1) }

// histogramBucket receives the samples of one histogram bucket from tally.
type histogramBucket struct {
	sample *sample
	value  float64
}

// ReportSamples adds n samples at the bucket's upper bound.
func (o histogramBucket) ReportSamples(n int64) { o.sample.observe(o.value, uint64(n)) }

// ValueBucket returns the bucket that ends at an upper bound.
func (s *sample) ValueBucket(_, upper float64) tally.CachedHistogramBucket {
	return histogramBucket{s, upper}
}

// DurationBucket returns the bucket that ends at an upper bound.
func (s *sample) DurationBucket(_, upper time.Duration) tally.CachedHistogramBucket {
	return histogramBucket{s, upper.Seconds()}
}

// observe adds n observations of a value. Buckets are cumulative: each one whose
// upper bound is at least the value is incremented.
func (s *sample) observe(value float64, n uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value += value * float64(n)
	s.count += n
	for i, bound := range s.bounds {
		if value <= bound {
			s.counts[i] += n
		}
	}
}

// WriteTo writes all metrics, sorted by name and labels.
func (e *Exposition) WriteTo(w io.Writer) (int64, error) {
	var text strings.Builder
	e.mu.Lock()
	for _, name := range slices.Sorted(maps.Keys(e.families)) {
		f := e.families[name]
		writef(&text, "# TYPE %s %s\n", name, f.kind)
		for _, labels := range slices.Sorted(maps.Keys(f.samples)) {
			f.samples[labels].writeTo(&text, f.kind, name, labels)
		}
	}
	e.mu.Unlock()
	n, err := io.WriteString(w, text.String())
	return int64(n), err
}

func (s *sample) writeTo(w io.Writer, kind, name, labels string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if kind == "counter" || kind == "gauge" {
		writef(w, "%s{%s} %s\n", name, labels, formatFloat(s.value))
		return
	}
	if kind == "histogram" {
		for i, bound := range s.bounds {
			writef(w, "%s_bucket{%s} %d\n", name, joinLabels(labels, `le="`+formatFloat(bound)+`"`), s.counts[i])
		}
		writef(w, "%s_bucket{%s} %d\n", name, joinLabels(labels, `le="+Inf"`), s.count)
	}
	writef(w, "%s_sum{%s} %s\n%s_count{%s} %d\n", name, labels, formatFloat(s.value), name, labels, s.count)
}

// labelEscaper escapes label values for the Prometheus text format.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// formatLabels formats labels sorted by name.
func formatLabels(tags map[string]string) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(tags)) {
		parts = append(parts, fmt.Sprintf(`%s="%s"`, name, labelEscaper.Replace(tags[name])))
	}
	return strings.Join(parts, ",")
}

func joinLabels(labels, label string) string {
	if labels == "" {
		return label
	}
	return labels + "," + label
}

func formatFloat(f float64) string {
	const bits = 64
	return strconv.FormatFloat(f, 'g', -1, bits)
}
