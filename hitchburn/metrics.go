package hitchburn

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// Metric names.
const (
	// RequestsMetric counts requests by kind, route, outcome and reason.
	RequestsMetric = "citronhitch_requests_total"
	// FirstTokenMetric and TokenGapMetric are histograms in seconds, by route.
	FirstTokenMetric = "citronhitch_first_token_seconds"
	TokenGapMetric   = "citronhitch_token_gap_seconds"
	// FailuresMetric counts failed attempts by kind.
	FailuresMetric = "citronhitch_attempt_failures_total"
	// StoreCallsMetric counts calls to the key-value service by kind.
	StoreCallsMetric = "citronhitch_store_calls_total"
	// ControlSentMetric and ControlReceivedMetric count the bytes exchanged between
	// routers by kind.
	ControlSentMetric     = "citronhitch_control_sent_bytes_total"
	ControlReceivedMetric = "citronhitch_control_received_bytes_total"
	// InFlightMetric is the number of requests in flight.
	InFlightMetric = "citronhitch_requests_in_flight"
)

// Upper bounds of the histograms' buckets. They include FirstTokenLimit and
// TokenGapLimit.
var (
	firstTokenBounds = tally.DurationBuckets{
		50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond,
		FirstTokenLimit, 3 * time.Second, 6 * time.Second, 15 * time.Second, 60 * time.Second,
	}
	tokenGapBounds = tally.DurationBuckets{
		6 * time.Millisecond, 12 * time.Millisecond, 24 * time.Millisecond, TokenGapLimit, 96 * time.Millisecond,
		200 * time.Millisecond, 500 * time.Millisecond, time.Second,
	}
)

// Metrics reports events to a tally reporter. Its memory is bounded in the same way
// as that of Recorder. Without a Reporter it does nothing. Its methods are safe for
// concurrent use.
//
//	metrics := hitchburn.Metrics{Reporter: reporter, Instance: "router-1"}
//	metrics.Observe(event)
type Metrics struct {
	Reporter tally.CachedStatsReporter
	// Instance is the router's ID, a label of each metric.
	Instance hitchfleet.InstanceID

	mu       sync.Mutex
	requests map[requestLabels]tally.CachedCount
	routes   map[hitchfleet.RouteID]routeHistograms
	totals   map[totalLabels]*deltaCounter
	gauges   map[string]tally.CachedGauge
}

// requestLabels are the labels of RequestsMetric.
type requestLabels struct {
	kind    RequestKind
	route   hitchfleet.RouteID
	outcome hitchoutcome.Outcome
	reason  hitchoutcome.Reason
}

type routeHistograms struct {
	firstToken tally.CachedHistogram
	tokenGap   tally.CachedHistogram
}

type totalLabels struct {
	name string
	kind string
}

// deltaCounter reports a running total to a counter as increments.
type deltaCounter struct {
	counter tally.CachedCount
	last    uint64
}

// Observe records one event.
func (m *Metrics) Observe(e Event) {
	if m.Reporter == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	route, times := m.histogramsFor(e.Route)
	m.requestCounter(requestLabels{e.Kind, route, e.Outcome, e.Reason}).ReportCount(1)
	if after, ok := e.TimeToFirstToken(); ok {
		times.firstToken.DurationBucket(0, after).ReportSamples(1)
	}
	if gap, ok := e.MeanTokenGap(); ok {
		times.tokenGap.DurationBucket(0, gap).ReportSamples(1)
	}
}

// histogramsFor returns the histograms of a histogramsFor, or those of Other once there are
// MaxRoutes.
func (m *Metrics) histogramsFor(id hitchfleet.RouteID) (hitchfleet.RouteID, routeHistograms) {
	times, ok := m.routes[id]
	if ok {
		return id, times
	}
	if len(m.routes) >= MaxRoutes && id != Other {
		return m.histogramsFor(Other)
	}
	if m.routes == nil {
		m.routes = make(map[hitchfleet.RouteID]routeHistograms)
	}
	tags := m.tags("route", string(id))
	times = routeHistograms{
		firstToken: m.Reporter.AllocateHistogram(FirstTokenMetric, tags, firstTokenBounds),
		tokenGap:   m.Reporter.AllocateHistogram(TokenGapMetric, tags, tokenGapBounds),
	}
	m.routes[id] = times
	return id, times
}

func (m *Metrics) requestCounter(labels requestLabels) tally.CachedCount {
	counter, ok := m.requests[labels]
	if ok {
		return counter
	}
	if m.requests == nil {
		m.requests = make(map[requestLabels]tally.CachedCount)
	}
	counter = m.Reporter.AllocateCounter(RequestsMetric, m.tags(
		"kind", labels.kind.String(), "route", string(labels.route),
		"outcome", labels.outcome.String(), "reason", string(labels.reason)))
	m.requests[labels] = counter
	return counter
}

// SetTotal sets a counter to a running total that is counted elsewhere. Totals below
// the last one are ignored.
func (m *Metrics) SetTotal(name, kind string, total uint64) {
	if m.Reporter == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	labels := totalLabels{name, kind}
	delta, ok := m.totals[labels]
	if !ok {
		if m.totals == nil {
			m.totals = make(map[totalLabels]*deltaCounter)
		}
		delta = &deltaCounter{counter: m.Reporter.AllocateCounter(name, m.tags("kind", kind))}
		m.totals[labels] = delta
	}
	if total > delta.last {
		delta.counter.ReportCount(int64(total - delta.last))
		delta.last = total
	}
}

// SetGauge sets a gauge.
func (m *Metrics) SetGauge(name string, value float64) {
	if m.Reporter == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	gauge, ok := m.gauges[name]
	if !ok {
		if m.gauges == nil {
			m.gauges = make(map[string]tally.CachedGauge)
		}
		gauge = m.Reporter.AllocateGauge(name, m.tags())
		m.gauges[name] = gauge
	}
	gauge.ReportGauge(value)
}

// tags returns tally's tags from pairs of names and values, with the instance added.
func (m *Metrics) tags(pairs ...string) map[string]string {
	tags := map[string]string{"instance": string(m.Instance)}
	for i := 0; i+1 < len(pairs); i += 2 {
		tags[pairs[i]] = pairs[i+1]
	}
	return tags
}
