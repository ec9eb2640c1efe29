package hitchdigest

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
)

var start = time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)

func fleet(n, zones, fast int) []hitchfleet.Instance {
	out := make([]hitchfleet.Instance, n)
	for i := range out {
		out[i] = hitchfleet.Instance{
			ID:           hitchfleet.InstanceID(fmt.Sprintf("router-%d", i)),
			Zone:         hitchfleet.AvailabilityZone(fmt.Sprintf("zone-%d", i%zones)),
			LinkMegabits: 10,
		}
		if i < fast {
			out[i].LinkMegabits = 200
		}
	}
	return out
}

func TestHubsAreFastAndInDifferentZones(t *testing.T) {
	hubs := Hubs(Rank(fleet(60, 3, 6)))
	qt.Assert(t, hubs, qt.HasLen, hubCount)
	qt.Assert(t, hubs[0].Zone, qt.Not(qt.Equals), hubs[1].Zone)
	for _, h := range hubs {
		qt.Assert(t, h.LinkMegabits, qt.Equals, 200)
	}
}

func TestHubsDoNotDependOnInstanceOrder(t *testing.T) {
	all := fleet(20, 4, 0)
	reversed := slices.Clone(all)
	slices.Reverse(reversed)
	qt.Assert(t, Rank(reversed), qt.DeepEquals, Rank(all))
	qt.Assert(t, Hubs(Rank(reversed)), qt.DeepEquals, Hubs(Rank(all)))
}

func TestEachRegionHasItsOwnHubs(t *testing.T) {
	all := fleet(40, 4, 0)
	for i := range all {
		all[i].Region = hitchfleet.Region(fmt.Sprintf("region-%d", i%2))
	}
	for _, region := range []hitchfleet.Region{"region-0", "region-1"} {
		own := InRegion(all, region)
		qt.Assert(t, own, qt.HasLen, 20)
		for _, h := range Hubs(Rank(own)) {
			qt.Assert(t, h.Region, qt.Equals, region)
		}
	}
	qt.Assert(t, all, qt.HasLen, 40)
}

func TestHubsOfSmallFleets(t *testing.T) {
	tests := map[string]struct{ n, zones, want int }{
		"no instance": {0, 1, 0}, "one instance": {1, 1, 1}, "one zone": {5, 1, 2}, "two instances": {2, 2, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, Hubs(Rank(fleet(test.n, test.zones, 0))), qt.HasLen, test.want)
		})
	}
}

func TestRemovingOneHubKeepsTheOther(t *testing.T) {
	all := fleet(20, 4, 0)
	hubs := Hubs(Rank(all))
	rest := slices.DeleteFunc(all, func(i hitchfleet.Instance) bool { return i.ID == hubs[0].ID })
	qt.Assert(t, slices.ContainsFunc(Hubs(Rank(rest)), func(i hitchfleet.Instance) bool { return i.ID == hubs[1].ID }), qt.IsTrue)
}

func TestDigestSumsUnexpiredReports(t *testing.T) {
	var a Aggregator
	x, y := EndpointRefOf("x"), EndpointRefOf("y")
	a.AddReport(start, Report{From: "r1", Loads: []Load{{Endpoint: x, InFlight: 2}, {Endpoint: y, InFlight: 1}}})
	a.AddReport(start, Report{From: "r2", Loads: []Load{{Endpoint: x, InFlight: 3}}})
	a.AddReport(start, Report{From: "r2", Loads: []Load{{Endpoint: x, InFlight: 4}}})
	got := a.Digests(start, HubStatus{})
	qt.Assert(t, got, qt.HasLen, 1)
	sums := map[EndpointRef]uint16{}
	for _, l := range got[0].Loads {
		sums[l.Endpoint] = l.InFlight
	}
	qt.Assert(t, sums, qt.DeepEquals, map[EndpointRef]uint16{x: 6, y: 1})
	expired := start.Add(reportTTL + time.Millisecond)
	qt.Assert(t, a.Digests(expired, HubStatus{})[0].Loads, qt.HasLen, 0)
}

func TestDigestRepeatsCachedPrefixesUntilExpiry(t *testing.T) {
	var a Aggregator
	a.AddReport(start, Report{From: "r1", CachedPrefixes: []CachedPrefix{{Endpoint: 1, Prefix: 9, IsPrefilled: true}}})
	qt.Assert(t, a.Digests(start.Add(cachedPrefixTTL), HubStatus{})[0].CachedPrefixes, qt.HasLen, 1)
	qt.Assert(t, a.Digests(start.Add(cachedPrefixTTL+time.Millisecond), HubStatus{})[0].CachedPrefixes, qt.HasLen, 0)
}

// TestDatagramsFitMTU checks the largest supported fleet, which has 760
// endpoints.
func TestDatagramsFitMTU(t *testing.T) {
	const endpoints, mtu = 760, 1400
	var a Aggregator
	r := Report{From: "r1"}
	for i := range endpoints {
		r.Loads = append(r.Loads, Load{Endpoint: EndpointRefOf(hitchfleet.EndpointID(fmt.Sprint(i))), InFlight: 100})
		r.CachedPrefixes = append(r.CachedPrefixes, CachedPrefix{Endpoint: EndpointRef(i), Prefix: hitchfleet.KeyOf(fmt.Sprint(i)), IsPrefilled: true})
	}
	a.AddReport(start, r)
	total := 0
	for _, d := range a.Digests(start, HubStatus{From: "router-1", Revision: 1 << 40, ViewAddr: "10.1.0.40:8229"}) {
		b, err := Packet{Digest: &d}.Encode()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(b) <= mtu, qt.IsTrue, qt.Commentf("%d bytes", len(b)))
		total += len(d.Loads)
	}
	qt.Assert(t, total, qt.Equals, endpoints)
}

func TestPacketRoundTrip(t *testing.T) {
	want := Packet{Report: &Report{From: "r1", Loads: []Load{{Endpoint: 1, InFlight: 2}}, CachedPrefixes: []CachedPrefix{{Endpoint: 1, Prefix: 1 << 63, IsPrefilled: true}}}}
	b, err := want.Encode()
	qt.Assert(t, err, qt.IsNil)
	got, err := Decode(b)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got.Digest, qt.IsNil)
	qt.Assert(t, got.Report.From, qt.Equals, want.Report.From)
	qt.Assert(t, got.Report.Loads, qt.HasLen, 1)
	qt.Assert(t, got.Report.CachedPrefixes[0].Prefix, qt.Equals, hitchfleet.Key(1<<63))
}

func FuzzDecode(f *testing.F) {
	b, _ := Packet{Digest: &Digest{Loads: []Load{{Endpoint: 1, InFlight: 2}}}}.Encode()
	f.Add(b)
	f.Add([]byte{0x82, 0xf6, 0xf6})
	f.Fuzz(func(_ *testing.T, b []byte) { _, _ = Decode(b) })
}
