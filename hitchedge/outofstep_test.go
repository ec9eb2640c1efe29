package hitchedge

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchview"
)

// reachOnly lets an instance ask only some of the others.
type reachOnly struct{ addrs []string }

func (r reachOnly) RoundTrip(request *http.Request) (*http.Response, error) {
	if !slices.Contains(r.addrs, request.URL.Host) {
		return nil, errors.New("no path to this instance")
	}
	return http.DefaultTransport.RoundTrip(request)
}

// TestStreamsDontMixVersionsAtInstanceOutOfStep guards against an instance that doesn't know yet of a
// version that has joined, and takes up streams that began there at the version that it knows (rule ORDER). It hasn't
// noticed itself that it is behind.
func TestStreamsDontMixVersionsAtInstanceOutOfStep(t *testing.T) {
	const instances = 7
	tests := map[string]struct {
		// behind are the instances whose view lacks the new version, of which the first is asked to go on.
		behind []int
		// reached are the other instances that it reaches.
		reached []int
	}{
		"one stood still":                         {[]int{0}, []int{1, 2, 3, 4, 5, 6}},
		"one is cut off from the others":          {[]int{0}, nil},
		"one reaches few others":                  {[]int{0}, []int{3}},
		"two are behind, and reach all":           {[]int{0, 6}, []int{1, 2, 3, 4, 5, 6}},
		"two are cut off, and reach each other":   {[]int{0, 6}, []int{6}},
		"three are cut off, and reach each other": {[]int{0, 5, 6}, []int{5, 6}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newOriginFleet(t, instances, "v1")
			f.addEndpoint(t, "v2")
			f.view = f.view.Update(hitchview.EndpointMsg{Revision: 4, Endpoint: drained(t, f.view, "e0")})
			var reached []string
			for _, n := range test.reached {
				reached = append(reached, f.edges[n].Settings.Self.PeerAddr)
			}
			f.edges[0].peerClient = http.Client{Transport: reachOnly{reached}}
			f.showExcept(test.behind)
			for n := range 3 {
				id := fmt.Sprint("stream-", n)
				status, end := f.stream(t, 1, id, "")
				end()
				qt.Assert(t, status, qt.Equals, http.StatusOK)
				qt.Assert(t, f.versionOf(id), qt.Equals, "v2")
				status, end = f.stream(t, 0, id+"-again", id)
				end()
				qt.Check(t, status, qt.Equals, http.StatusServiceUnavailable) // it knows v1 only
			}
		})
	}
}

// drained returns an endpoint of a view that leaves.
func drained(t *testing.T, view hitchview.View, id hitchfleet.EndpointID) hitchfleet.Endpoint {
	e, ok := view.Endpoint(id)
	qt.Assert(t, ok, qt.IsTrue)
	e.Leaving, e.Sequence = true, e.Sequence+1
	return e
}

// showExcept shows the present view to all but some instances. The others send no datagrams to these, so
// that origins which they share don't arrive there.
func (f *originFleet) showExcept(behind []int) {
	view := f.view
	for _, n := range behind {
		i := f.edges[n].Settings.Self
		i.DatagramAddr = strings.Replace(i.DatagramAddr, ":7355", ":7399", 1)
		view = view.Update(hitchview.InstanceMsg{Revision: 5, Instance: i})
	}
	for n, e := range f.edges {
		if !slices.Contains(behind, n) {
			e.setView(view)
		}
	}
}
