package hitchplace_test

import (
	"fmt"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchplace"
)

// A chat is placed on the engine that served it last, and on another one after
// that engine starts to leave.
func Example() {
	now := time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)
	targets := []hitchplace.Target{
		{Endpoint: hitchfleet.Endpoint{ID: "guide-llm-1"}},
		{Endpoint: hitchfleet.Endpoint{ID: "guide-llm-2"}},
	}
	chat := hitchplace.ChatKey("aquarium", "class 4b")
	var directory hitchplace.Directory
	directory.Put(now, chat, "guide-llm-2", 900)

	pool := hitchplace.NewPool(targets, nil, nil)
	request := hitchplace.Request{Organisation: "aquarium", Chat: chat, Subset: 2}
	request.Entry, _ = directory.Get(now, chat)
	first := pool.Choose(nil, request, now)[0]
	fmt.Println(first.Endpoint, first.Reason)

	targets[1].Endpoint.Leaving = true
	pool = hitchplace.NewPool(targets, nil, nil)
	first = pool.Choose(nil, request, now)[0]
	fmt.Println(first.Endpoint, first.Reason)
	// Output:
	// guide-llm-2 Directory
	// guide-llm-1 Subset
}
