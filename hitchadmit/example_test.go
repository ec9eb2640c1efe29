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

	var controller hitchadmit.Controller
	controller.SetFleetView(now, hitchadmit.FleetView{
		Self: self.ID, LiveRouters: []hitchfleet.Instance{self}, ListedRouters: 1,
		Endpoints: []hitchfleet.Endpoint{engine}, ValidUntil: now.Add(time.Minute),
	}, nil)
	controller.ApplyLoadReport(now, hitchadmit.LoadReport{Endpoint: engine.ID, AsOf: now}, nil)
	for range 15 {
		now = now.Add(time.Second)
		controller.Tick(now, nil)
	}

	request := hitchadmit.SlotRequest{
		ID: 1, Endpoint: engine.ID, Organisation: "aquarium", Requester: "router-2",
		Cost: 1800, SentAt: now, Deadline: now.Add(5 * time.Second),
	}
	decision, _ := controller.RequestSlot(now, request, nil)
	fmt.Println(decision.IsValid(now))
	fmt.Println(controller.Digest(now).Loads[0].Load)
	controller.ReleaseSlot(now, hitchadmit.Release{ID: 1, Endpoint: engine.ID}, nil)
	fmt.Println(controller.Digest(now).Loads[0].Load)
	// Output:
	// true
	// 1800
	// 0
}
