package hitchconfig

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"citronhitch.example/citronhitch/hitchfleet"
)

// testFleet returns a fleet of ten engines and three services in three zones.
func testFleet() FleetView {
	var v FleetView
	zones := []hitchfleet.AvailabilityZone{"se-south-a", "se-south-b", "se-south-c"}
	for i := range 10 {
		v.Endpoints = append(v.Endpoints, EndpointLoad{Requests: 12, Capacity: 16, Endpoint: hitchfleet.Endpoint{
			ID: hitchfleet.EndpointID(fmt.Sprint("engine-", i)), Zone: zones[i%3], Route: "guide-llm"}})
	}
	for i := range 3 {
		v.Endpoints = append(v.Endpoints, EndpointLoad{Requests: 4, Capacity: 100, Endpoint: hitchfleet.Endpoint{
			ID: hitchfleet.EndpointID(fmt.Sprint("service-", i)), Zone: zones[i], Route: "boxoffice-api", Kind: hitchfleet.KindService}})
	}
	return v
}

func TestPlanText(t *testing.T) {
	grown := organisation("aquarium-north", "guide-llm")
	grown.ShareWeight = 3
	tests := map[string]struct {
		base   Configuration
		intent Intent
	}{
		"take-zone-out":       {smallConfiguration(), Intent{Kind: TakeZoneOut, Zone: "se-south-b"}},
		"take-second-zone":    {smallConfiguration().WithZoneOut("se-south-a"), Intent{Kind: TakeZoneOut, Zone: "se-south-b"}},
		"take-unknown-zone":   {smallConfiguration(), Intent{Kind: TakeZoneOut, Zone: "se-south-x"}},
		"return-zone":         {smallConfiguration().WithZoneOut("se-south-a"), Intent{Kind: ReturnZone, Zone: "se-south-a"}},
		"canary":              {smallConfiguration(), Intent{Kind: AddModelVersion, Route: "guide-llm", Versions: []ModelVersion{{"v2", 5}}}},
		"roll-out":            {smallConfiguration(), Intent{Kind: ChangeRoute, NewRoute: ptr(engineRoute("guide-llm", ModelVersion{"v2", 1}))}},
		"change-organisation": {smallConfiguration(), Intent{Kind: ChangeOrganisation, NewOrganisation: &grown}},
		"rotate-key":          {smallConfiguration(), Intent{Kind: RotateKey, Organisation: "aquarium-north", Rotation: Rotation{HashKey("new"), start}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, err := PlanInput{ID: "01PLAN", Operator: "maja", Intent: test.intent, Base: test.base, Fleet: testFleet(), Keys: fleetKeys}.Plan(start)
			qt.Assert(t, err, qt.IsNil)
			goldie.New(t).Assert(t, name, []byte(p.Text()))
			text, err := p.Token.Encode()
			qt.Assert(t, err, qt.IsNil)
			token, err := DecodeToken(text, fleetKeys)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, token, qt.DeepEquals, p.Token)
			_, err = DecodeToken(text, Keyring{Keys: []FleetKey{{ID: "k1", Secret: []byte("other")}}})
			qt.Assert(t, errors.Is(err, ErrTokenInvalid), qt.IsTrue)
		})
	}
}

func ptr[T any](v T) *T { return &v }

func TestDiffText(t *testing.T) {
	after := smallConfiguration().WithRevision(2).WithZoneOut("se-south-b").WithoutOrganisation("aquarium-north").
		WithRoute(engineRoute("guide-llm", ModelVersion{"v1", 95}, ModelVersion{"v2", 5})).WithLimits(Limits{QueueLength: 9})
	goldie.New(t).Assert(t, "diff", []byte(DiffText(smallConfiguration(), after)))
}

func TestIntentRefusals(t *testing.T) {
	tests := map[string]Intent{
		"zone already in service":     {Kind: ReturnZone, Zone: "se-south-a"},
		"no zone":                     {Kind: TakeZoneOut},
		"route exists":                {Kind: AddRoute, NewRoute: ptr(engineRoute("guide-llm", ModelVersion{"v1", 1}))},
		"route missing":               {Kind: ChangeRoute, NewRoute: ptr(engineRoute("x", ModelVersion{"v1", 1}))},
		"route without value":         {Kind: AddRoute},
		"route still allowed":         {Kind: RemoveRoute, Route: "guide-llm"},
		"version exists":              {Kind: AddModelVersion, Route: "guide-llm", Versions: []ModelVersion{{"v1", 1}}},
		"version missing":             {Kind: SetVersionWeights, Route: "guide-llm", Versions: []ModelVersion{{"v2", 1}}},
		"last weight to 0":            {Kind: SetVersionWeights, Route: "guide-llm", Versions: []ModelVersion{{"v1", 0}}},
		"endpoint already in service": {Kind: ReturnEndpoint, Endpoint: "engine-1"},
		"key of another owner":        {Kind: RotateKey, Organisation: "aquarium-north", Rotation: Rotation{Add: HashKey("key of maja")}},
		"undo without history":        {Kind: Undo, Revision: 1},
		"no kind":                     {},
	}
	for name, intent := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := PlanInput{Intent: intent, Base: smallConfiguration(), Keys: fleetKeys}.Plan(start)
			var refusal *IntentError
			var check *CheckError
			qt.Assert(t, errors.As(err, &refusal) || errors.As(err, &check), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// drawIntent draws an intent that may or may not be applicable.
func drawIntent(t *rapid.T) Intent {
	zone := hitchfleet.AvailabilityZone(rapid.SampledFrom([]string{"za", "zb"}).Draw(t, "zone"))
	weights := []ModelVersion{{rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version"), rapid.IntRange(0, 5).Draw(t, "weight")}}
	route := engineRoute(rapid.SampledFrom([]hitchfleet.RouteID{"guide-llm", "other"}).Draw(t, "route"), weights...)
	who := organisation(rapid.SampledFrom([]string{"aquarium-north", "new"}).Draw(t, "organisation"), "guide-llm")
	who.ShareWeight = rapid.IntRange(0, 3).Draw(t, "share")
	operator := Operator{Name: rapid.SampledFrom([]string{"maja", "olle"}).Draw(t, "operator")}
	endpoint := rapid.SampledFrom([]hitchfleet.EndpointID{"engine-1", "engine-2"}).Draw(t, "endpoint")
	all := []Intent{
		{Kind: TakeZoneOut, Zone: zone}, {Kind: ReturnZone, Zone: zone},
		{Kind: AddRoute, NewRoute: &route}, {Kind: ChangeRoute, NewRoute: &route}, {Kind: RemoveRoute, Route: route.ID},
		{Kind: AddModelVersion, Route: route.ID, Versions: weights}, {Kind: SetVersionWeights, Route: route.ID, Versions: weights},
		{Kind: AddOrganisation, NewOrganisation: &who}, {Kind: ChangeOrganisation, NewOrganisation: &who},
		{Kind: RemoveOrganisation, Organisation: who.ID},
		{Kind: RotateKey, Organisation: who.ID, Rotation: Rotation{HashKey(fmt.Sprint(rapid.Uint8().Draw(t, "key"))), start}},
		{Kind: SetOperator, NewOperator: &operator}, {Kind: RemoveOperator, Operator: operator.Name},
		{Kind: DrainEndpoint, Endpoint: endpoint}, {Kind: ReturnEndpoint, Endpoint: endpoint},
		{Kind: SetEndpointFencing, Endpoint: endpoint, ChecksFencing: rapid.Bool().Draw(t, "fencing")},
		{Kind: SetEndpointRole, Endpoint: endpoint, Role: rapid.SampledFrom([]string{"", "Prefill"}).Draw(t, "role")},
		{Kind: SetLimits, NewLimits: &Limits{QueueLength: rapid.IntRange(0, 9).Draw(t, "queue")}},
	}
	return rapid.SampledFrom(all).Draw(t, "intent")
}

// TestInverseRandom checks for each change of a random history that its inverse reverts
// it. It also checks that the latest change can be undone, and that no Undo fails
// because its revision is missing from the history.
func TestInverseRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := Head{Configuration: smallConfiguration().WithRevision(0)}
		for range rapid.IntRange(1, 12).Draw(t, "n") {
			intent := drawIntent(t)
			next, err := intent.Apply(h.Configuration)
			if err != nil {
				continue
			}
			inverse, err := intent.Inverse(h.Configuration)
			require(t, err == nil, "%v", err)
			back, err := inverse.Apply(next)
			require(t, err == nil, "%v", err)
			require(t, reflect.DeepEqual(back.WithRevision(h.Configuration.Revision), h.Configuration), "inverse of %s", intent.Kind)
			token := mustPlan(t, h, "plan", "maja", intent)
			h, err = h.accept(token, "maja", start, fleetKeys)
			require(t, err == nil, "%v", err)
		}
		checkUndo(t, h)
	})
}

func checkUndo(t *rapid.T, h Head) {
	for i, a := range h.Accepts {
		input := PlanInput{Intent: Intent{Kind: Undo, Revision: a.Revision}, Base: h.Configuration, Accepts: h.Accepts, Keys: fleetKeys}
		p, err := input.Plan(start)
		if err != nil {
			if i == len(h.Accepts)-1 || strings.Contains(err.Error(), "not in the history") {
				t.Fatalf("undo of revision %d: %v", a.Revision, err)
			}
			continue
		}
		require(t, p.Token.Intent.Revision == a.Revision, "undo of %d", a.Revision)
	}
}

// TestAssignRandom checks that each engine is assigned one version, that each version
// with a weight above 0 has an engine while there are enough, and that the loss of an
// engine reassigns at most one other engine.
func TestAssignRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := []ModelVersion{{"v1", rapid.IntRange(1, 100).Draw(t, "v1")}, {"v2", rapid.IntRange(0, 100).Draw(t, "v2")}}
		c := Configuration{}.WithRoute(engineRoute("m", versions...))
		engines := make([]hitchfleet.Endpoint, rapid.IntRange(1, 30).Draw(t, "engines"))
		for i := range engines {
			engines[i] = hitchfleet.Endpoint{ID: hitchfleet.EndpointID(fmt.Sprint(i)), Route: "m"}
		}
		before := c.Assign(engines)
		require(t, len(before) == len(engines), "%d engines assigned", len(before))
		was := make(map[hitchfleet.EndpointID]string)
		served := make(map[string]int)
		for _, a := range before {
			was[a.Endpoint] = a.Version
			served[a.Version]++
		}
		if len(engines) > 1 {
			require(t, (served["v2"] > 0) == (versions[1].Weight > 0), "v2 has %d engines", served["v2"])
			require(t, served["v1"] > 0, "v1 has no engine")
		}
		moved := 0
		for _, a := range c.Assign(engines[1:]) {
			if was[a.Endpoint] != a.Version {
				moved++
			}
		}
		require(t, moved <= 1, "%d engines reassigned", moved)
	})
}
