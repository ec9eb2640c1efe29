package hitchorder

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchfleet"
)

// Desired is what an engine shall serve.
type Desired struct {
	Endpoint hitchfleet.Endpoint
	Version  string
	Adapters []string
	// Role is empty if the engine may keep its own.
	Role          string
	ChecksFencing bool
	// InService says that the engine takes new work.
	InService bool
}

// DesiredOf derives what each engine shall serve from a configuration.
func DesiredOf(c hitchconfig.Configuration, endpoints []hitchfleet.Endpoint) []Desired {
	byID := lo.KeyBy(endpoints, func(e hitchfleet.Endpoint) hitchfleet.EndpointID { return e.ID })
	return lo.Map(c.Assign(endpoints), func(a hitchconfig.Assignment, _ int) Desired {
		rule := c.Endpoint(a.Endpoint)
		return Desired{
			Endpoint: byID[a.Endpoint], Version: a.Version, Adapters: a.Adapters, Role: rule.Role,
			ChecksFencing: rule.ChecksFencing, InService: c.InService(byID[a.Endpoint]),
		}
	})
}

// Observed is what an engine says of itself.
type Observed struct {
	Endpoint hitchfleet.EndpointID
	Versions []Loaded
	Adapters []string
	Role     string
	// Slots is how many versions the engine holds at once; 0 means 1.
	Slots int
	// AsOf is when the question was sent that this answers.
	AsOf time.Time
}

// Loaded is a version that an engine holds.
type Loaded struct {
	Name string
	// Ready versions serve; others are being loaded.
	Ready bool
}

// has tells whether the engine holds a version, and whether it serves.
func (o Observed) has(version string) (held, ready bool) {
	for _, v := range o.Versions {
		if v.Name == version {
			return true, v.Ready
		}
	}
	return false, false
}

func (o Observed) isReady() bool {
	return slices.ContainsFunc(o.Versions, func(v Loaded) bool { return v.Ready })
}

// isChanging tells whether the engine serves nothing, or loads something.
func (o Observed) isChanging() bool {
	return !o.isReady() || slices.ContainsFunc(o.Versions, func(v Loaded) bool { return !v.Ready })
}

func (o Observed) slots() int { return max(1, o.Slots) }

// Matches tells whether an engine serves what it shall, and nothing else.
func (d Desired) Matches(o Observed) bool {
	_, ready := o.has(d.Version)
	extra, missing := lo.Difference(o.Adapters, d.Adapters)
	return ready && len(o.Versions) == 1 && len(extra)+len(missing) == 0 && (d.Role == "" || d.Role == o.Role)
}

// Cold returns the engines that don't yet serve the version that they shall.
// They are in cold start and get little work of that version.
func Cold(desired []Desired, observed []Observed) []hitchfleet.EndpointID {
	seen := lo.KeyBy(observed, func(o Observed) hitchfleet.EndpointID { return o.Endpoint })
	var cold []hitchfleet.EndpointID
	for _, d := range Settle(desired, observed) {
		if _, ready := seen[d.Endpoint.ID].has(d.Version); !ready {
			cold = append(cold, d.Endpoint.ID)
		}
	}
	return cold
}
