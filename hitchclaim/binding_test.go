package hitchclaim

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchoutcome"
)

// runBinding runs a binding. Commands whose status in statuses isn't StoreDone end as
// lost without taking effect; all others are run by the store.
func runBinding(store *fakeStore, b *Binding, statuses ...StoreStatus) BindingStep {
	step := b.Start(start, "aquarium", "booking")
	for i := 0; len(step.Commands) > 0; i++ {
		c := step.Commands[0]
		response := StoreResponse{ID: c.ID, Status: StoreUnknown}
		if i >= len(statuses) || statuses[i] == StoreDone {
			response = store.apply(c)
		}
		step = b.HandleStoreResponse(start, response)
	}
	return step
}

func newBinding(nonce byte) *Binding {
	minter := testMinter()
	minter.Entropy = &sequentialBytes{next: nonce}
	return &Binding{Minter: minter, Home: homeA, CallerKey: "order-17"}
}

func TestBinding(t *testing.T) {
	tests := map[string]struct {
		statuses      []StoreStatus
		isFirst       bool
		isOverLimit   bool
		isRefused     bool
		outcome       hitchoutcome.Outcome
		getsMintedKey bool
	}{
		"first attempt":            {},
		"write lost":               {statuses: []StoreStatus{StoreDone, StoreUnknown}, isRefused: true, outcome: hitchoutcome.Unknown},
		"write and read back lost": {statuses: []StoreStatus{StoreDone, StoreUnknown, StoreUnknown}, isRefused: true, outcome: hitchoutcome.Unknown},
		"store unavailable":        {statuses: []StoreStatus{StoreUnknown}, isRefused: true, outcome: hitchoutcome.Unknown},
		"store unavailable at a declared first attempt": {statuses: []StoreStatus{StoreUnknown}, isFirst: true, isRefused: true, outcome: hitchoutcome.NotRun, getsMintedKey: true},
		"over the limit": {isOverLimit: true, isRefused: true, outcome: hitchoutcome.NotRun},
		"over the limit at a declared first attempt": {isOverLimit: true, isFirst: true, isRefused: true, outcome: hitchoutcome.NotRun, getsMintedKey: true},
		"write lost at a declared first attempt":     {statuses: []StoreStatus{StoreDone, StoreUnknown}, isFirst: true, isRefused: true, outcome: hitchoutcome.NotRun, getsMintedKey: true},
		"first read succeeds":                        {statuses: []StoreStatus{StoreDone}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBinding(0)
			b.IsFirstAttempt = test.isFirst
			b.Limiter = &BindingLimiter{}
			for test.isOverLimit && b.Limiter.Allow(start) {
				continue
			}
			step := runBinding(newFakeStore(), b, test.statuses...)
			qt.Assert(t, step.Done, qt.IsTrue)
			qt.Assert(t, step.Refusal != nil, qt.Equals, test.isRefused)
			qt.Assert(t, step.Text != "", qt.Equals, test.getsMintedKey || !test.isRefused)
			if test.isRefused {
				qt.Assert(t, step.Refusal.Outcome, qt.Equals, test.outcome)
			}
		})
	}
}

func TestRacingBindingsGiveOneKey(t *testing.T) {
	store := newFakeStore()
	a, b := newBinding(0), newBinding(100)
	first, second := a.Start(start, "aquarium", "booking"), b.Start(start, "aquarium", "booking")
	for !first.Done || !second.Done {
		if !first.Done {
			first = a.HandleStoreResponse(start, store.apply(first.Commands[0]))
		}
		if !second.Done {
			second = b.HandleStoreResponse(start, store.apply(second.Commands[0]))
		}
	}
	qt.Assert(t, first.Text, qt.Equals, second.Text)
	repeat := runBinding(store, newBinding(200))
	qt.Assert(t, repeat.Key, qt.Equals, first.Key)
	qt.Assert(t, repeat.Key.Deadline, qt.Equals, start.Add(BindingTTL))
	qt.Assert(t, BindingName("school", "order-17"), qt.Not(qt.Equals), BindingName("aquarium", "order-17"))
}

func TestBindingIsReadBackAfterLostResponse(t *testing.T) {
	store, b := newFakeStore(), newBinding(0)
	step := b.Start(start, "aquarium", "booking")
	step = b.HandleStoreResponse(start, store.apply(step.Commands[0]))
	store.apply(step.Commands[0])
	step = b.HandleStoreResponse(start, StoreResponse{ID: step.Commands[0].ID, Status: StoreUnknown})
	step = b.HandleStoreResponse(start, store.apply(step.Commands[0]))
	qt.Assert(t, step.Refusal == nil, qt.IsTrue)
	qt.Assert(t, step.Text, qt.Equals, b.mintedText)
}

func TestBindingRefusesMintedText(t *testing.T) {
	b := newBinding(0)
	b.CallerKey = keyPrefix + "x"
	qt.Assert(t, b.Start(start, "aquarium", "booking").Refusal.Reason, qt.Equals, hitchoutcome.ReasonKeyInvalid)
}

func TestBindingLimiter(t *testing.T) {
	var limiter BindingLimiter
	limiter.SetRouters(100)
	allowed := 0
	for second := range 3600 {
		for limiter.Allow(start.Add(time.Duration(second) * time.Second)) {
			allowed++
		}
	}
	qt.Assert(t, allowed, qt.Equals, BindingsPerSecond*3600/100+bindingBurst-1)
}
