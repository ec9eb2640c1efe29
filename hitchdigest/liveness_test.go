package hitchdigest

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
)

// refs returns the sorted references of instances.
func refs(ids ...hitchfleet.InstanceID) (out []InstanceRef) {
	for _, id := range ids {
		out = append(out, InstanceRefOf(id))
	}
	slices.Sort(out)
	return out
}

const reportInterval = 200 * time.Millisecond

// silenceAfter returns what a hub reports after a time in which only some of the
// instances, given by index, sent reports.
func silenceAfter(elapsed time.Duration, all []hitchfleet.Instance, reporting []int) (out Silence) {
	var tracker ReportTracker
	for d := time.Duration(0); d <= elapsed; d += reportInterval {
		for _, i := range reporting {
			tracker.RecordReport(start.Add(d), all[i].ID)
		}
		out = tracker.Silence(start.Add(d), all)
	}
	return out
}

func TestHubDetectsSilentInstances(t *testing.T) {
	tests := map[string]struct {
		reporting []int // indexes of the instances that report
		elapsed   time.Duration
		want      []hitchfleet.InstanceID
		majority  bool
	}{
		"all instances report":                           {[]int{0, 1, 2, 3, 4}, 3 * time.Second, nil, false},
		"one instance hangs":                             {[]int{0, 1, 2, 4}, 1200 * time.Millisecond, []hitchfleet.InstanceID{"router-3"}, false},
		"one instance is silent for exactly the timeout": {[]int{0, 1, 2, 4}, 1000 * time.Millisecond, nil, false},
		"hub is cut off from most instances":             {[]int{0, 1}, 3 * time.Second, []hitchfleet.InstanceID{"router-2", "router-3", "router-4"}, true},
		"two of five instances lose power together":      {[]int{0, 1, 2}, 3 * time.Second, []hitchfleet.InstanceID{"router-3", "router-4"}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := silenceAfter(test.elapsed, fleet(5, 1, 0), test.reporting)
			qt.Assert(t, got.Instances, qt.DeepEquals, refs(test.want...))
			qt.Assert(t, got.IsMajority, qt.Equals, test.majority)
		})
	}
}

// TestNoInstanceIsSilentAfterPause covers a hub that hung or was suspended: it received
// no reports, although the others sent them.
func TestNoInstanceIsSilentAfterPause(t *testing.T) {
	all := fleet(5, 1, 0)
	var tracker ReportTracker
	tracker.Silence(start, all)
	qt.Assert(t, tracker.Silence(start.Add(5*time.Second), all).Instances, qt.HasLen, 0)
	qt.Assert(t, tracker.Silence(start.Add(5*time.Second+silenceTimeout), all).Instances, qt.HasLen, 0)
}

func TestSilenceIsBounded(t *testing.T) {
	got := silenceAfter(2*time.Second, fleet(450, 5, 0), nil)
	qt.Assert(t, got.Instances, qt.HasLen, maxSilentInstances)
	qt.Assert(t, got.IsMajority, qt.IsTrue)
	b, err := Packet{Digest: &Digest{HubStatus: &HubStatus{Silence: got}}}.Encode()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(b) <= 1400, qt.IsTrue, qt.Commentf("%d bytes", len(b)))
}

func TestInstanceIsSilentIfAllHubsReportIt(t *testing.T) {
	const id = "router-3"
	silent := Silence{Instances: refs(id), IsSettled: true}
	majority := Silence{Instances: silent.Instances, IsMajority: true, IsSettled: true}
	none := Silence{IsSettled: true}
	tests := map[string]struct {
		statuses []HubStatus
		elapsed  time.Duration
		want     bool
	}{
		"no hub status":                      {nil, 0, false},
		"the only hub lists it":              {[]HubStatus{{From: "h1", Silence: silent}}, 0, true},
		"both hubs list it":                  {[]HubStatus{{From: "h1", Silence: silent}, {From: "h2", Silence: silent}}, 0, true},
		"one of two hubs lists it":           {[]HubStatus{{From: "h1", Silence: silent}, {From: "h2", Silence: none}}, 0, false},
		"hub no longer lists it":             {[]HubStatus{{From: "h1", Silence: silent}, {From: "h1", Silence: none}}, 0, false},
		"hub status has expired":             {[]HubStatus{{From: "h1", Silence: silent}}, silenceReportTTL, false},
		"hub lists another instance":         {[]HubStatus{{From: "h1", Silence: Silence{Instances: refs("router-4"), IsSettled: true}}}, 0, false},
		"statuses of both hubs have expired": {[]HubStatus{{From: "h2", Silence: none}, {From: "h1", Silence: silent}}, silenceReportTTL, false},
		"the only hub hears few instances":   {[]HubStatus{{From: "h1", Silence: majority}}, 0, false},
		"both hubs hear few instances":       {[]HubStatus{{From: "h1", Silence: majority}, {From: "h2", Silence: majority}}, 0, false},
		"a hub that has just started":        {[]HubStatus{{From: "h1", Silence: silent}, {From: "h2"}}, 0, true},
		"a hub that is cut off lists it":     {[]HubStatus{{From: "h1", Silence: majority}, {From: "h2", Silence: none}}, 0, false},
		"a hub that is cut off doesn't":      {[]HubStatus{{From: "h1", Silence: Silence{IsMajority: true, IsSettled: true}}, {From: "h2", Silence: silent}}, 0, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var l Liveness
			for _, status := range test.statuses {
				l.RecordHubStatus(start, status)
			}
			qt.Assert(t, l.IsSilent(start.Add(test.elapsed), id), qt.Equals, test.want)
		})
	}
}

// TestSilentInstancesAreRemoved checks when hubs remove instances from the fleet that
// crashed or lost power: their entries in the store have no lease.
func TestSilentInstancesAreRemoved(t *testing.T) {
	const confirmed, unconfirmed = silenceTimeout + removalDelay, silenceTimeout + unconfirmedRemovalDelay
	twoZones := []hitchfleet.AvailabilityZone{"a", "b"}
	oneZone := []hitchfleet.AvailabilityZone{"a", "a"}
	tests := map[string]struct {
		hubZones  []hitchfleet.AvailabilityZone
		reporting []int
		rewriteAt time.Duration // when a silent instance writes its entry anew; 0 if it doesn't
		want      time.Duration // when the first instance is removed; 0 if none is
	}{
		"all report":                           {twoZones, []int{0, 1, 2, 3, 4}, 0, 0},
		"one crashed":                          {twoZones, []int{0, 1, 2, 3}, 0, confirmed},
		"one crashed, hubs in one zone":        {oneZone, []int{0, 1, 2, 3}, 0, unconfirmed},
		"one crashed, a single hub":            {oneZone[:1], []int{0, 1, 2, 3}, 0, unconfirmed},
		"most lost power":                      {twoZones, []int{0, 1}, 0, unconfirmed + doubtDelay},
		"cut off from hubs, reaches the store": {twoZones, []int{0, 1, 2, 3}, 4 * time.Second, 4*time.Second + removalDelay},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := firstRemoval(fleet(5, 1, 0), test.hubZones, test.reporting, test.rewriteAt)
			qt.Assert(t, got >= test.want && got <= test.want+2*reportInterval, qt.IsTrue, qt.Commentf("%v, not %v", got, test.want))
		})
	}
}

// firstRemoval returns after what time the first instance is to be removed, 0 if that
// isn't within a minute. There is a hub in each of the given zones.
func firstRemoval(all []hitchfleet.Instance, hubZones []hitchfleet.AvailabilityZone, reporting []int, rewriteAt time.Duration) time.Duration {
	var tracker ReportTracker
	var liveness Liveness
	var removals Removals
	for d := time.Duration(0); d < time.Minute; d += reportInterval {
		now := start.Add(d)
		for _, i := range reporting {
			tracker.RecordReport(now, all[i].ID)
		}
		silence := tracker.Silence(now, all)
		for n, zone := range hubZones {
			liveness.RecordHubStatus(now, HubStatus{From: hitchfleet.InstanceID(fmt.Sprint("h", n)), Zone: zone, Silence: silence})
		}
		due := removals.Due(now, &liveness, all, func(hitchfleet.InstanceID) (hitchfleet.Revision, bool) {
			if rewriteAt > 0 && d >= rewriteAt {
				return 2, true
			}
			return 1, true
		})
		if len(due) > 0 {
			return d
		}
	}
	return 0
}

// TestRemovalsNeedNoCallsForRemovedInstances checks that an instance whose entry is
// already gone isn't removed again.
func TestRemovalsNeedNoCallsForRemovedInstances(t *testing.T) {
	var l Liveness
	var removals Removals
	for d := time.Duration(0); d < time.Minute; d += reportInterval {
		l.RecordHubStatus(start.Add(d), HubStatus{From: "h1", Silence: Silence{Instances: refs("router-0"), IsSettled: true}})
		due := removals.Due(start.Add(d), &l, fleet(5, 1, 0), func(hitchfleet.InstanceID) (hitchfleet.Revision, bool) { return 0, false })
		qt.Assert(t, due, qt.HasLen, 0, qt.Commentf(fmt.Sprint(d)))
	}
}
