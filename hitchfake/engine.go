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
	defaultTokensPerSecond  = 500
	defaultPrefillPerSecond = 100_000
	defaultBatchSlowdown    = 0.02
	defaultMaxRunning       = 64
	defaultMaxWaiting       = 256
	defaultCacheTokens      = 1 << 20
	defaultColdLimit        = 4
	defaultDownMillis       = 2000

	// streamLinger is how long a stream goes on, and can be resumed, without a
	// connection.
	streamLinger = 5 * time.Second
)

// Engine is a stand-in for a model engine with an OpenAI-compatible API. It
// batches continuously: each step gives every running stream one token, and a
// step takes longer the more streams run.
//
//	engine := hitchfake.Engine{TokensPerSecond: 1000, CacheTokens: 50_000}
//	server := httptest.NewServer(engine.Handler())
//	defer server.Close()
type Engine struct {
	// TokensPerSecond is the rate of a stream that runs alone.
	TokensPerSecond float64
	// PrefillPerSecond is the rate of prompt tokens, for all streams together.
	PrefillPerSecond float64
	// BatchSlowdown is what each further stream adds to a step, as a part of the
	// step of one stream.
	BatchSlowdown float64
	MaxRunning    int
	MaxWaiting    int
	// CacheTokens is the size of the prefix cache.
	CacheTokens int
	// ColdLimit is how many requests a cold engine bears; one more makes it fall
	// over.
	ColdLimit int
	// DownMillis is how long an engine that fell over breaks all connections.
	DownMillis int
	// ColdMillis is how long an engine is cold after it has loaded a model.
	ColdMillis int
	// LoadMillis is how long a load takes until the version serves, for an engine
	// that reports what it holds.
	LoadMillis int
	// Slots is how many versions such an engine holds at once; 0 means 1.
	Slots int
	// Weights is where such an engine loads from; nil loads without a limit.
	Weights *Weights
	// LoadLagMillis is the age of what the load report says.
	LoadLagMillis int
	// EventLagMillis is how late cache events are published.
	EventLagMillis int
	// IgnoresFencing makes the engine carry out orders with old fencing numbers.
	IgnoresFencing bool
	Faults         Faults

	unnamed atomic.Uint64 // streams without an attempt ID

	mu        sync.Mutex
	streams   map[string]*stream
	running   []*stream
	waiting   []*stream
	submitted uint64
	batching  bool
	coldUntil time.Time
	downUntil time.Time
	loads     history[Load]
	cache     prefixCache
	chats     map[string]chatPrefix
	orders    orderBook
}

// Handler serves the engine's API.
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
			cut()
		}
		mux.ServeHTTP(w, r)
	})
}

// Admin serves the faults and what the engine has recorded.
func (e *Engine) Admin() http.Handler {
	mux := http.NewServeMux()
	e.Faults.register(mux)
	mux.HandleFunc("GET /records", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.Records())
	})
	return mux
}

// EngineRecords is what an engine has seen. It is the body of GET /records.
type EngineRecords struct {
	Orders []OrderRecord
	// Submitted is the number of chat requests that were admitted or queued.
	Submitted uint64
	// Falls is the number of times that the engine fell over while cold.
	Falls int
	// Down is set while the engine breaks all connections.
	Down bool
}

// Records returns what the engine has seen.
func (e *Engine) Records() EngineRecords {
	down := e.isDown()
	e.mu.Lock()
	defer e.mu.Unlock()
	return EngineRecords{
		Orders:    slices.Clone(e.orders.records),
		Submitted: e.submitted,
		Falls:     e.orders.falls,
		Down:      down,
	}
}

func (e *Engine) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.downUntil)
}

// coldState says whether the engine is cold and whether its load report says
// so. It needs the lock.
func (e *Engine) coldState() (cold, announced bool) {
	fault, ok := e.Faults.first(FaultCold)
	warming := time.Now().Before(e.coldUntil)
	return ok || warming, fault.Announced || warming
}

// fallOver breaks all streams and leaves the engine down. It needs the lock.
func (e *Engine) fallOver() {
	e.downUntil = time.Now().Add(millis(e.DownMillis, defaultDownMillis))
	e.orders.falls++
	for _, s := range e.streams {
		s.end(streamBroken)
	}
	clear(e.streams)
	e.running, e.waiting = nil, nil
}

func millis(n, byDefault int) time.Duration {
	return time.Duration(cmp.Or(n, byDefault)) * time.Millisecond
}
