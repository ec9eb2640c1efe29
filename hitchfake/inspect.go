package hitchfake

import "time"

// CachedTokens returns the number of a request's prompt tokens that are cached
// now. It is for baselines with perfect knowledge of the engines, and doesn't mark
// the blocks as used.
func (e *Engine) CachedTokens(r ChatRequest) (tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, tokens = e.cache.longestPrefix(PrefixHashes(r.Model, r.Messages))
	return tokens
}

// CurrentLoad returns the current load, without the lag of the load report.
func (e *Engine) CurrentLoad() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.load(time.Now())
}
