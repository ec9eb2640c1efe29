package hitchorigin

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchroute"
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// endpoints returns one endpoint of service "s" for each version.
func endpoints(versions ...string) (out []hitchfleet.Endpoint) {
	for i, version := range versions {
		out = append(out, hitchfleet.Endpoint{ID: hitchfleet.EndpointID(fmt.Sprint("e", i)), Service: "s", Version: version})
	}
	return out
}

// table returns a configuration with the route "r" to some services.
func table(services ...hitchfleet.ServiceID) *hitchroute.Table {
	route := hitchroute.Route{Name: "r"}
	for _, service := range services {
		route.Splits = append(route.Splits, hitchroute.Split{Service: service, Weight: 1})
	}
	return hitchroute.NewTable(hitchroute.Config{Routes: []hitchroute.Route{route}})
}

func origin(id, version string) Origin {
	return Origin{Stream: StreamKey(id), Service: "s", Version: version}
}

func TestKnowledge(t *testing.T) {
	only := func(version string) Answer { return Answer{Knowledge: KnowsOnly, Version: version} }
	several := Answer{Knowledge: KnowsSeveral}
	other := hitchfleet.Endpoint{ID: "o", Service: "other", Version: "v2"}
	sharedOther := func(tracker *Tracker) {
		tracker.SetFleet(at(0), endpoints("v1"), table("s"))
		tracker.Receive(at(1), []Origin{origin("x", "v2")})
	}
	tests := map[string]struct {
		calls func(*Tracker)
		now   time.Time
		want  Answer
	}{
		"no fleet":                      {func(*Tracker) {}, at(0), Answer{}},
		"one version":                   {func(tr *Tracker) { tr.SetFleet(at(0), endpoints("v1", "v1"), table("s")) }, at(5), only("v1")},
		"the empty version":             {func(tr *Tracker) { tr.SetFleet(at(0), endpoints(""), table("s")) }, at(5), only("")},
		"no endpoint":                   {func(tr *Tracker) { tr.SetFleet(at(0), nil, table("s")) }, at(5), Answer{}},
		"two versions":                  {func(tr *Tracker) { tr.SetFleet(at(0), endpoints("v1", "v2"), table("s")) }, at(5), several},
		"two, one of another service":   {func(tr *Tracker) { tr.SetFleet(at(0), append(endpoints("v1"), other), table("s")) }, at(5), only("v1")},
		"two services, two versions":    {func(tr *Tracker) { tr.SetFleet(at(0), append(endpoints("v1"), other), table("s", "other")) }, at(5), several},
		"another version is shared":     {sharedOther, at(5), several},
		"another version was shared":    {sharedOther, at(61), only("v1")},
		"the first to start knows all":  {func(tr *Tracker) { tr.SetFleet(at(0), endpoints("v1"), table("s")) }, at(0), only("v1")},
		"a restarted one doesn't":       {func(tr *Tracker) { tr.RecordGap(at(0)); tr.SetFleet(at(0), endpoints("v1"), table("s")) }, at(59), Answer{}},
		"a restarted one after minutes": {func(tr *Tracker) { tr.RecordGap(at(0)); tr.SetFleet(at(0), endpoints("v1"), table("s")) }, at(60), only("v1")},
		"a restarted one sees several":  {func(tr *Tracker) { tr.RecordGap(at(0)); tr.SetFleet(at(0), endpoints("v1", "v2"), table("s")) }, at(1), several},
		"a version has just left": {func(tr *Tracker) {
			tr.SetFleet(at(0), endpoints("v1", "v2"), table("s"))
			tr.SetFleet(at(100), endpoints("v2"), table("s"))
		}, at(159), several},
		"a version has left": {func(tr *Tracker) {
			tr.SetFleet(at(0), endpoints("v1", "v2"), table("s"))
			tr.SetFleet(at(100), endpoints("v2"), table("s"))
		}, at(160), only("v2")},
		"the only version was replaced": {func(tr *Tracker) {
			tr.SetFleet(at(0), endpoints("v1"), table("s"))
			tr.SetFleet(at(100), nil, table("s"))
			tr.SetFleet(at(101), endpoints("v2"), table("s"))
		}, at(102), several},
		"the route has moved": {func(tr *Tracker) {
			both := append(endpoints("v1"), other)
			tr.SetFleet(at(0), both, table("s"))
			tr.SetFleet(at(100), both, table("other"))
		}, at(159), several},
		"the route moved long ago": {func(tr *Tracker) {
			both := append(endpoints("v1"), other)
			tr.SetFleet(at(0), both, table("s"))
			tr.SetFleet(at(100), both, table("other"))
		}, at(160), only("v2")},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var tracker Tracker
			test.calls(&tracker)
			qt.Assert(t, tracker.Answer(test.now, StreamKey("unknown"), "r"), qt.Equals, test.want)
			qt.Assert(t, tracker.Answer(test.now, StreamKey("unknown"), "no route"), qt.Equals, Answer{})
		})
	}
}

// TestOriginsAreSharedOnlyWhileMixed checks that a route with one version costs no
// messages, and what is shared once it has two.
func TestOriginsAreSharedOnlyWhileMixed(t *testing.T) {
	var tracker Tracker
	qt.Assert(t, tracker.SetFleet(at(0), endpoints("v1"), table("s")), qt.HasLen, 0)
	for _, id := range []string{"long", "ended long ago", "ended lately"} {
		qt.Assert(t, tracker.Begin(at(1), "r", origin(id, "v1")), qt.IsFalse)
	}
	qt.Assert(t, tracker.Begin(at(1), "other route", origin("elsewhere", "v1")), qt.IsTrue)
	tracker.End(at(2), StreamKey("ended long ago"))
	tracker.End(at(15), StreamKey("ended lately"))
	shared := tracker.SetFleet(at(20), endpoints("v1", "v2"), table("s"))
	qt.Assert(t, shared, qt.ContentEquals, []Origin{origin("long", "v1"), origin("ended lately", "v1")})
	qt.Assert(t, tracker.Begin(at(21), "r", origin("new", "v1")), qt.IsTrue)
	qt.Assert(t, tracker.SetFleet(at(30), endpoints("v2"), table("s")), qt.HasLen, 0)
	qt.Assert(t, tracker.Begin(at(89), "r", origin("after the release", "v2")), qt.IsTrue)
	qt.Assert(t, tracker.SetFleet(at(90), endpoints("v2"), table("s")), qt.HasLen, 0)
	qt.Assert(t, tracker.Begin(at(91), "r", origin("calm again", "v2")), qt.IsFalse)
	qt.Assert(t, tracker.Receive(at(92), []Origin{origin("x", "v3")}), qt.HasLen, 4) // long, new, after the release, calm again
	qt.Assert(t, tracker.Receive(at(93), []Origin{origin("y", "v3")}), qt.HasLen, 0)
}

// TestStreamsOfCalmHoursAreShared covers a route that becomes mixed a second time, long
// after the first, with no change of the fleet in between.
func TestStreamsOfCalmHoursAreShared(t *testing.T) {
	tests := map[string]func(*Tracker){
		"after a release": func(tracker *Tracker) {
			tracker.SetFleet(at(0), endpoints("v0", "v1"), table("s"))
			tracker.SetFleet(at(10), endpoints("v1"), table("s"))
		},
		"after a restart": func(tracker *Tracker) {
			tracker.RecordGap(at(0))
			tracker.SetFleet(at(0), endpoints("v1"), table("s"))
		},
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			var tracker Tracker
			prepare(&tracker)
			qt.Assert(t, tracker.Begin(at(30), "r", origin("mixed", "v1")), qt.IsTrue)
			tracker.End(at(31), StreamKey("mixed"))
			qt.Assert(t, tracker.Begin(at(1000), "r", origin("calm", "v1")), qt.IsFalse)
			qt.Assert(t, tracker.SetFleet(at(1001), endpoints("v1", "v2"), table("s")), qt.DeepEquals, []Origin{origin("calm", "v1")})
		})
	}
}

// TestEarlyVersionIsShared covers an instance that picks an endpoint of a new version
// whose entry others haven't seen yet.
func TestEarlyVersionIsShared(t *testing.T) {
	var tracker Tracker
	tracker.SetFleet(at(0), endpoints("v1"), table("s"))
	qt.Assert(t, tracker.Begin(at(1), "r", origin("x", "v2")), qt.IsTrue)
}

func TestRecordsOutliveTheirStreams(t *testing.T) {
	tests := map[string]struct {
		calls  func(*Tracker)
		source Source
	}{
		"in flight": {func(tr *Tracker) { tr.Begin(at(0), "r", origin("x", "v1")) }, SourceOwn},
		"ended":     {func(tr *Tracker) { tr.Begin(at(0), "r", origin("x", "v1")); tr.End(at(1), StreamKey("x")) }, SourceOwn},
		"shared":    {func(tr *Tracker) { tr.Receive(at(0), []Origin{origin("x", "v1")}) }, SourceShared},
		"own before shared": {func(tr *Tracker) {
			tr.Receive(at(0), []Origin{origin("x", "v2")})
			tr.Begin(at(1), "r", origin("x", "v1"))
		}, SourceOwn},
		"never begun": {func(tr *Tracker) { tr.End(at(1), StreamKey("x")) }, SourceUnknown},
		"after a minute": {func(tr *Tracker) {
			tr.Receive(at(0), []Origin{origin("x", "v1")})
			tr.Receive(at(61), []Origin{origin("y", "v1")})
		}, SourceShared},
		"after two minutes": {func(tr *Tracker) {
			tr.Receive(at(0), []Origin{origin("x", "v1")})
			tr.Receive(at(61), []Origin{origin("y", "v1")})
			tr.Receive(at(122), []Origin{origin("z", "v1")})
		}, SourceUnknown},
		"after a long pause": {func(tr *Tracker) {
			tr.Receive(at(0), []Origin{origin("x", "v1")})
			tr.Receive(at(600), []Origin{origin("y", "v1")})
		}, SourceUnknown},
		"after many others": {func(tr *Tracker) {
			tr.Receive(at(0), []Origin{origin("x", "v1")})
			for i := range 2 * maxGenerationRecords {
				tr.Receive(at(1), []Origin{origin(fmt.Sprint(i), "v1")})
			}
		}, SourceUnknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var tracker Tracker
			test.calls(&tracker)
			got, source := tracker.Find(StreamKey("x"))
			qt.Assert(t, source, qt.Equals, test.source)
			if source != SourceUnknown {
				qt.Assert(t, got, qt.Equals, origin("x", "v1"))
				qt.Assert(t, tracker.Answer(at(1), StreamKey("x"), "r"), qt.Equals, Answer{Knowledge: KnowsRecord, Service: "s", Version: "v1"})
			}
		})
	}
}

func TestCombine(t *testing.T) {
	record := func(version string) Answer { return Answer{Knowledge: KnowsRecord, Service: "s", Version: version} }
	only := func(version string) Answer { return Answer{Knowledge: KnowsOnly, Version: version} }
	several, nothing := Answer{Knowledge: KnowsSeveral}, Answer{}
	tests := map[string]struct {
		own     Answer
		homes   []Answer
		isAlone bool
		version string
		source  Source
	}{
		"a record counts most":             {only("v1"), []Answer{only("v1"), record("v2"), several}, false, "v2", SourceAsked},
		"two records":                      {several, []Answer{record("v2"), record("v2")}, false, "v2", SourceAsked},
		"records that differ":              {several, []Answer{record("v2"), record("v1")}, false, "", SourceUnknown},
		"records that differ, three":       {several, []Answer{record("v2"), record("v1"), record("v2")}, false, "", SourceUnknown},
		"all have known one version":       {only("v1"), []Answer{only("v1"), only("v1")}, false, "v1", SourceInferred},
		"one of them has known several":    {only("v1"), []Answer{only("v1"), several}, false, "", SourceUnknown},
		"this instance has":                {several, []Answer{only("v1")}, false, "", SourceUnknown},
		"they have known different ones":   {only("v1"), []Answer{only("v2")}, false, "", SourceUnknown},
		"the homes differ":                 {nothing, []Answer{only("v1"), only("v2")}, false, "", SourceUnknown},
		"this instance has just restarted": {nothing, []Answer{only("v1"), nothing}, false, "v1", SourceInferred},
		"all have just restarted":          {nothing, []Answer{nothing, nothing}, false, "", SourceUnknown},
		"no home answers":                  {only("v1"), nil, false, "", SourceUnknown},
		"no home is in touch":              {only("v1"), []Answer{nothing}, false, "", SourceUnknown},
		"no other instance":                {only("v1"), nil, true, "v1", SourceInferred},
		"no other instance, two versions":  {several, nil, true, "", SourceUnknown},
		"no other instance, restarted":     {nothing, nil, true, "", SourceUnknown},
		"the empty version":                {only(""), []Answer{only("")}, false, "", SourceInferred},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o, source := Combine(test.own, test.homes, test.isAlone)
			qt.Assert(t, source, qt.Equals, test.source)
			qt.Assert(t, o.Version, qt.Equals, test.version)
		})
	}
}
