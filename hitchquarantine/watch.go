package hitchquarantine

import (
	"cmp"
	"context"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Times and limits of the watch over endpoints that lost requests.
const (
	// lossTTL is how long it is found out whether an endpoint has crashed. It is longer than
	// one takes to start again and to be listed.
	lossTTL = 8 * time.Second
	// minCheckInterval and maxCheckInterval are the times between two checks of an endpoint's
	// address, which double, and maxCheckTime limits each check.
	minCheckInterval = 250 * time.Millisecond
	maxCheckInterval = time.Second
	maxCheckTime     = 250 * time.Millisecond
	// maxWatchedRuns limits the endpoints that are watched at a time.
	maxWatchedRuns = 64
)

// CrashEvidence is what shows that an endpoint has crashed.
type CrashEvidence uint8

// The kinds of evidence.
const (
	// AddressRefuses means that nothing listens at the endpoint's address.
	AddressRefuses CrashEvidence = iota
	// OtherListed means that another endpoint, or another run of it, is listed at its address.
	OtherListed
	// OtherAnswered means that another endpoint has answered at its address.
	OtherAnswered
)

// String returns the evidence's name in logs.
func (e CrashEvidence) String() string {
	return [...]string{"AddressRefuses", "OtherListed", "OtherAnswered"}[e]
}

// CrashWatch finds out whether endpoints that lost requests without an answer have crashed. Its
// fields are set before Follow.
type CrashWatch struct {
	// Refuses reports whether nothing listens at an endpoint's address any more.
	Refuses func(ctx context.Context, e hitchfleet.Endpoint) bool
	// OnCrash is called once an endpoint has crashed, with the time since the last loss.
	OnCrash func(e hitchfleet.Endpoint, evidence CrashEvidence, lostAgo time.Duration)

	mu   sync.Mutex
	runs map[hitchfleet.RunID]*watchedRun
}

// watchedRun is an endpoint that has lost requests.
type watchedRun struct {
	endpoint hitchfleet.Endpoint
	lostAt   time.Time // the last loss
}

// Follow watches an endpoint that has lost a request.
func (w *CrashWatch) Follow(now time.Time, e hitchfleet.Endpoint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if run := w.runs[e.Run()]; run != nil {
		run.lostAt = now
		return
	}
	if len(w.runs) >= maxWatchedRuns {
		return
	}
	if w.runs == nil {
		w.runs = make(map[hitchfleet.RunID]*watchedRun)
	}
	w.runs[e.Run()] = &watchedRun{endpoint: e, lostAt: now}
	time.AfterFunc(minCheckInterval, func() { w.check(e, minCheckInterval) })
}

// check checks the address of an endpoint, time and again until the watch ends.
func (w *CrashWatch) check(e hitchfleet.Endpoint, interval time.Duration) {
	if !w.isWatched(time.Now(), e.Run()) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxCheckTime)
	defer cancel()
	if w.Refuses(ctx, e) {
		w.end(e.Run(), AddressRefuses)
		return
	}
	interval = min(2*interval, maxCheckInterval)
	time.AfterFunc(interval, func() { w.check(e, interval) })
}

// isWatched reports whether an endpoint is still watched.
func (w *CrashWatch) isWatched(now time.Time, id hitchfleet.RunID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	run := w.runs[id]
	if run != nil && now.Sub(run.lostAt) >= lossTTL {
		delete(w.runs, id)
		return false
	}
	return run != nil
}

// ObserveAnswer records that another endpoint has answered at the address of one.
func (w *CrashWatch) ObserveAnswer(instead hitchfleet.Endpoint) { w.end(instead.Run(), OtherAnswered) }

// ObserveEndpoints records which endpoints are listed now. They are asked for only if one is
// watched.
func (w *CrashWatch) ObserveEndpoints(list func() []hitchfleet.Endpoint) {
	for _, run := range w.replaced(list) {
		w.end(run, OtherListed)
	}
}

// replaced returns the watched runs in whose place others are listed.
func (w *CrashWatch) replaced(list func() []hitchfleet.Endpoint) (replaced []hitchfleet.RunID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.runs) == 0 {
		return nil
	}
	newest := make(map[string]hitchfleet.Endpoint)
	for _, e := range list() {
		if other, ok := newest[addressOf(e)]; !ok || e.Born > other.Born {
			newest[addressOf(e)] = e
		}
	}
	for id, run := range w.runs {
		if other, ok := newest[addressOf(run.endpoint)]; ok && other.Run() != id && other.Born >= run.endpoint.Born {
			replaced = append(replaced, id)
		}
	}
	return replaced
}

// addressOf returns where an endpoint is reached.
func addressOf(e hitchfleet.Endpoint) string { return cmp.Or(e.Addr, e.URL) }

// end ends the watch of a run that has crashed.
func (w *CrashWatch) end(id hitchfleet.RunID, evidence CrashEvidence) {
	w.mu.Lock()
	run := w.runs[id]
	delete(w.runs, id)
	w.mu.Unlock()
	if run != nil {
		w.OnCrash(run.endpoint, evidence, time.Since(run.lostAt))
	}
}
