// Command embed shows how to use the decision packages in another program, without
// HTTP: hitchplace ranks the engines for a chat, and hitchadmit decides whether an
// engine has capacity.
//
//	go run ./examples/embed
package main

import (
	"fmt"
	"time"

	"citronhitch.example/citronhitch/hitchadmit"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchplace"
)

// Costs and durations used by the example.
const (
	turnTokens       = 1_800
	turnTimeout      = 5 * time.Second
	takeoverSteps    = 15
	takeoverInterval = time.Second
)

// scheduler assigns turns of chats to engines. It is the owner of all engines.
type scheduler struct {
	self        hitchfleet.Instance
	engines     []hitchfleet.Endpoint
	directory   hitchplace.Directory
	admission   hitchadmit.Controller
	lastGrantID hitchadmit.GrantID
}

func main() {
	// The packages read no clock; the program passes in the time.
	now := time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)
	s := &scheduler{
		self: hitchfleet.Instance{ID: "scheduler", Region: "se-south"},
		engines: []hitchfleet.Endpoint{
			{ID: "guide-llm-1", Region: "se-south", Route: "guide-llm"},
			{ID: "guide-llm-2", Region: "se-south", Route: "guide-llm"},
		},
	}
	now = s.takeOver(now)
	for _, chat := range []string{"class 4b", "class 5a", "class 4b"} {
		now = now.Add(time.Second)
		s.scheduleTurn(now, chat)
	}
	s.startDraining(s.rankEngines(now, hitchplace.ChatKey("aquarium", "class 4b"))[0].Endpoint)
	s.scheduleTurn(now.Add(time.Second), "class 4b")
}

// takeOver makes the program the owner of its engines, reports their load, and advances
// the time until the takeover has settled. It returns the new time.
func (s *scheduler) takeOver(now time.Time) time.Time {
	s.admission.SetFleetView(now, hitchadmit.FleetView{
		Self: s.self.ID, LiveRouters: []hitchfleet.Instance{s.self}, ListedRouters: 1,
		Endpoints: s.engines, ValidUntil: now.Add(time.Hour),
	}, nil)
	for _, e := range s.engines {
		s.admission.ApplyLoadReport(now, hitchadmit.LoadReport{Endpoint: e.ID, AsOf: now}, nil)
	}
	for range takeoverSteps {
		now = now.Add(takeoverInterval)
		s.admission.Tick(now, nil)
	}
	return now
}

// startDraining marks an engine as leaving, so that its chats move to other engines.
func (s *scheduler) startDraining(id hitchfleet.EndpointID) {
	for i := range s.engines {
		s.engines[i].Leaving = s.engines[i].ID == id
	}
	fmt.Printf("%s leaves\n", id)
}

// scheduleTurn chooses an engine for one turn of a chat, requests a slot there, and
// releases the slot.
func (s *scheduler) scheduleTurn(now time.Time, chat string) {
	key := hitchplace.ChatKey("aquarium", chat)
	for _, candidate := range s.rankEngines(now, key) {
		slotRequest := s.newSlotRequest(now, candidate.Endpoint)
		decision, _ := s.admission.RequestSlot(now, slotRequest, nil)
		if !decision.IsValid(now) {
			continue
		}
		fmt.Printf("%s: %s by %s\n", chat, candidate.Endpoint, candidate.Reason)
		s.directory.Put(now, key, candidate.Endpoint, turnTokens)
		s.admission.ReleaseSlot(now, hitchadmit.Release{ID: slotRequest.ID, Endpoint: slotRequest.Endpoint}, nil)
		return
	}
	fmt.Printf("%s: no engine has room\n", chat)
}

func (s *scheduler) rankEngines(now time.Time, key hitchfleet.Key) []hitchplace.Candidate {
	targets := make([]hitchplace.Target, len(s.engines))
	for i, e := range s.engines {
		targets[i].Endpoint = e
	}
	request := hitchplace.Request{Organisation: "aquarium", Chat: key, Subset: len(targets)}
	request.Entry, _ = s.directory.Get(now, key)
	pool := hitchplace.NewPool(targets, nil, nil)
	return pool.Choose(nil, request, now)
}

func (s *scheduler) newSlotRequest(now time.Time, engine hitchfleet.EndpointID) hitchadmit.SlotRequest {
	s.lastGrantID++
	return hitchadmit.SlotRequest{
		ID: s.lastGrantID, Endpoint: engine, Organisation: "aquarium", Requester: s.self.ID,
		Cost: turnTokens, SentAt: now, Deadline: now.Add(turnTimeout),
	}
}
