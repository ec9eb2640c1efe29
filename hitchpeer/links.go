package hitchpeer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

const linkShards = 16

// minIdleBeforeEviction is how long a connection must have been idle before it may
// be closed because there are too many.
const minIdleBeforeEviction = 5 * time.Second

// links holds the open connections and the running dials, sharded by the ID of the
// other router.
type links struct {
	shards [linkShards]linkShard
}

type linkShard struct {
	mu     sync.Mutex
	byPeer map[hitchfleet.InstanceID][]*link
	dials  map[dialKey]*dialing
	// retryAt is the earliest time at which sending a packet may dial an address
	// again after a failed dial.
	retryAt map[dialKey]time.Time
}

// dialKey identifies a dial. Concurrent callers with the same key share one dial.
type dialKey struct {
	to hitchfleet.InstanceID
	// addr distinguishes a restarted router from its previous process.
	addr  string
	fresh bool
}

// dialing is a running dial. Its result may be read once done is closed.
type dialing struct {
	done chan struct{}
	link *link
	err  error
}

func (ls *links) shard(id hitchfleet.InstanceID) *linkShard {
	return &ls.shards[hitchfleet.KeyOf(string(id))%linkShards]
}

// get returns the newest connection to a router, or nil. Both ends prefer the
// connection with the highest openedAt.
func (ls *links) get(id hitchfleet.InstanceID) *link {
	shard := ls.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	all := shard.byPeer[id]
	if len(all) == 0 {
		return nil
	}
	return slices.MaxFunc(all, func(a, b *link) int { return cmp.Compare(a.openedAt, b.openedAt) })
}

// nextOpenedAt returns openedAt for a new connection, higher than that of every
// existing connection to the router.
func (ls *links) nextOpenedAt(id hitchfleet.InstanceID, now time.Time) int64 {
	if newest := ls.get(id); newest != nil {
		return max(newest.openedAt+1, now.UnixNano())
	}
	return now.UnixNano()
}

func (ls *links) add(l *link) {
	shard := ls.shard(l.id())
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.byPeer == nil {
		shard.byPeer = make(map[hitchfleet.InstanceID][]*link)
	}
	shard.byPeer[l.id()] = append(shard.byPeer[l.id()], l)
}

func (ls *links) remove(l *link) {
	shard := ls.shard(l.id())
	shard.mu.Lock()
	defer shard.mu.Unlock()
	remaining := slices.DeleteFunc(shard.byPeer[l.id()], func(other *link) bool { return other == l })
	if len(remaining) == 0 {
		delete(shard.byPeer, l.id())
		return
	}
	shard.byPeer[l.id()] = remaining
}

func (ls *links) all() []*link {
	var all []*link
	for i := range ls.shards {
		shard := &ls.shards[i]
		shard.mu.Lock()
		for _, peerLinks := range shard.byPeer {
			all = append(all, peerLinks...)
		}
		shard.mu.Unlock()
	}
	return all
}

// dial starts a dial, or returns the one that already runs for the key.
func (ls *links) dial(key dialKey, spawn func(func()) bool, run func() (*link, error)) *dialing {
	shard := ls.shard(key.to)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if d, ok := shard.dials[key]; ok {
		return d
	}
	if shard.dials == nil {
		shard.dials = make(map[dialKey]*dialing)
	}
	d := &dialing{done: make(chan struct{})}
	shard.dials[key] = d
	started := spawn(func() {
		d.link, d.err = run()
		shard.mu.Lock()
		delete(shard.dials, key)
		shard.mu.Unlock()
		close(d.done)
	})
	if !started {
		delete(shard.dials, key)
		d.err = ErrStopped
		close(d.done)
	}
	return d
}

// delayRedial keeps packets from dialling an address before retryAt. Calls may still
// dial it.
func (ls *links) delayRedial(key dialKey, retryAt time.Time) {
	shard := ls.shard(key.to)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.retryAt == nil {
		shard.retryAt = make(map[dialKey]time.Time)
	}
	shard.retryAt[key] = retryAt
}

// isDialAllowed reports whether sending a packet may dial an address.
func (ls *links) isDialAllowed(key dialKey, now time.Time) bool {
	shard := ls.shard(key.to)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	for other, retryAt := range shard.retryAt {
		if !now.Before(retryAt) {
			delete(shard.retryAt, other)
		}
	}
	_, delayed := shard.retryAt[key]
	return !delayed
}

// evictable returns connections to close so that at most limit stay open, the least
// recently used first. It leaves out connections with calls in flight and those
// that were used within minIdleBeforeEviction, as connections with probes are.
func (ls *links) evictable(limit int, now time.Time) []*link {
	all := ls.all()
	if len(all) <= limit {
		return nil
	}
	type idleLink struct {
		link *link
		at   time.Time
	}
	var idle []idleLink
	for _, l := range all {
		if at, busy := l.lastUse(); !busy && now.Sub(at) >= minIdleBeforeEviction {
			idle = append(idle, idleLink{l, at})
		}
	}
	slices.SortFunc(idle, func(a, b idleLink) int { return a.at.Compare(b.at) })
	var excess []*link
	for _, a := range idle[:min(len(idle), len(all)-limit)] {
		excess = append(excess, a.link)
	}
	return excess
}
