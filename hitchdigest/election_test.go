package hitchdigest

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
)

func noneSilent(hitchfleet.InstanceID) bool { return false }

// hubScenario plays an election as a region's last instance sees it, of which the
// others know no more.
type hubScenario struct {
	election Election
	ranked   []hitchfleet.Instance
	// isDown and lacksStore say of each instance whether it is down, and whether the
	// store refuses it.
	isDown, lacksStore map[hitchfleet.InstanceID]bool
}

func newHubScenario(n int) *hubScenario {
	return &hubScenario{ranked: Rank(fleet(n, 5, 15)), isDown: map[hitchfleet.InstanceID]bool{}, lacksStore: map[hitchfleet.InstanceID]bool{}}
}

// step lets all hubs and watchers that are up send a status, and returns the roles.
func (s *hubScenario) step(now time.Time) Roles {
	self := s.ranked[len(s.ranked)-1].ID
	roles := s.election.Roles(now, self, s.ranked, noneSilent)
	for _, hub := range roles.Hubs {
		if !s.isDown[hub.ID] {
			s.election.RecordHubStatus(now, HubStatus{From: hub.ID, IsStoreReachable: !s.lacksStore[hub.ID]})
		}
	}
	for _, watcher := range roles.Watchers {
		if !s.isDown[watcher.ID] && !s.lacksStore[watcher.ID] {
			s.election.RecordHubStatus(now, HubStatus{From: watcher.ID, IsStoreReachable: true})
		}
	}
	return s.election.Roles(now, self, s.ranked, noneSilent)
}

// run plays a period from a time on and returns the roles at its end.
func (s *hubScenario) run(from, period time.Duration) (roles Roles) {
	for d := from; d <= from+period; d += 600 * time.Millisecond {
		roles = s.step(start.Add(d))
	}
	return roles
}

// TestNextInstancesBecomeHubs covers hubs that lose power together: all instances agree
// on the next ones without asking the store.
func TestNextInstancesBecomeHubs(t *testing.T) {
	s := newHubScenario(195)
	first := s.run(0, 3*time.Second).Hubs
	qt.Assert(t, first, qt.DeepEquals, Hubs(s.ranked))
	for _, hub := range first {
		s.isDown[hub.ID] = true
	}
	next := s.run(4*time.Second, 2*time.Second).Hubs
	qt.Assert(t, next, qt.HasLen, hubCount)
	for _, hub := range next {
		qt.Assert(t, s.isDown[hub.ID], qt.IsFalse)
	}
	qt.Assert(t, next[0].Zone, qt.Not(qt.Equals), next[1].Zone)
	// The former hubs are up again and consider themselves hubs.
	for _, hub := range first {
		s.election.RecordHubStatus(start.Add(7*time.Second), HubStatus{From: hub.ID, IsStoreReachable: true})
	}
	s.isDown = map[hitchfleet.InstanceID]bool{}
	qt.Assert(t, s.run(7*time.Second, time.Second).Hubs, qt.DeepEquals, first)
}

// TestFewInstancesCallStoreDuringOutage covers a store that is down or refuses a part
// of the instances. Only hubs and watchers call it.
func TestFewInstancesCallStoreDuringOutage(t *testing.T) {
	tests := map[string]struct {
		refused  int // how many of the first instances in the ranking are refused
		outage   time.Duration
		maxCalls int // bound of the instances that call the store
		served   bool
	}{
		"store serves all":                {0, 8 * time.Second, 2, true},
		"store refuses the hubs":          {2, 3 * time.Second, 4, true},
		"store refuses ten instances":     {10, 8 * time.Second, 12, true},
		"store is down for eight seconds": {195, 8 * time.Second, 20, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newHubScenario(195)
			for _, i := range s.ranked[:test.refused] {
				s.lacksStore[i.ID] = true
			}
			// The hubs are in different zones and so need not be the first two.
			if test.refused > 0 {
				for _, hub := range Hubs(s.ranked) {
					s.lacksStore[hub.ID] = true
				}
			}
			roles := s.run(0, test.outage)
			qt.Assert(t, len(roles.Hubs)+len(roles.Watchers) <= test.maxCalls, qt.IsTrue, qt.Commentf("%d hubs, %d watchers", len(roles.Hubs), len(roles.Watchers)))
			qt.Assert(t, s.election.anyReachesStore(start.Add(test.outage)), qt.Equals, test.served)
			s.lacksStore = map[hitchfleet.InstanceID]bool{}
			roles = s.run(test.outage+time.Second, 2*time.Second)
			qt.Assert(t, roles.Watchers, qt.HasLen, 0)
		})
	}
}

// TestWatchersStartAtOnce checks that others watch the store as soon as the hubs report
// that it refuses them, since a change of the configuration has to be active on all
// instances within seconds.
func TestWatchersStartAtOnce(t *testing.T) {
	s := newHubScenario(8)
	s.run(0, time.Second)
	for _, hub := range Hubs(s.ranked) {
		s.election.RecordHubStatus(start.Add(2*time.Second), HubStatus{From: hub.ID})
	}
	roles := s.election.Roles(start.Add(2*time.Second), "router-7", s.ranked, noneSilent)
	qt.Assert(t, roles.Watchers, qt.HasLen, watchersPerStep)
	qt.Assert(t, roles.WatchesStore(roles.Watchers[0].ID), qt.IsTrue)
	qt.Assert(t, roles.WatchesStore(roles.Hubs[0].ID), qt.IsTrue)
}

// TestUnheardInstanceElectsItself covers an instance that the others consider lost, as
// after a restart: it counts itself as alive, so that it sends its status again.
func TestUnheardInstanceElectsItself(t *testing.T) {
	ranked := Rank(fleet(20, 4, 4))
	var e Election
	e.Roles(start, ranked[0].ID, ranked, noneSilent)
	roles := e.Roles(start.Add(time.Minute), ranked[0].ID, ranked, noneSilent)
	qt.Assert(t, roles.Hubs[0].ID, qt.Equals, ranked[0].ID)
}
