package hitchdigest

import (
	"slices"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchrecent"
)

const (
	// hubTimeout is how long a hub may send no status before the next instance in the
	// ranking takes its place.
	hubTimeout = 1200 * time.Millisecond
	// watchersPerStep is the number of instances that start to watch the store at once
	// when the hubs can't reach it, and again after each watcherStep until one of them
	// can. The store may refuse some instances and serve the others.
	watchersPerStep = 2
	watcherStep     = time.Second
)

// Roles are the instances of a region with a special role.
type Roles struct {
	// Hubs are the hubs, the primary one first.
	Hubs []hitchfleet.Instance
	// Watchers watch the store in place of the hubs while these can't reach it.
	Watchers []hitchfleet.Instance
}

// WatchesStore reports whether an instance watches the store.
func (r Roles) WatchesStore(id hitchfleet.InstanceID) bool {
	return contains(r.Hubs, id) || contains(r.Watchers, id)
}

func contains(instances []hitchfleet.Instance, id hitchfleet.InstanceID) bool {
	return slices.ContainsFunc(instances, func(i hitchfleet.Instance) bool { return i.ID == id })
}

// Election decides which instances are hubs. All instances hear the hubs, so that they
// agree on a successor without a call to each other or to the store. The zero value
// has received no status of a hub. Its methods are safe for concurrent use.
type Election struct {
	mu sync.Mutex
	// hubs are the instances that are or were hubs or sent a status.
	hubs map[hitchfleet.InstanceID]hubRecord
	// watcherCount is the number of watchers, and watchersGrownAt when it grew last.
	watcherCount    int
	watchersGrownAt time.Time
}

// hubRecord is what is known of a hub.
type hubRecord struct {
	// heardAt is when its last status arrived, or when it was first expected to be a
	// hub.
	heardAt          time.Time
	hasStatus        bool
	isStoreReachable bool
}

// RecordHubStatus records that a status of an instance arrived.
func (e *Election) RecordHubStatus(now time.Time, status HubStatus) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.hubs == nil {
		e.hubs = make(map[hitchfleet.InstanceID]hubRecord)
	}
	isOld := func(_ hitchfleet.InstanceID, r hubRecord) bool { return now.Sub(r.heardAt) > forgetTime }
	if _, ok := e.hubs[status.From]; ok || hitchrecent.HasRoom(e.hubs, maxInstances, isOld) {
		e.hubs[status.From] = hubRecord{heardAt: now, hasStatus: true, isStoreReachable: status.IsStoreReachable}
	}
}

// Roles returns the roles in a region, given its instances in the order of Rank. Silent
// instances get none, unless they send a status; the instance itself counts as alive.
func (e *Election) Roles(now time.Time, self hitchfleet.InstanceID, ranked []hitchfleet.Instance, isSilent func(hitchfleet.InstanceID) bool) Roles {
	e.mu.Lock()
	defer e.mu.Unlock()
	alive := make([]hitchfleet.Instance, 0, len(ranked))
	for _, i := range ranked {
		if i.ID == self || e.hasRecentStatus(now, i.ID) || !e.isLost(now, i.ID) && !isSilent(i.ID) {
			alive = append(alive, i)
		}
	}
	hubs := Hubs(alive)
	hubs = append(hubs, firstOthers(alive, hubs, e.countCandidates(now, ranked))...)
	e.expectHubs(now, hubs)
	return Roles{Hubs: hubs, Watchers: firstOthers(alive, hubs, e.updateWatchers(now, hubs))}
}

// firstOthers returns the first n instances that aren't among the hubs.
func firstOthers(instances, hubs []hitchfleet.Instance, n int) (out []hitchfleet.Instance) {
	for _, i := range instances {
		if len(out) < n && !contains(hubs, i.ID) {
			out = append(out, i)
		}
	}
	return out
}

// countCandidates returns how many instances are hubs in addition while none sends a status: as
// many as were lost before. The number of those tried doubles each time, so that hubs are
// found soon even if all instances at the top of the ranking are down.
func (e *Election) countCandidates(now time.Time, ranked []hitchfleet.Instance) (lost int) {
	for _, i := range ranked {
		switch {
		case e.hasRecentStatus(now, i.ID):
			return 0
		case e.isLost(now, i.ID):
			lost++
		}
	}
	return lost
}

// hasRecentStatus reports whether an instance sent a status recently.
func (e *Election) hasRecentStatus(now time.Time, id hitchfleet.InstanceID) bool {
	record := e.hubs[id]
	return record.hasStatus && now.Sub(record.heardAt) <= hubTimeout
}

// isLost reports whether an instance that should have sent a status didn't.
func (e *Election) isLost(now time.Time, id hitchfleet.InstanceID) bool {
	record, ok := e.hubs[id]
	return ok && now.Sub(record.heardAt) > hubTimeout
}

// expectHubs starts the timeout of instances that have become hubs.
func (e *Election) expectHubs(now time.Time, hubs []hitchfleet.Instance) {
	if e.hubs == nil {
		e.hubs = make(map[hitchfleet.InstanceID]hubRecord)
	}
	for _, h := range hubs {
		if _, ok := e.hubs[h.ID]; !ok {
			e.hubs[h.ID] = hubRecord{heardAt: now}
		}
	}
}

// updateWatchers updates the number of watchers and returns it: more and more of them
// while the hubs can't reach the store, until one can.
func (e *Election) updateWatchers(now time.Time, hubs []hitchfleet.Instance) int {
	if !e.hubsLackStore(hubs) {
		e.watcherCount, e.watchersGrownAt = 0, time.Time{}
		return 0
	}
	if now.Sub(e.watchersGrownAt) >= watcherStep && !e.anyReachesStore(now) {
		e.watcherCount += watchersPerStep
		e.watchersGrownAt = now
	}
	return e.watcherCount
}

// hubsLackStore reports whether some hub reported that it can't reach the store, and
// none that it can.
func (e *Election) hubsLackStore(hubs []hitchfleet.Instance) bool {
	lacksStore := false
	for _, h := range hubs {
		record := e.hubs[h.ID]
		if record.hasStatus && record.isStoreReachable {
			return false
		}
		lacksStore = lacksStore || record.hasStatus
	}
	return lacksStore
}

// anyReachesStore reports whether any instance that sent a status recently reaches the
// store.
func (e *Election) anyReachesStore(now time.Time) bool {
	for id, record := range e.hubs {
		if record.isStoreReachable && e.hasRecentStatus(now, id) {
			return true
		}
	}
	return false
}
