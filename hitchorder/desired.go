package hitchorder

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchfleet"
)

// Desired is the state that an engine should have.
type Desired struct {
	Endpoint hitchfleet.Endpoint
	Version  string
	Adapters []string
	// Role is empty if the engine may keep its current role.
	Role          string
	ChecksFencing bool
	// InService is set if the engine gets new requests.
	InService bool
}

// ComputeDesired returns the state that a configuration assigns to each engine.
func ComputeDesired(c hitchconfig.Configuration, endpoints []hitchfleet.Endpoint) []Desired {
	byID := lo.KeyBy(endpoints, func(e hitchfleet.Endpoint) hitchfleet.EndpointID { return e.ID })
	return lo.Map(c.Assign(endpoints), func(a hitchconfig.Assignment, _ int) Desired {
		rule := c.Endpoint(a.Endpoint)
		return Desired{
			Endpoint: byID[a.Endpoint], Version: a.Version, Adapters: a.Adapters, Role: rule.Role,
			ChecksFencing: rule.ChecksFencing, InService: c.InService(byID[a.Endpoint]),
		}
	})
}

// Observed is the state that an engine reported.
type Observed struct {
	Endpoint hitchfleet.EndpointID
	Versions []HeldVersion
	Adapters []string
	Role     string
	// Slots is the number of versions that the engine can hold at once; 0 means 1.
	Slots int
	// AsOf is when the request for this report was sent.
	AsOf time.Time
}

// HeldVersion is a version that an engine has loaded or is loading.
type HeldVersion struct {
	Name string
	// Ready is set once the version can serve requests. Until then it is being
	// loaded.
	Ready bool
}

// versionState reports whether the engine holds a version, and whether that
// version is ready.
func (o Observed) versionState(version string) (held, ready bool) {
	for _, v := range o.Versions {
		if v.Name == version {
			return true, v.Ready
		}
	}
	return false, false
}

func (o Observed) isReady() bool {
	return slices.ContainsFunc(o.Versions, func(v HeldVersion) bool { return v.Ready })
}

// isChanging reports whether no version is ready, or some version is being loaded.
func (o Observed) isChanging() bool {
	return !o.isReady() || slices.ContainsFunc(o.Versions, func(v HeldVersion) bool { return !v.Ready })
}

func (o Observed) slots() int { return max(1, o.Slots) }

// Matches reports whether an engine serves the desired version, adapters and role,
// and holds nothing else.
func (d Desired) Matches(o Observed) bool {
	_, ready := o.versionState(d.Version)
	extra, missing := lo.Difference(o.Adapters, d.Adapters)
	return ready && len(o.Versions) == 1 && len(extra)+len(missing) == 0 && (d.Role == "" || d.Role == o.Role)
}

// ColdEndpoints returns the engines whose desired version isn't ready yet. They are
// in cold start and get few requests for that version.
func ColdEndpoints(desired []Desired, observed []Observed) []hitchfleet.EndpointID {
	seen := lo.KeyBy(observed, func(o Observed) hitchfleet.EndpointID { return o.Endpoint })
	var cold []hitchfleet.EndpointID
	for _, d := range MinimizeLoads(desired, observed) {
		if _, ready := seen[d.Endpoint.ID].versionState(d.Version); !ready {
			cold = append(cold, d.Endpoint.ID)
		}
	}
	return cold
}
