package hitchadmit_test

import (
	"fmt"
	"time"

	"citronhitch.example/citronhitch/hitchadmit"
	"citronhitch.example/citronhitch/hitchfleet"
)

// A router that owns an engine grants a slot to another router, which releases
// it later.
func Example() {
	now := time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)
	self := hitchfleet.Instance{ID: "router-1", Region: "se-south"}
	engine := hitchfleet.Endpoint{ID: "guide-llm-1", Region: "se-south", Route: "guide-llm"}

	var owners hitchadmit.Owners
	owners.SetMembers(now, hitchadmit.Members{
		Self: self.ID, Live: []hitchfleet.Instance{self}, Listed: 1,
		Endpoints: []hitchfleet.Endpoint{engine}, Until: now.Add(time.Minute),
	}, nil)
	owners.Report(now, hitchadmit.LoadReport{Endpoint: engine.ID, AsOf: now}, nil)
	for range 15 {
		now = now.Add(time.Second)
		owners.Tick(now, nil)
	}

	ask := hitchadmit.Ask{
		ID: 1, Endpoint: engine.ID, Organisation: "aquarium", Asker: "router-2",
		Cost: 1800, SentAt: now, Deadline: now.Add(5 * time.Second),
	}
	decision, _ := owners.Ask(now, ask, nil)
	fmt.Println(decision.IsValid(now))
	fmt.Println(owners.Digest(now).Loads[0].Load)
	owners.Release(now, hitchadmit.Release{ID: 1, Endpoint: engine.ID}, nil)
	fmt.Println(owners.Digest(now).Loads[0].Load)
	// Output:
	// true
	// 1800
	// 0
}
