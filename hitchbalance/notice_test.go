package hitchbalance

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
)

// notices are what engines say at a time.
type notices struct {
	at      int // milliseconds
	engines []int
	notice  Notice
}

// TestEndpointsThatGaveNoticeGetNoRequests covers engines that say that they leave, or
// ask for a pause, before their entries in the store show anything.
func TestEndpointsThatGaveNoticeGetNoRequests(t *testing.T) {
	leaving := Notice{IsLeaving: true}
	pause := func(untilMS int) Notice { return Notice{PausedUntil: at(untilMS)} }
	tests := map[string]struct {
		notices []notices
		// picked are the engines that get requests at the time in milliseconds, none if all
		// requests are refused.
		picked  map[int][]int
		retryAt map[int]int
	}{
		"one leaves and stays": {[]notices{{0, []int{1}, leaving}}, map[int][]int{1: {0, 2, 3}, 60_000: {0, 2, 3}}, nil},
		"many leave together":  {[]notices{{0, []int{0, 1, 2}, leaving}}, map[int][]int{1: {3}}, nil},
		"all leave":            {[]notices{{0, []int{0, 1, 2, 3}, leaving}}, map[int][]int{1: nil}, nil},
		"one asks for a pause": {[]notices{{0, []int{1}, pause(2000)}}, map[int][]int{1999: {0, 2, 3}, 2000: {0, 1, 2, 3}}, nil},
		"all ask for a pause":  {[]notices{{0, []int{0, 1, 2}, pause(2000)}, {0, []int{3}, pause(1500)}}, map[int][]int{1000: nil, 1500: {3}}, map[int]int{1000: 1500}},
		"a shorter pause afterwards doesn't end the longer one": {[]notices{{0, []int{1}, pause(5000)}, {10, []int{1}, pause(1000)}}, map[int][]int{1000: {0, 2, 3}, 5000: {0, 1, 2, 3}}, nil},
		"a response without a notice that arrives late":         {[]notices{{0, []int{1}, leaving}, {10, []int{1}, Notice{}}}, map[int][]int{20: {0, 2, 3}}, nil},
		"one asks for a pause and leaves":                       {[]notices{{0, []int{1}, pause(1000)}, {10, []int{1}, leaving}}, map[int][]int{20: {0, 2, 3}, 5000: {0, 2, 3}}, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := fleet(1, 4)
			b := balancers(f)[0]
			for _, n := range test.notices {
				for _, i := range n.engines {
					b.ObserveNotice(at(n.at), Pick{Endpoint: engine(i)}, n.notice)
				}
			}
			b.SetFleet(at(30), f) // the entries in the store are as before
			for ms, want := range test.picked {
				got, retryAt := pickedEngines(b, at(ms))
				qt.Check(t, got, qt.DeepEquals, want, qt.Commentf("at %d ms", ms))
				if retry, ok := test.retryAt[ms]; ok {
					qt.Check(t, retryAt, qt.Equals, at(retry))
				}
			}
		})
	}
}

// pickedEngines returns which of the engines get requests, and when a refused caller may
// return.
func pickedEngines(b *Balancer, now time.Time) (picked []int, retryAt time.Time) {
	for range 12 {
		p, refusal := b.Pick(now, Request{Service: "llm"})
		if refusal != NotRefused {
			return nil, p.RetryAt
		}
		for i := range 4 {
			if p.Endpoint.ID == engine(i).ID && !slices.Contains(picked, i) {
				picked = append(picked, i)
			}
		}
	}
	slices.Sort(picked)
	return picked, time.Time{}
}

// TestRestartedEndpointIsUsedAgain covers a restart under the same ID and address, and a
// late response of the run before it.
func TestRestartedEndpointIsUsedAgain(t *testing.T) {
	f := fleet(1, 1)
	b := balancers(f)[0]
	old := Pick{Endpoint: engine(0)}
	b.ObserveNotice(at(0), old, Notice{IsLeaving: true})
	restarted := engine(0)
	restarted.Born = 2
	f.Endpoints = []hitchfleet.Endpoint{restarted}
	b.SetFleet(at(100), f)
	_, refusal := b.Pick(at(100), Request{Service: "llm"})
	qt.Assert(t, refusal, qt.Equals, NotRefused)
	b.ObserveNotice(at(110), Pick{Endpoint: restarted}, Notice{PausedUntil: at(150)})
	b.ObserveNotice(at(120), old, Notice{IsLeaving: true})
	_, refusal = b.Pick(at(200), Request{Service: "llm"})
	qt.Assert(t, refusal, qt.Equals, NotRefused)
}

// TestNoticeOutlastsGapsInTheStore covers an endpoint whose entry disappears from the
// store for a moment.
func TestNoticeOutlastsGapsInTheStore(t *testing.T) {
	f := fleet(1, 1)
	b := balancers(f)[0]
	b.ObserveNotice(at(0), Pick{Endpoint: engine(0)}, Notice{IsLeaving: true})
	b.SetFleet(at(100), fleet(1, 0))
	b.SetFleet(at(200), f)
	_, refusal := b.Pick(at(200), Request{Service: "llm"})
	qt.Assert(t, refusal, qt.Equals, NoEndpoint)
	b.SetFleet(at(100_000), fleet(1, 0))
	qt.Assert(t, b.notices, qt.HasLen, 0)
}

// TestPauseOutlastsRestart covers an endpoint that restarts and asks for a pause before
// the instance has heard of the restart.
func TestPauseOutlastsRestart(t *testing.T) {
	f := fleet(1, 1)
	b := balancers(f)[0]
	b.ObserveNotice(at(0), Pick{Endpoint: engine(0)}, Notice{PausedUntil: at(3000)})
	restarted := engine(0)
	restarted.Born = 2
	f.Endpoints = []hitchfleet.Endpoint{restarted}
	b.SetFleet(at(100), f)
	_, refusal := b.Pick(at(2999), Request{Service: "llm"})
	qt.Assert(t, refusal, qt.Equals, AllPaused)
	_, refusal = b.Pick(at(3000), Request{Service: "llm"})
	qt.Assert(t, refusal, qt.Equals, NotRefused)
}
