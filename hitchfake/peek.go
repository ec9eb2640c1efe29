package hitchfake

import "time"

// CachedTokens returns how many of a request's prompt tokens the engine has
// cached now. It is for baselines that know all; it marks nothing as used.
func (e *Engine) CachedTokens(r ChatRequest) (tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, tokens = e.cache.match(PrefixHashes(r.Model, r.Messages))
	return tokens
}

// LoadNow returns the engine's load without the lag of its reports.
func (e *Engine) LoadNow() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.load(time.Now())
}
