package hitchfake

import (
	"cmp"
	"net/http"
	"time"
)

// Load is the load report of an engine or a service.
type Load struct {
	Running int
	Waiting int
	// MaxRunning is the maximum number of running requests; further ones wait.
	MaxRunning int
	// TokensOutstanding counts the prompt tokens still to prefill and the response
	// tokens still to generate.
	TokensOutstanding int
	CachedTokens      int
	// Cold is set during an announced cold start.
	Cold bool
	// AsOf is the time of the reported values.
	AsOf time.Time
}

// load returns the engine's current load. The caller must hold e.mu.
func (e *Engine) load(now time.Time) Load {
	_, announced := e.coldState()
	l := Load{
		Running:      len(e.running),
		MaxRunning:   cmp.Or(e.MaxRunning, defaultMaxRunning),
		Waiting:      len(e.waiting),
		CachedTokens: e.cache.tokens,
		Cold:         announced,
		AsOf:         now,
	}
	for _, s := range e.running {
		l.TokensOutstanding += s.outstandingTokens()
	}
	for _, s := range e.waiting {
		l.TokensOutstanding += s.promptTokens + len(s.tokens)
	}
	return l
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	e.Faults.applyConnectionFault(r, false)
	e.mu.Lock()
	now := time.Now()
	e.loadHistory.add(now, e.load(now))
	at := now.Add(-millis(e.LoadLagMillis, 0))
	report := EngineLoad{Load: e.loadHistory.at(at), Models: e.modelReport(now)}
	e.mu.Unlock()
	report.AsOf, report.MaxRunning = at, cmp.Or(e.MaxRunning, defaultMaxRunning)
	writeJSON(w, http.StatusOK, report)
}
