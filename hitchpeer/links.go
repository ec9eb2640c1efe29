package hitchpeer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

const linkShards = 16

// keptAfterUse is how long a connection is kept after its last use, even if there
// are too many.
const keptAfterUse = 5 * time.Second

// links are the open connections, in shards by the other router's ID.
type links struct {
	shards [linkShards]linkShard
}

type linkShard struct {
	mu     sync.Mutex
	byPeer map[hitchfleet.InstanceID][]*link
	dials  map[dialKey]*dialing
	// retryAt is when packets may dial an address again that didn't answer.
	retryAt map[dialKey]time.Time
}

// dialKey names a dial that several callers may wait for.
type dialKey struct {
	to hitchfleet.InstanceID
	// addr tells a restarted router from the one before.
	addr  string
	fresh bool
}

// dialing is a dial under way. Its result may be read once done is closed.
type dialing struct {
	done chan struct{}
	link *link
	err  error
}

func (s *links) shard(id hitchfleet.InstanceID) *linkShard {
	return &s.shards[hitchfleet.KeyOf(string(id))%linkShards]
}

// get returns the newest connection to a router, or nil. Both ends prefer the
// one that was born last.
func (s *links) get(id hitchfleet.InstanceID) *link {
	shard := s.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	all := shard.byPeer[id]
	if len(all) == 0 {
		return nil
	}
	return slices.MaxFunc(all, func(a, b *link) int { return cmp.Compare(a.born, b.born) })
}

// nextBorn returns the birth of a new connection, after all others to the router.
func (s *links) nextBorn(id hitchfleet.InstanceID, now time.Time) int64 {
	if newest := s.get(id); newest != nil {
		return max(newest.born+1, now.UnixNano())
	}
	return now.UnixNano()
}

func (s *links) add(l *link) {
	shard := s.shard(l.id())
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.byPeer == nil {
		shard.byPeer = make(map[hitchfleet.InstanceID][]*link)
	}
	shard.byPeer[l.id()] = append(shard.byPeer[l.id()], l)
}

func (s *links) remove(l *link) {
	shard := s.shard(l.id())
	shard.mu.Lock()
	defer shard.mu.Unlock()
	rest := slices.DeleteFunc(shard.byPeer[l.id()], func(other *link) bool { return other == l })
	if len(rest) == 0 {
		delete(shard.byPeer, l.id())
		return
	}
	shard.byPeer[l.id()] = rest
}

func (s *links) all() []*link {
	var all []*link
	for i := range s.shards {
		shard := &s.shards[i]
		shard.mu.Lock()
		for _, some := range shard.byPeer {
			all = append(all, some...)
		}
		shard.mu.Unlock()
	}
	return all
}

// dial runs a dial, or joins the one that is under way.
func (s *links) dial(key dialKey, spawn func(func()) bool, run func() (*link, error)) *dialing {
	shard := s.shard(key.to)
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

// dialFailed lets no packet dial an address again before a time. Calls still may.
func (s *links) dialFailed(key dialKey, retryAt time.Time) {
	shard := s.shard(key.to)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.retryAt == nil {
		shard.retryAt = make(map[dialKey]time.Time)
	}
	shard.retryAt[key] = retryAt
}

// mayDial reports whether a packet may dial an address.
func (s *links) mayDial(key dialKey, now time.Time) bool {
	shard := s.shard(key.to)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	for other, retryAt := range shard.retryAt {
		if !now.Before(retryAt) {
			delete(shard.retryAt, other)
		}
	}
	_, waits := shard.retryAt[key]
	return !waits
}

// leastUsed returns the connections beyond a number, those first that were used
// longest ago. Connections with calls in flight stay, and so do those that were
// used lately, as probes do all the time.
func (s *links) leastUsed(most int, now time.Time) []*link {
	all := s.all()
	if len(all) <= most {
		return nil
	}
	type aged struct {
		link *link
		at   time.Time
	}
	var quiet []aged
	for _, l := range all {
		if at, busy := l.usedAt(); !busy && now.Sub(at) >= keptAfterUse {
			quiet = append(quiet, aged{l, at})
		}
	}
	slices.SortFunc(quiet, func(a, b aged) int { return a.at.Compare(b.at) })
	var excess []*link
	for _, a := range quiet[:min(len(quiet), len(all)-most)] {
		excess = append(excess, a.link)
	}
	return excess
}
