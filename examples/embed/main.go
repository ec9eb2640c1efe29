// Command embed uses the decision packages in a program of its own, without HTTP:
// hitchplace chooses an engine for a chat, and hitchadmit decides whether the
// engine has room.
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

// Costs and times of the example.
const (
	turnTokens  = 1_800
	turnLimit   = 5 * time.Second
	settleSteps = 15
	settleStep  = time.Second
)

// scheduler gives turns of chats to engines. One program owns all the engines.
type scheduler struct {
	self      hitchfleet.Instance
	engines   []hitchfleet.Endpoint
	directory hitchplace.Directory
	owners    hitchadmit.Controller
	asked     hitchadmit.GrantID
}

func main() {
	// The packages have no clock: time is what the program passes in.
	now := time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)
	s := &scheduler{
		self: hitchfleet.Instance{ID: "scheduler", Region: "se-south"},
		engines: []hitchfleet.Endpoint{
			{ID: "guide-llm-1", Region: "se-south", Route: "guide-llm"},
			{ID: "guide-llm-2", Region: "se-south", Route: "guide-llm"},
		},
	}
	now = s.settle(now)
	for _, chat := range []string{"class 4b", "class 5a", "class 4b"} {
		now = now.Add(time.Second)
		s.turn(now, chat)
	}
	s.leave(s.choose(now, hitchplace.ChatKey("aquarium", "class 4b"))[0].Endpoint)
	s.turn(now.Add(time.Second), "class 4b")
}

// settle makes the program the owner of its engines, and lets it hear that they
// are warm.
func (s *scheduler) settle(now time.Time) time.Time {
	s.owners.SetFleetView(now, hitchadmit.FleetView{
		Self: s.self.ID, LiveRouters: []hitchfleet.Instance{s.self}, ListedRouters: 1,
		Endpoints: s.engines, ValidUntil: now.Add(time.Hour),
	}, nil)
	for _, e := range s.engines {
		s.owners.ApplyLoadReport(now, hitchadmit.LoadReport{Endpoint: e.ID, AsOf: now}, nil)
	}
	for range settleSteps {
		now = now.Add(settleStep)
		s.owners.Tick(now, nil)
	}
	return now
}

// leave marks an engine as leaving.
func (s *scheduler) leave(id hitchfleet.EndpointID) {
	for i := range s.engines {
		s.engines[i].Leaving = s.engines[i].ID == id
	}
	fmt.Printf("%s leaves\n", id)
}

// turn chooses an engine for one turn of a chat, asks for room there, and gives
// the room back.
func (s *scheduler) turn(now time.Time, chat string) {
	key := hitchplace.ChatKey("aquarium", chat)
	for _, candidate := range s.choose(now, key) {
		ask := s.ask(now, candidate.Endpoint)
		decision, _ := s.owners.RequestSlot(now, ask, nil)
		if !decision.IsValid(now) {
			continue
		}
		fmt.Printf("%s: %s by %s\n", chat, candidate.Endpoint, candidate.Reason)
		s.directory.Put(now, key, candidate.Endpoint, turnTokens)
		s.owners.ReleaseSlot(now, hitchadmit.Release{ID: ask.ID, Endpoint: ask.Endpoint}, nil)
		return
	}
	fmt.Printf("%s: no engine has room\n", chat)
}

func (s *scheduler) choose(now time.Time, key hitchfleet.Key) []hitchplace.Candidate {
	targets := make([]hitchplace.Target, len(s.engines))
	for i, e := range s.engines {
		targets[i].Endpoint = e
	}
	request := hitchplace.Request{Organisation: "aquarium", Chat: key, Subset: len(targets)}
	request.Entry, _ = s.directory.Get(now, key)
	pool := hitchplace.NewPool(targets, nil, nil)
	return pool.Choose(nil, request, now)
}

func (s *scheduler) ask(now time.Time, engine hitchfleet.EndpointID) hitchadmit.SlotRequest {
	s.asked++
	return hitchadmit.SlotRequest{
		ID: s.asked, Endpoint: engine, Organisation: "aquarium", Requester: s.self.ID,
		Cost: turnTokens, SentAt: now, Deadline: now.Add(turnLimit),
	}
}
