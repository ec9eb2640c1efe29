package hitchplace

import (
	"citronhitch.example/citronhitch/hitchfleet"
)

// Target is an endpoint as placement sees it.
type Target struct {
	Endpoint hitchfleet.Endpoint
	// Version is the model version that the engine serves, or "".
	Version string
	// Adapters are those that the engine has loaded.
	Adapters []string
	// Load is the work in hand by the last digest, in tokens or requests.
	Load int64
	// Cold is set in cold start. HitOnly is set while the endpoint serves only the
	// chats whose prefix it has cached.
	Cold    bool
	HitOnly bool
}

// WithLoad returns a copy with other work in hand.
func (t Target) WithLoad(load int64) Target {
	t.Load = load
	return t
}

// WithCold returns a copy that is in cold start or not.
func (t Target) WithCold(cold bool) Target {
	t.Cold = cold
	return t
}

// WithHitOnly returns a copy that takes no new chats, or takes them again.
func (t Target) WithHitOnly(hitOnly bool) Target {
	t.HitOnly = hitOnly
	return t
}

// VersionWeight is the part of a route's chats that a model version gets, against
// the others of the route.
type VersionWeight struct {
	Version string
	Weight  float64
}

// SubsetSize returns how many of n endpoints an organisation's chats are spread
// over, given its share of the route's work: its share with half as much again,
// and at least two, so that one may fail.
func SubsetSize(n int, share float64) int {
	const headroom = 1.5
	size := int(float64(n)*share*headroom) + 1
	return max(min(size, n), min(2, n))
}
