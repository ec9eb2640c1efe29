package hitchingress

import (
	"fmt"
	"io"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"citronhitch.example/citronhitch/hitchdispatch"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchpath"
	"citronhitch.example/citronhitch/hitchquarantine"
	"citronhitch.example/citronhitch/hitchrollout"
)

// Range and precision of the latency histograms.
const (
	maxLatencyMilliseconds   = 120_000
	latencySignificantDigits = 2
)

// Metrics counts requests and failed attempts, and records latencies. The zero value
// is ready to use. Its methods are safe for concurrent use.
type Metrics struct {
	requests counts[requestKey]
	failures counts[string]
	// retries counts the retries that were wanted, by whether the budget allowed them.
	retries counts[retryCountKey]
	// resumptions counts streams that were to go on, by how their origin was known, or
	// why they can't.
	resumptions counts[string]
	// quarantineDecisions counts decisions about traits of requests, quarantineRefusals the
	// requests that were ended for them, and turns the answers to questions for turns, by
	// whether one was granted.
	quarantineDecisions counts[hitchquarantine.DecisionKind]
	quarantineRefusals  atomic.Int64
	turns               counts[bool]
	// confirmedCrashes counts the endpoints that lost requests and turned out to have crashed.
	confirmedCrashes counts[hitchquarantine.CrashEvidence]
	// relays counts the requests that were relayed through other instances, or by them.
	relays counts[string]
	// pathChanges counts the changes of this instance's path to the endpoints, by the new state.
	pathChanges counts[hitchpath.State]
	// permits counts the answers to questions for permits, by whether one was granted.
	permits counts[bool]
	// slots counts the answers to questions for slots, and the slots that were handed back or
	// taken without an owner. slotWaits counts the questions by the time until the answer.
	slots     counts[string]
	slotWaits counts[slotWaitBucket]
	// slotResults counts the attempts with a slot.
	slotResults counts[slotResultKey]
	// notRunResponses counts the responses that say that a request wasn't run.
	notRunResponses counts[notRunKey]
	// repeatedIDs counts the requests whose ID was sent to the same endpoint before.
	repeatedIDs atomic.Int64
	// rolloutAttempts counts the attempts that have ended while their service's rollout was
	// active.
	rolloutAttempts counts[rolloutAttemptKey]

	mu        sync.Mutex
	latencies map[string]*hdrhistogram.Histogram
}

// counts are numbers of events by a label. The zero value has none.
type counts[K comparable] struct {
	mu      sync.Mutex
	byLabel map[K]int64
}

// add counts one event.
func (c *counts[K]) add(label K) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byLabel == nil {
		c.byLabel = make(map[K]int64)
	}
	c.byLabel[label]++
}

// all returns a copy of the numbers.
func (c *counts[K]) all() map[K]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.byLabel)
}

// requestKey holds the labels of the request counter.
type requestKey struct {
	kind   string
	end    string
	status int
}

// countRequest counts a finished request and records the latency of its first event,
// or of the whole response if it wasn't streamed.
func (m *Metrics) countRequest(req *proxyRequest, now time.Time) {
	if m == nil {
		return
	}
	kind := "None"
	if req.route != nil {
		kind = req.route.Kind.String()
	}
	m.requests.add(requestKey{kind: kind, end: req.logEntry.end, status: req.logEntry.status})
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.latencies == nil {
		m.latencies = make(map[string]*hdrhistogram.Histogram)
	}
	histogram := m.latencies[kind]
	if histogram == nil {
		histogram = hdrhistogram.New(1, maxLatencyMilliseconds, latencySignificantDigits)
		m.latencies[kind] = histogram
	}
	firstResponseAt := now
	if !req.logEntry.firstEventAt.IsZero() {
		firstResponseAt = req.logEntry.firstEventAt
	}
	_ = histogram.RecordValue(min(firstResponseAt.Sub(req.receivedAt).Milliseconds(), maxLatencyMilliseconds))
}

// countFailedAttempt counts a failed attempt by its outcome.
func (m *Metrics) countFailedAttempt(result attemptResult) {
	if m != nil {
		m.failures.add(result.outcome.String())
	}
}

// retryCountKey holds the labels of the counter of retries.
type retryCountKey struct {
	kind      retryKind
	isAllowed bool
}

// countRetry counts a retry that was wanted, and whether the budget allowed it.
func (m *Metrics) countRetry(kind retryKind, isAllowed bool) {
	if m != nil {
		m.retries.add(retryCountKey{kind: kind, isAllowed: isAllowed})
	}
}

// Results of resumptions beside the sources of origins.
const (
	resumptionNoEndpoint = "NoEndpoint"
	resumptionStale      = "Stale"
)

// countResumption counts a stream that is to go on.
func (m *Metrics) countResumption(result string) {
	if m != nil {
		m.resumptions.add(result)
	}
}

// countQuarantineDecision counts a decision about a trait of requests.
func (m *Metrics) countQuarantineDecision(kind hitchquarantine.DecisionKind) {
	if m != nil {
		m.quarantineDecisions.add(kind)
	}
}

// countQuarantineRefusal counts a request that was ended for one of its traits.
func (m *Metrics) countQuarantineRefusal() {
	if m != nil {
		m.quarantineRefusals.Add(1)
	}
}

// countTurn counts the answer to a question for a turn.
func (m *Metrics) countTurn(isGranted bool) {
	if m != nil {
		m.turns.add(isGranted)
	}
}

// countConfirmedCrash counts an endpoint that lost requests and has crashed.
func (m *Metrics) countConfirmedCrash(evidence hitchquarantine.CrashEvidence) {
	if m != nil {
		m.confirmedCrashes.add(evidence)
	}
}

// CountPathChange counts a change of the state of this instance's path to the endpoints.
func (m *Metrics) CountPathChange(s hitchpath.State) {
	m.pathChanges.add(s)
}

// countRelayed counts a request that was sent to another instance, or received from one.
func (m *Metrics) countRelayed(direction string) {
	if m != nil {
		m.relays.add(direction)
	}
}

// countPermit counts the answer to a question for a permit.
func (m *Metrics) countPermit(isGranted bool) {
	if m != nil {
		m.permits.add(isGranted)
	}
}

// countSlot counts an answer to a question for a slot, or what else became of a slot.
func (m *Metrics) countSlot(label string) {
	if m != nil {
		m.slots.add(label)
	}
}

// slotResultKey holds the labels of the counter of attempts with a slot.
type slotResultKey struct {
	endpoint hitchfleet.EndpointID
	outcome  hitchdispatch.Outcome
}

// countSlotResult counts an attempt with a slot that has ended.
func (m *Metrics) countSlotResult(key slotResultKey) {
	if m != nil {
		m.slotResults.add(key)
	}
}

// responseID is whose ID a response has, as its metric is labelled.
type responseID string

// Whose ID a response has.
const (
	ownID   responseID = "Own"
	noID    responseID = "None"
	otherID responseID = "Other"
)

// identify returns whose ID a response to a request has.
func identify(got, requestID string) responseID {
	switch got {
	case requestID:
		return ownID
	case "":
		return noID
	default:
		return otherID
	}
}

// notRunKey holds the labels of the counter of responses that say that a request wasn't run.
type notRunKey struct {
	id responseID
	// isKept is set if the connection has carried other requests before.
	isKept bool
}

// countRepeatedID counts a request whose ID was sent to the same endpoint before.
func (m *Metrics) countRepeatedID() { m.repeatedIDs.Add(1) }

// countNotRunResponse counts a response that says that a request wasn't run.
func (m *Metrics) countNotRunResponse(key notRunKey) {
	if m != nil {
		m.notRunResponses.add(key)
	}
}

// slotWaitBucket is the upper bound of a wait for a slot, in milliseconds; 0 stands for no bound.
type slotWaitBucket int

// slotWaitBuckets are the bounds that are told apart.
var slotWaitBuckets = []slotWaitBucket{10, 50, 150, 500}

// recordSlotWait records how long a request waited for the answer to a question for a slot.
func (m *Metrics) recordSlotWait(waited time.Duration) {
	if m == nil {
		return
	}
	for _, bound := range slotWaitBuckets {
		if waited.Milliseconds() < int64(bound) {
			m.slotWaits.add(bound)
			return
		}
	}
	m.slotWaits.add(0)
}

// rolloutAttemptKey holds the labels of the counter of attempts during rollouts.
type rolloutAttemptKey struct {
	service hitchfleet.ServiceID
	version string
	result  string
}

// countRolloutAttempt counts an attempt that has ended while its service's rollout was active.
func (m *Metrics) countRolloutAttempt(service hitchfleet.ServiceID, version string, o hitchrollout.Outcome) {
	if m == nil {
		return
	}
	result := "OK"
	switch {
	case o.IsIgnored:
		result = "Ignored"
	case o.IsFailure:
		result = "Failed"
	}
	m.rolloutAttempts.add(rolloutAttemptKey{service: service, version: version, result: result})
}

// quantiles are the exported latency quantiles, in percent.
var quantiles = []float64{50, 90, 99}

// WriteTo writes the metrics as text, in the Prometheus exposition format.
func (m *Metrics) WriteTo(w io.Writer) (n int64, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := &countingWriter{w: w}
	for key, count := range m.requests.all() {
		out.printf("citronhitch_requests_total{kind=%q,end=%q,status=\"%d\"} %d\n", key.kind, key.end, key.status, count)
	}
	for outcome, count := range m.failures.all() {
		out.printf("citronhitch_failed_attempts_total{outcome=%q} %d\n", outcome, count)
	}
	for key, count := range m.retries.all() {
		out.printf("citronhitch_retries_total{after=%q,allowed=\"%t\"} %d\n", key.kind, key.isAllowed, count)
	}
	for result, count := range m.resumptions.all() {
		out.printf("citronhitch_stream_resumptions_total{result=%q} %d\n", result, count)
	}
	for kind, count := range m.quarantineDecisions.all() {
		out.printf("citronhitch_quarantine_decisions_total{decision=%q} %d\n", kind, count)
	}
	for isGranted, count := range m.turns.all() {
		out.printf("citronhitch_turns_total{granted=\"%t\"} %d\n", isGranted, count)
	}
	for evidence, count := range m.confirmedCrashes.all() {
		out.printf("citronhitch_confirmed_crashes_total{evidence=%q} %d\n", evidence, count)
	}
	for state, count := range m.pathChanges.all() {
		out.printf("citronhitch_path_changes_total{state=%q} %d\n", state, count)
	}
	for direction, count := range m.relays.all() {
		out.printf("citronhitch_relayed_requests_total{direction=%q} %d\n", direction, count)
	}
	for isGranted, count := range m.permits.all() {
		out.printf("citronhitch_permits_total{granted=\"%t\"} %d\n", isGranted, count)
	}
	for result, count := range m.slots.all() {
		out.printf("citronhitch_slot_answers_total{result=%q} %d\n", result, count)
	}
	for key, count := range m.slotResults.all() {
		out.printf("citronhitch_slot_attempts_total{endpoint=%q,outcome=%q} %d\n", key.endpoint, key.outcome, count)
	}
	for bound, count := range m.slotWaits.all() {
		out.printf("citronhitch_slot_waits_total{below_milliseconds=\"%d\"} %d\n", bound, count)
	}
	for key, count := range m.rolloutAttempts.all() {
		out.printf("citronhitch_rollout_attempts_total{service=%q,version=%q,result=%q} %d\n", key.service, key.version, key.result, count)
	}
	for key, count := range m.notRunResponses.all() {
		out.printf("citronhitch_not_run_responses_total{id=%q,kept=\"%t\"} %d\n", key.id, key.isKept, count)
	}
	out.printf("citronhitch_repeated_ids_total %d\n", m.repeatedIDs.Load())
	out.printf("citronhitch_quarantine_refusals_total %d\n", m.quarantineRefusals.Load())
	for kind, histogram := range m.latencies {
		for _, quantile := range quantiles {
			out.printf("citronhitch_first_answer_milliseconds{kind=%q,quantile=\"%g\"} %d\n", kind, quantile/100, histogram.ValueAtQuantile(quantile))
		}
		out.printf("citronhitch_first_answer_milliseconds_count{kind=%q} %d\n", kind, histogram.TotalCount())
	}
	return out.n, out.err
}

// countingWriter counts the bytes written and stops at the first error.
type countingWriter struct {
	w   io.Writer
	n   int64
	err error
}

func (c *countingWriter) printf(format string, args ...any) {
	if c.err != nil {
		return
	}
	n, err := fmt.Fprintf(c.w, format, args...)
	c.n += int64(n)
	c.err = err
}
