package hitchfake

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Defaults of an Engine whose fields are zero.
const (
	defaultTokensPerSecond        = 500
	defaultPrefillTokensPerSecond = 100_000
	defaultBatchSlowdown          = 0.02
	defaultMaxRunning             = 64
	defaultMaxWaiting             = 256
	defaultCacheTokens            = 1 << 20
	defaultColdLimit              = 4
	defaultDownMillis             = 2000

	// detachedStreamTTL is how long a stream without a connection keeps running and
	// can be resumed.
	detachedStreamTTL = 5 * time.Second
)

// Engine is a fake model engine with an OpenAI-compatible API. It
// uses continuous batching: each step generates one token for every running
// stream, and a step takes longer the more streams are running.
//
//	engine := hitchfake.Engine{TokensPerSecond: 1000, CacheTokens: 50_000}
//	server := httptest.NewServer(engine.Handler())
//	defer server.Close()
type Engine struct {
	// TokensPerSecond is the token rate of a stream that is alone in the batch.
	TokensPerSecond float64
	// PrefillTokensPerSecond is the prefill rate in prompt tokens, shared by all
	// streams.
	PrefillTokensPerSecond float64
	// BatchSlowdown is the time that each further stream adds to a step, as a
	// fraction of the step of a single stream.
	BatchSlowdown float64
	MaxRunning    int
	MaxWaiting    int
	// CacheTokens is the size of the prefix cache.
	CacheTokens int
	// ColdLimit is the maximum number of concurrent requests of a cold engine. One
	// more makes it crash.
	ColdLimit int
	// DownMillis is how long a crashed engine closes all connections.
	DownMillis int
	// ColdMillis is the length of the cold start after a model has been loaded.
	ColdMillis int
	// LoadMillis is the time to load a model version, for an engine that reports
	// its loaded models.
	LoadMillis int
	// Slots is the maximum number of versions loaded at once in such an engine; 0
	// means 1.
	Slots int
	// Weights limits the loads of such an engine; with nil there is no limit.
	Weights *Weights
	// LoadLagMillis is the age of the values in the load report.
	LoadLagMillis int
	// EventLagMillis is the delay before cache events are published.
	EventLagMillis int
	// IgnoresFencing makes the engine accept orders with outdated fencing numbers.
	IgnoresFencing bool
	Faults         Faults

	anonymousStreams atomic.Uint64 // number of streams without an attempt ID

	mu                sync.Mutex
	streams           map[string]*stream
	running           []*stream
	waiting           []*stream
	submittedRequests uint64
	isBatching        bool
	coldUntil         time.Time
	downUntil         time.Time
	loadHistory       history[Load]
	cache             prefixCache
	chatPrefixes      map[string]chatPrefix
	orders            orderState
}

// Handler returns the handler of the engine's API.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("GET /v1/streams/{attempt}", e.serveResume)
	mux.HandleFunc("DELETE /v1/streams/{attempt}", e.serveCancel)
	mux.HandleFunc("GET /v1/load", e.serveLoad)
	mux.HandleFunc("GET /v1/cache/events", e.serveCacheEvents)
	mux.HandleFunc("GET /v1/cache/{chat}", e.serveExport)
	mux.HandleFunc("PUT /v1/cache/{chat}", e.serveImport)
	mux.HandleFunc("POST /v1/orders", e.serveOrder)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.isDown() {
			closeConnection()
		}
		mux.ServeHTTP(w, r)
	})
}

// Admin returns the handler for fault injection and for GET /records.
func (e *Engine) Admin() http.Handler {
	mux := http.NewServeMux()
	e.Faults.register(mux)
	mux.HandleFunc("GET /records", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.Records())
	})
	return mux
}

// EngineRecords has the orders and the counters of an engine. It is the body of
// GET /records.
type EngineRecords struct {
	Orders []OrderRecord
	// Submitted is the number of chat requests that were admitted or queued.
	Submitted uint64
	// Falls is the number of crashes during a cold start.
	Falls int
	// Down is set while the engine closes all connections after a crash.
	Down bool
}

// Records returns the orders and the counters of the engine.
func (e *Engine) Records() EngineRecords {
	down := e.isDown()
	e.mu.Lock()
	defer e.mu.Unlock()
	return EngineRecords{
		Orders:    slices.Clone(e.orders.records),
		Submitted: e.submittedRequests,
		Falls:     e.orders.crashes,
		Down:      down,
	}
}

func (e *Engine) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.downUntil)
}

// coldState reports whether the engine is cold and whether its load report
// announces it. The caller must hold e.mu.
func (e *Engine) coldState() (cold, announced bool) {
	fault, ok := e.Faults.find(FaultCold)
	warming := time.Now().Before(e.coldUntil)
	return ok || warming, fault.Announced || warming
}

// crash aborts all streams and takes the engine down for DownMillis. The caller
// must hold e.mu.
func (e *Engine) crash() {
	e.downUntil = time.Now().Add(millis(e.DownMillis, defaultDownMillis))
	e.orders.crashes++
	for _, s := range e.streams {
		s.end(streamAborted)
	}
	clear(e.streams)
	e.running, e.waiting = nil, nil
}

func millis(n, defaultMillis int) time.Duration {
	return time.Duration(cmp.Or(n, defaultMillis)) * time.Millisecond
}
