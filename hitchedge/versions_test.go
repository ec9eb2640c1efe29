package hitchedge

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchorigin"
	"citronhitch.example/citronhitch/hitchview"
	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

// restart stops an instance and starts a new one, whose first view isn't that of a fleet
// that starts. It returns once the new one has asked the others which versions there were.
func (f *originFleet) restart(t *testing.T, n int) {
	f.stops[n]()
	f.view = f.view.Update(hitchview.InstanceRemovedMsg{Revision: 9, ID: f.edges[n].Settings.Self.ID})
	f.addInstance(t, len(f.edges))
	f.setRunningView()
	e := f.edges[len(f.edges)-1]
	go e.followRecords(t.Context())
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

// TestReturnsOutlastLossOfAllInstances covers a fleet that is lost as a whole, and started
// again: the store knows which versions there were.
func TestReturnsOutlastLossOfAllInstances(t *testing.T) {
	tests := map[string]struct {
		before, after []string
		want          hitchorigin.Knowledge
	}{
		"one version":                     {[]string{"v1", "v1"}, nil, hitchorigin.KnowsOnly},
		"several versions":                {[]string{"v1", "v2"}, nil, hitchorigin.KnowsSeveral},
		"another version during the loss": {[]string{"v1"}, []string{"v2"}, hitchorigin.KnowsSeveral},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(&hitchstandin.Store{})
			defer server.Close()
			f := newOriginFleet(t, 1, test.before...)
			lost := f.edges[0]
			lost.store.Addr = strings.TrimPrefix(server.URL, "http://")
			lost.recordVersions(t.Context())
			f.stops[0]()
			f.addInstance(t, 1)
			for _, version := range test.after {
				f.addEndpoint(t, version)
			}
			next := f.edges[1]
			next.store.Addr = lost.store.Addr
			next.gateway.RecordGap(time.Now())
			next.setView(f.view)
			qt.Assert(t, next.gateway.AnswerOrigin(time.Now(), 7, "r").Knowledge == hitchorigin.KnowsOnly, qt.IsFalse)
			next.learnVersions(t.Context())
			qt.Assert(t, next.gateway.AnswerOrigin(time.Now(), 7, "r").Knowledge, qt.Equals, test.want)
		})
	}
}

// TestVersionsAreRecordedOnce checks that the store is written to only if the versions
// have changed or it has come back from an older copy.
func TestVersionsAreRecordedOnce(t *testing.T) {
	var store hitchstandin.Store
	writes := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			writes++
		}
		store.ServeHTTP(w, r)
	}))
	defer server.Close()
	f := newOriginFleet(t, 1, "v1")
	e := f.edges[0]
	e.store.Addr = strings.TrimPrefix(server.URL, "http://")
	for range 3 {
		e.recordVersions(t.Context())
	}
	qt.Assert(t, writes, qt.Equals, 1)
	f.addEndpoint(t, "v2")
	f.setView()
	for range 3 {
		e.recordVersions(t.Context())
	}
	qt.Assert(t, writes, qt.Equals, 2)
	e.versionsRecord.era-- // as if the store had come back since
	e.recordVersions(t.Context())
	qt.Assert(t, writes, qt.Equals, 3)
}

// TestQuestionsForVersionsAreSpacedOut covers a fleet in which nobody knows which versions
// there were: in a minute, each instance asks a dozen times.
func TestQuestionsForVersionsAreSpacedOut(t *testing.T) {
	var questions versionsQuestions
	start := time.Now()
	asked := 0
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(versionsInterval) {
		if questions.isDue(now) {
			asked++
		}
	}
	qt.Assert(t, asked > 8 && asked < 18, qt.IsTrue, qt.Commentf("%d", asked))
}

// TestNewEndpointsAreNoNewFleet covers a fleet whose instances were all stopped as planned, so
// that none has an entry, and whose endpoints have all been replaced just before they start
// again: it looks like one that is new. A stream that the old version began may not go on at the
// new one. In a fleet that is new, what streams begin with is known at once.
func TestNewEndpointsAreNoNewFleet(t *testing.T) {
	tests := map[string]struct {
		before []string // the versions before the stop
		want   hitchorigin.Knowledge
	}{
		"replaced while stopped": {[]string{"v1"}, hitchorigin.KnowsSeveral},
		"replaced before":        {[]string{"v1", "v2"}, hitchorigin.KnowsSeveral},
		"the same version":       {[]string{"v2"}, hitchorigin.KnowsOnly},
		"a new fleet":            {nil, hitchorigin.KnowsOnly},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(&hitchstandin.Store{})
			defer server.Close()
			addr := strings.TrimPrefix(server.URL, "http://")
			if test.before != nil {
				stopped := newOriginFleet(t, 1, test.before...)
				stopped.edges[0].store.Addr = addr
				stopped.edges[0].recordVersions(t.Context())
			}
			next := newOriginFleet(t, 0, "v2")
			next.addInstance(t, 1)
			e := next.edges[0]
			e.store.Addr, e.Settings.StoreAddr = addr, addr
			view := hitchview.View{}.Update(hitchview.TableMsg{Revision: 1, Table: next.view.Table})
			for _, endpoint := range next.view.AllEndpoints() {
				endpoint.Born = time.Now().UnixMilli()
				view = view.Update(hitchview.EndpointMsg{Revision: 2, Endpoint: endpoint})
			}
			e.setView(view)
			if test.want == hitchorigin.KnowsSeveral {
				qt.Assert(t, e.gateway.AnswerOrigin(time.Now(), 7, "r").Knowledge, qt.Not(qt.Equals), hitchorigin.KnowsOnly)
			}
			go e.followRecords(t.Context())
			for begun := time.Now(); e.gateway.AnswerOrigin(time.Now(), 7, "r").Knowledge != test.want && time.Since(begun) < time.Second; {
				tick(t)
			}
			qt.Assert(t, e.gateway.AnswerOrigin(time.Now(), 7, "r").Knowledge, qt.Equals, test.want)
		})
	}
}
