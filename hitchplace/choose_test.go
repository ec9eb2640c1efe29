package hitchplace

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
)

var start = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

func zone(i int) hitchfleet.AvailabilityZone {
	return hitchfleet.AvailabilityZone("zone-" + string(rune('a'+i%3)))
}

func engineID(i int) hitchfleet.EndpointID {
	return hitchfleet.EndpointID(fmt.Sprintf("guide-llm-%d", i))
}

func targets(n int) []Target {
	all := make([]Target, n)
	for i := range all {
		all[i].Endpoint = hitchfleet.Endpoint{ID: engineID(i), Zone: zone(i), Route: "guide-llm"}
		all[i].Version = "v1"
	}
	return all
}

func newPool(targets []Target, versions []VersionWeight, zonesOutOfService []hitchfleet.AvailabilityZone) *Pool {
	p := NewPool(targets, versions, zonesOutOfService)
	return &p
}

func chat(org string, i int) Request {
	id := hitchfleet.OrganisationID(org)
	return Request{Organisation: id, Chat: ChatKey(id, fmt.Sprint(i)), Zone: zone(0), Subset: 3}
}

func TestChooseFirstCandidate(t *testing.T) {
	chatOne := chat("aquarium", 1)
	defaultEndpoint := newPool(targets(8), nil, nil).Choose(nil, chatOne, start)[0].Endpoint
	tests := map[string]struct {
		targets func(all []Target)
		request func(r *Request)
		want    func(first Candidate) bool
	}{
		"directory entry": {
			request: func(r *Request) { r.Entry = Entry{Endpoint: engineID(5), LastUse: start} },
			want:    func(c Candidate) bool { return c == Candidate{engineID(5), ByDirectory} },
		},
		"entry of a lost endpoint": {
			request: func(r *Request) { r.Entry = Entry{Endpoint: "gone", LastUse: start} },
			want:    func(c Candidate) bool { return c == Candidate{defaultEndpoint, BySubset} },
		},
		"entry of a cold endpoint": {
			targets: func(all []Target) { all[5] = all[5].WithCold(true) },
			request: func(r *Request) { r.Entry = Entry{Endpoint: engineID(5), LastUse: start} },
			want:    func(c Candidate) bool { return c.Endpoint != engineID(5) },
		},
		"entry of a hit-only endpoint": {
			targets: func(all []Target) { all[5] = all[5].WithHitOnly(true) },
			request: func(r *Request) { r.Entry = Entry{Endpoint: engineID(5), LastUse: start} },
			want:    func(c Candidate) bool { return c == Candidate{engineID(5), ByDirectory} },
		},
		"prefix evicted": {
			request: func(r *Request) {
				r.Entry = Entry{Endpoint: engineID(5), LastUse: start.Add(-time.Hour)}
				r.Evictions = &EvictionTracker{}
				r.Evictions.Observe(CacheEvent{Endpoint: engineID(5), At: start.Add(-time.Minute), Kind: CacheCleared})
			},
			want: func(c Candidate) bool { return c.Reason == ByLoad },
		},
		"first by rendezvous is overloaded": {
			targets: func(all []Target) {
				for i := range all {
					if all[i].Endpoint.ID == defaultEndpoint {
						all[i] = all[i].WithLoad(100_000)
					}
				}
			},
			want: func(c Candidate) bool { return c.Endpoint != defaultEndpoint },
		},
		"pinned version": {
			targets: func(all []Target) { all[2].Version = "v2" },
			request: func(r *Request) { r.Version = "v2" },
			want:    func(c Candidate) bool { return c.Endpoint == engineID(2) },
		},
		"adapter": {
			targets: func(all []Target) { all[3].Adapters = []string{"lookbook"} },
			request: func(r *Request) { r.Adapter = "lookbook" },
			want:    func(c Candidate) bool { return c.Endpoint == engineID(3) },
		},
		"adapter not loaded anywhere": {
			request: func(r *Request) { r.Adapter = "lookbook" },
			want:    func(c Candidate) bool { return c.Endpoint == defaultEndpoint },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			all, r := targets(8), chatOne
			if test.targets != nil {
				test.targets(all)
			}
			if test.request != nil {
				test.request(&r)
			}
			got := newPool(all, nil, nil).Choose(nil, r, start)
			qt.Assert(t, test.want(got[0]), qt.IsTrue, qt.Commentf("%v", got))
		})
	}
}

func TestChooseSkipsUnavailableEndpoints(t *testing.T) {
	all := targets(9)
	all[4].Endpoint.Leaving = true
	all[5] = all[5].WithCold(true)
	pool := NewPool(all, nil, []hitchfleet.AvailabilityZone{zone(0)})
	coldTrials := 0
	for i := range 2000 {
		r := chat("aquarium", i)
		for _, c := range pool.Choose(nil, r, start) {
			if c.Reason == ByColdTrial {
				coldTrials++
				continue
			}
			qt.Assert(t, c.Endpoint == engineID(1) || c.Endpoint == engineID(2) || c.Endpoint == engineID(7) ||
				c.Endpoint == engineID(8), qt.IsTrue, qt.Commentf("%v", c))
		}
	}
	qt.Assert(t, coldTrials > 50 && coldTrials < 200, qt.IsTrue, qt.Commentf("%d", coldTrials))
}

func TestChooseCandidatesAreDistinct(t *testing.T) {
	pool := NewPool(targets(6), nil, nil)
	for i := range 500 {
		got := pool.Choose(nil, chat("aquarium", i), start)
		seen := map[hitchfleet.EndpointID]bool{}
		for _, c := range got {
			qt.Assert(t, seen[c.Endpoint], qt.IsFalse)
			seen[c.Endpoint] = true
		}
		qt.Assert(t, len(got) >= 3, qt.IsTrue)
	}
}

func TestEndpointLossMovesFewOtherChats(t *testing.T) {
	before, after := NewPool(targets(20), nil, nil), NewPool(targets(19), nil, nil)
	lost, moved := 0, 0
	for i := range 4000 {
		r := chat(fmt.Sprint("org-", i%40), i)
		endpointBefore, endpointAfter := before.Choose(nil, r, start)[0].Endpoint, after.Choose(nil, r, start)[0].Endpoint
		if endpointBefore == engineID(19) {
			lost++
		} else if endpointBefore != endpointAfter {
			moved++
		}
	}
	// When a subset of three loses a member, another endpoint joins it. The new one
	// is first for a third of the subset's chats, so that 2/9 of the chats move away
	// from members that remain.
	qt.Assert(t, moved < lost, qt.IsTrue, qt.Commentf("%d chats of the lost endpoint, %d other chats", lost, moved))
}

func TestDirectoryEntryKeepsChatOnEndpoint(t *testing.T) {
	before, after := NewPool(targets(20), nil, nil), NewPool(targets(19), nil, nil)
	for i := range 4000 {
		r := chat(fmt.Sprint("org-", i%40), i)
		r.Entry = Entry{Endpoint: before.Choose(nil, r, start)[0].Endpoint, LastUse: start}
		endpointAfter := after.Choose(nil, r, start)[0].Endpoint
		qt.Assert(t, endpointAfter == r.Entry.Endpoint || r.Entry.Endpoint == engineID(19), qt.IsTrue)
	}
}

func TestVersionWeightsSplitChats(t *testing.T) {
	all := targets(10)
	all[8].Version, all[9].Version = "v2", "v2"
	pool := NewPool(all, []VersionWeight{{"v1", 9}, {"v2", 1}}, nil)
	canary := 0
	for i := range 5000 {
		first := pool.Choose(nil, chat("aquarium", i), start)[0].Endpoint
		if first == engineID(8) || first == engineID(9) {
			canary++
		}
	}
	qt.Assert(t, canary > 400 && canary < 600, qt.IsTrue, qt.Commentf("%d", canary))
}

func TestOrganisationStaysInItsSubset(t *testing.T) {
	pool := NewPool(targets(20), nil, nil)
	used := map[hitchfleet.EndpointID]bool{}
	for i := range 1000 {
		used[pool.Choose(nil, chat("aquarium", i), start)[0].Endpoint] = true
	}
	qt.Assert(t, used, qt.HasLen, 3)
}
