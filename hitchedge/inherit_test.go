package hitchedge

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchview"
)

// restart stops an instance and starts a new one, whose first view isn't that of a fleet
// that starts. It returns once the new one has asked the others which versions there were.
func (f *originFleet) restart(t *testing.T, n int) {
	f.stops[n]()
	f.view = f.view.Update(hitchview.InstanceRemovedMsg{Revision: f.view.Revision + 1, ID: f.edges[n].Settings.Self.ID})
	f.addInstance(t, len(f.edges))
	f.setRunningView()
	e := f.edges[len(f.edges)-1]
	go e.inheritVersions(t.Context())
	for begun := time.Now(); !e.gateway.Origins.IsComplete(time.Now()) && time.Since(begun) < 5*time.Second; {
		tick(t)
	}
}

// setRunningView gives all instances the present view. It is the first one of those that
// have just started.
func (f *originFleet) setRunningView() {
	for _, e := range f.edges {
		e.setView(f.view)
	}
}

// TestRollingRestartDoesNotStopReturns covers a planned restart of all instances, one after
// the other within seconds. The stream of an instance that is killed then goes on elsewhere,
// though no instance has been there for long.
func TestRollingRestartDoesNotStopReturns(t *testing.T) {
	const instances = 4
	f := newOriginFleet(t, instances, "v1", "v1")
	f.view = f.view.Update(hitchview.EndpointMsg{Revision: 4, Endpoint: hitchfleet.Endpoint{
		ID: "old", Service: "other", Version: "v1", Born: time.Now().Add(-time.Hour).UnixMilli(),
	}})
	f.setView()
	status, end := f.stream(t, 0, "first", "")
	defer end()
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	for n := 1; n < instances; n++ {
		f.restart(t, n)
	}
	f.stops[0]()
	for n := instances; n < len(f.edges); n++ {
		id := fmt.Sprint("return-", n)
		status, end := f.stream(t, n, id, "first")
		end()
		qt.Check(t, status, qt.Equals, http.StatusOK)
		qt.Check(t, f.versionOf(id), qt.Equals, f.versionOf("first"))
	}
}
