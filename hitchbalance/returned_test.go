package hitchbalance

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestReturnedEndpointKeepsItsRequests covers an endpoint whose entry is gone for a moment, such as
// in an outage of the store, while requests to it are in flight: they still count as its load.
func TestReturnedEndpointKeepsItsRequests(t *testing.T) {
	f := fleet(1, 1)
	b := balancers(f)[0]
	inFlight := func() (n int) {
		for _, l := range b.Report().Loads {
			n += int(l.InFlight)
		}
		return n
	}
	first, second, third := pick(t, b, start, prompt(1)), pick(t, b, start, prompt(2)), pick(t, b, start, prompt(3))
	gone := f
	gone.Endpoints = nil
	b.SetFleet(at(100), gone)
	b.Finish(at(150), first, ResultOK)
	b.SetFleet(at(200), f)
	qt.Check(t, inFlight(), qt.Equals, 2)
	fourth := pick(t, b, at(250), prompt(4))
	qt.Check(t, inFlight(), qt.Equals, 3)
	b.Finish(at(300), second, ResultOK)
	b.Finish(at(300), third, ResultOK)
	qt.Check(t, inFlight(), qt.Equals, 1)
	b.Finish(at(400), fourth, ResultOK)
	qt.Check(t, inFlight(), qt.Equals, 0)
}
