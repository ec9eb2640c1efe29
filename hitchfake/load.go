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
	// MaxRunning is how many requests run at once; more wait.
	MaxRunning int
	// TokensOutstanding counts prompt and answer tokens still to be worked on.
	TokensOutstanding int
	CachedTokens      int
	// Cold is set while a back end in cold start says so.
	Cold bool
	// AsOf is when the report was true.
	AsOf time.Time
}

// load returns the engine's load. It needs the lock.
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
		l.TokensOutstanding += s.outstanding()
	}
	for _, s := range e.waiting {
		l.TokensOutstanding += s.prompt + len(s.tokens)
	}
	return l
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	e.Faults.breakOff(r, false)
	e.mu.Lock()
	now := time.Now()
	e.loads.add(now, e.load(now))
	at := now.Add(-millis(e.LoadLagMillis, 0))
	report := EngineLoad{Load: e.loads.at(at), Models: e.models(now)}
	e.mu.Unlock()
	report.AsOf, report.MaxRunning = at, cmp.Or(e.MaxRunning, defaultMaxRunning)
	writeJSON(w, http.StatusOK, report)
}
