package hitchplace

import (
	"citronhitch.example/citronhitch/hitchfleet"
)

// Target is an endpoint with the state that determines placement.
type Target struct {
	Endpoint hitchfleet.Endpoint
	// Version is the model version that the engine serves, or "".
	Version string
	// Adapters are the adapters that the engine has loaded.
	Adapters []string
	// Load is the outstanding work as of the last digest, in tokens for engines
	// and requests for services.
	Load int64
	// Cold is set during cold start. HitOnly is set while the endpoint must get
	// only chats whose prefix it has cached.
	Cold    bool
	HitOnly bool
}

// WithLoad returns a copy with the given load.
func (t Target) WithLoad(load int64) Target {
	t.Load = load
	return t
}

// WithCold returns a copy with Cold set or cleared.
func (t Target) WithCold(cold bool) Target {
	t.Cold = cold
	return t
}

// WithHitOnly returns a copy with HitOnly set or cleared.
func (t Target) WithHitOnly(hitOnly bool) Target {
	t.HitOnly = hitOnly
	return t
}

// VersionWeight is the weight of a model version relative to the route's other
// versions: chats are distributed in proportion to the weights.
type VersionWeight struct {
	Version string
	Weight  float64
}

// SubsetSize returns over how many of n endpoints an organisation's chats are
// distributed, given its share of the route's work. The subset is the share with
// a headroom of one half, and at least two endpoints, so that one may fail.
func SubsetSize(n int, share float64) int {
	const headroom = 1.5
	size := int(float64(n)*share*headroom) + 1
	return max(min(size, n), min(2, n))
}
