package hitchclaim

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchoutcome"
)

// bind runs a binding whose commands end by the fates in turn, and then as the
// store does.
func bind(store *fakeStore, b *Binding, fates ...StoreStatus) BindingStep {
	step := b.Start(start, "aquarium", "booking")
	for i := 0; len(step.Commands) > 0; i++ {
		c := step.Commands[0]
		answer := StoreAnswer{ID: c.ID, Status: StoreLost}
		if i >= len(fates) || fates[i] == StoreDone {
			answer = store.apply(c)
		}
		step = b.Stored(start, answer)
	}
	return step
}

func newBinding(nonce byte) *Binding {
	minter := testMinter()
	minter.Entropy = &entropy{next: nonce}
	return &Binding{Minter: minter, Home: homeA, CallerKey: "order-17"}
}

func TestBinding(t *testing.T) {
	tests := map[string]struct {
		fates   []StoreStatus
		isFirst bool
		spent   bool
		refused bool
		outcome hitchoutcome.Outcome
		instead bool
	}{
		"first":                            {},
		"write lost":                       {fates: []StoreStatus{StoreDone, StoreLost}, refused: true, outcome: hitchoutcome.Unknown},
		"write and read back lost":         {fates: []StoreStatus{StoreDone, StoreLost, StoreLost}, refused: true, outcome: hitchoutcome.Unknown},
		"store out":                        {fates: []StoreStatus{StoreLost}, refused: true, outcome: hitchoutcome.Unknown},
		"store out at a declared first":    {fates: []StoreStatus{StoreLost}, isFirst: true, refused: true, outcome: hitchoutcome.NotRun, instead: true},
		"over budget":                      {spent: true, refused: true, outcome: hitchoutcome.NotRun},
		"over budget at a declared first":  {spent: true, isFirst: true, refused: true, outcome: hitchoutcome.NotRun, instead: true},
		"write lost, at a declared first":  {fates: []StoreStatus{StoreDone, StoreLost}, isFirst: true, refused: true, outcome: hitchoutcome.NotRun, instead: true},
		"answer to the first read is late": {fates: []StoreStatus{StoreDone}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBinding(0)
			b.IsFirst = test.isFirst
			b.Budget = &BindingBudget{}
			for test.spent && b.Budget.Take(start) {
				continue
			}
			step := bind(newFakeStore(), b, test.fates...)
			qt.Assert(t, step.Done, qt.IsTrue)
			qt.Assert(t, step.Refusal != nil, qt.Equals, test.refused)
			qt.Assert(t, step.Text != "", qt.Equals, test.instead || !test.refused)
			if test.refused {
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
			first = a.Stored(start, store.apply(first.Commands[0]))
		}
		if !second.Done {
			second = b.Stored(start, store.apply(second.Commands[0]))
		}
	}
	qt.Assert(t, first.Text, qt.Equals, second.Text)
	repeat := bind(store, newBinding(200))
	qt.Assert(t, repeat.Key, qt.Equals, first.Key)
	qt.Assert(t, repeat.Key.Deadline, qt.Equals, start.Add(BindingLife))
	qt.Assert(t, BindingName("school", "order-17"), qt.Not(qt.Equals), BindingName("aquarium", "order-17"))
}

func TestBindingWhoseAnswerIsLostIsReadBack(t *testing.T) {
	store, b := newFakeStore(), newBinding(0)
	step := b.Start(start, "aquarium", "booking")
	step = b.Stored(start, store.apply(step.Commands[0]))
	store.apply(step.Commands[0])
	step = b.Stored(start, StoreAnswer{ID: step.Commands[0].ID, Status: StoreLost})
	step = b.Stored(start, store.apply(step.Commands[0]))
	qt.Assert(t, step.Refusal == nil, qt.IsTrue)
	qt.Assert(t, step.Text, qt.Equals, b.text)
}

func TestBindingRefusesMintedText(t *testing.T) {
	b := newBinding(0)
	b.CallerKey = keyPrefix + "x"
	qt.Assert(t, b.Start(start, "aquarium", "booking").Refusal.Reason, qt.Equals, hitchoutcome.ReasonKeyInvalid)
}

func TestBindingBudget(t *testing.T) {
	var budget BindingBudget
	budget.SetRouters(100)
	taken := 0
	for second := range 3600 {
		for budget.Take(start.Add(time.Duration(second) * time.Second)) {
			taken++
		}
	}
	qt.Assert(t, taken, qt.Equals, BindingsPerSecond*3600/100+bindingBurst-1)
}
