// Package hitchdev runs a complete deployment in one process on loopback: routers,
// fake engines and services, and fakes of the platform. It is for the dev and
// measure commands and for tests.
//
//	fleet := hitchdev.Fleet{Deployment: hitchdev.Kustakvariet()}
//	if err := fleet.Start(ctx); err != nil { ... }
//	defer fleet.Stop(ctx)
package hitchdev

import (
	"fmt"

	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchfleet"
)

// Deployment describes a fleet and its customers.
type Deployment struct {
	Name          string
	Region        hitchfleet.Region
	Zones         []hitchfleet.AvailabilityZone
	Routers       int
	Engines       int
	Services      int
	EngineRoute   hitchfleet.RouteID
	ServiceRoute  hitchfleet.RouteID
	ServicePrefix string
	Organisations int
	// TokensPerSecond is the token rate of an engine with a single stream.
	TokensPerSecond float64
	// PrefillTokensPerSecond is an engine's prefill rate in prompt tokens; 0 means the
	// default of hitchfake.Engine.
	PrefillTokensPerSecond float64
	// CacheTokens is the size of an engine's prefix cache.
	CacheTokens int
	// ColdLimit is the maximum number of concurrent requests of an engine in cold
	// start; 0 means the default of hitchfake.Engine.
	ColdLimit int
	// MaxRunning is the maximum number of running requests of an engine; 0 means the
	// default of hitchfake.Engine.
	MaxRunning int
	// LagMillis is the age of load reports and of the instance list.
	LagMillis int
}

// Kustakvariet is the deployment of Kustakvariet Franchise AB.
func Kustakvariet() Deployment {
	return Deployment{
		Name: "kustakvariet", Region: "se-south", Zones: zones("se-south", "abc"),
		Routers: 7, Engines: 10, Services: 3, Organisations: 10,
		EngineRoute: "guide-llm", ServiceRoute: "boxoffice-api", ServicePrefix: "/boxoffice",
		TokensPerSecond: 500, CacheTokens: 1 << 20, LagMillis: 500,
	}
}

// Hanbit is the deployment of Hanbit Folio Group.
func Hanbit() Deployment {
	return Deployment{
		Name: "hanbit", Region: "kr-central", Zones: zones("kr-central", "abcd"),
		Routers: 8, Engines: 10, Services: 4, Organisations: 10,
		EngineRoute: "citron-stylist", ServiceRoute: "folio-core", ServicePrefix: "/folio",
		TokensPerSecond: 500, CacheTokens: 1 << 20, LagMillis: 500,
	}
}

// DeploymentByName returns the deployment with a name.
func DeploymentByName(name string) (Deployment, bool) {
	return lo.Find([]Deployment{Kustakvariet(), Hanbit()}, func(d Deployment) bool { return d.Name == name })
}

func zones(region, letters string) []hitchfleet.AvailabilityZone {
	return lo.Map([]rune(letters), func(letter rune, _ int) hitchfleet.AvailabilityZone {
		return hitchfleet.AvailabilityZone(fmt.Sprintf("%s-%c", region, letter))
	})
}

// WithZones returns a copy of the deployment with n availability zones.
func (d Deployment) WithZones(n int) Deployment {
	d.Zones = nil
	for i := range n {
		d.Zones = append(d.Zones, hitchfleet.AvailabilityZone(fmt.Sprintf("%s-%c", d.Region, 'a'+rune(i))))
	}
	return d
}

// Zone returns the availability zone of the nth router, engine or service. They are
// distributed over the zones in turn.
func (d Deployment) Zone(n int) hitchfleet.AvailabilityZone { return d.Zones[n%len(d.Zones)] }

// APIKey returns the API key of the nth organisation. Unlike real keys, it isn't
// random.
func (d Deployment) APIKey(n int) string { return fmt.Sprintf("%s-caller-key-%02d", d.Name, n) }

// OperatorKey returns the key of the deployment's operator.
func (d Deployment) OperatorKey() string { return d.Name + "-operator-key" }

// OrganisationID returns the ID of the nth organisation.
func (d Deployment) OrganisationID(n int) hitchfleet.OrganisationID {
	return hitchfleet.OrganisationID(fmt.Sprintf("%s-org-%02d", d.Name, n))
}

// The timeouts of the deployments' routes, and the share weights of the
// organisations.
const (
	timeoutMillis             = 30_000
	firstByteTimeoutMillis    = 10_000
	inactivityTimeoutMillis   = 3_000
	largeOrganisationWeight   = 4
	largeOrganisationInterval = 4
)

// Intents returns the changes that create the initial configuration of a fleet.
func (d Deployment) Intents() []hitchconfig.Intent {
	intents := []hitchconfig.Intent{
		{Kind: hitchconfig.SetOperator, NewOperator: &hitchconfig.Operator{
			Name: "operator", Keys: []hitchconfig.APIKey{{Hash: hitchconfig.HashKey(d.OperatorKey())}},
		}},
		{Kind: hitchconfig.AddRoute, NewRoute: &hitchconfig.Route{
			ID: d.EngineRoute, Kind: hitchconfig.EngineRoute, Versions: []hitchconfig.ModelVersion{{Name: "v1", Weight: 100}},
			TimeoutMilliseconds: timeoutMillis, FirstByteMilliseconds: firstByteTimeoutMillis, SilenceMilliseconds: inactivityTimeoutMillis,
		}},
		{Kind: hitchconfig.AddRoute, NewRoute: &hitchconfig.Route{
			ID: d.ServiceRoute, Kind: hitchconfig.ServiceRoute,
			Service: hitchconfig.ServiceRules{
				PathPrefix: d.ServicePrefix, IdempotentMethods: []string{"GET", "HEAD"},
				Journal: hitchconfig.JournalRequired, OutcomePath: "/outcomes/{key}",
			},
			TimeoutMilliseconds: timeoutMillis, FirstByteMilliseconds: firstByteTimeoutMillis, SilenceMilliseconds: inactivityTimeoutMillis,
		}},
	}
	for n := range d.Organisations {
		intents = append(intents, hitchconfig.Intent{Kind: hitchconfig.AddOrganisation, NewOrganisation: d.organisation(n)})
	}
	return intents
}

// organisation returns the nth organisation. Every fourth one has a larger share
// weight.
func (d Deployment) organisation(n int) *hitchconfig.Organisation {
	weight := 1
	if n%largeOrganisationInterval == 0 {
		weight = largeOrganisationWeight
	}
	routes := []hitchfleet.RouteID{d.EngineRoute, d.ServiceRoute}
	if routes[0] > routes[1] {
		routes[0], routes[1] = routes[1], routes[0]
	}
	return &hitchconfig.Organisation{
		ID: d.OrganisationID(n), ShareWeight: weight, PriorityCeiling: 1, Routes: routes,
		Keys: []hitchconfig.APIKey{{Hash: hitchconfig.HashKey(d.APIKey(n))}},
	}
}
