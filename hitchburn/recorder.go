package hitchburn

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Dimension is what series are told apart by.
type Dimension uint8

// The dimensions.
const (
	ByRoute Dimension = iota
	ByOrganisation
	ByZone
	dimensionCount
)

var dimensionNames = [dimensionCount]string{"Route", "Organisation", "AvailabilityZone"}

// String returns the dimension's name.
func (d Dimension) String() string {
	if d < dimensionCount {
		return dimensionNames[d]
	}
	return "Unknown"
}

// MarshalText writes the dimension's name.
func (d Dimension) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads a dimension's name.
func (d *Dimension) UnmarshalText(text []byte) (err error) {
	*d, err = named[Dimension](dimensionNames[:], text)
	return err
}

// Other is the name that stands for all above the most names of a dimension.
const Other = "Other"

// The most names of each dimension that have series of their own.
const (
	MaxRoutes        = 64
	MaxOrganisations = 512
	MaxZones         = 32
)

var maxNames = [dimensionCount]int64{MaxRoutes, MaxOrganisations, MaxZones}

// subject is one name of a dimension.
type subject struct {
	dimension Dimension
	name      string
}

// entry holds the series of a subject. Those of levels without events are nil.
type entry struct {
	levels     [levelCount]*counts
	firstToken latency
	tokenGap   latency
}

// recorderShards is the number of locks of a Recorder.
const recorderShards = 32

type recorderShard struct {
	mu      sync.Mutex
	entries map[subject]*entry
}

// Recorder counts events by level, for each route, organisation and availability
// zone. Its memory is bounded by the most names of each dimension: a name beyond
// them counts as Other until a name without events for three days makes room. The
// zero value is empty. Its methods are safe for several goroutines.
type Recorder struct {
	shards [recorderShards]recorderShard
	names  [dimensionCount]atomic.Int64
}

// Record counts one event that ended now. It allocates only for a name or level
// that is new. An event without a name in a dimension isn't counted there.
func (r *Recorder) Record(now time.Time, e Event) {
	at := slotsOf(now)
	var verdicts [levelCount]verdict
	for l := range verdicts {
		verdicts[l] = e.on(Level(l))
	}
	r.record(now, at, subject{ByRoute, string(e.Route)}, &verdicts, &e)
	r.record(now, at, subject{ByOrganisation, string(e.Organisation)}, &verdicts, nil)
	r.record(now, at, subject{ByZone, string(e.Zone)}, &verdicts, nil)
}

// record counts an event for one subject. With e, its times go to the histograms.
func (r *Recorder) record(now time.Time, at slots, s subject, verdicts *[levelCount]verdict, e *Event) {
	if s.name == "" {
		return
	}
	shard := r.shard(s)
	shard.mu.Lock()
	x, ok := r.entry(shard, at, s)
	if !ok {
		shard.mu.Unlock()
		s.name = Other
		shard = r.shard(s)
		shard.mu.Lock()
		x = shard.add(s)
	}
	defer shard.mu.Unlock()
	x.count(at, verdicts)
	if e != nil {
		x.time(now, e, verdicts)
	}
}

func (r *Recorder) shard(s subject) *recorderShard {
	return &r.shards[(xxhash.Sum64String(s.name)+uint64(s.dimension))%recorderShards]
}

// entry returns the entry of a subject, if there is room for it.
func (r *Recorder) entry(shard *recorderShard, at slots, s subject) (*entry, bool) {
	if x, ok := shard.entries[s]; ok {
		return x, true
	}
	if s.name == Other {
		return shard.add(s), true
	}
	names := &r.names[s.dimension]
	if names.Add(1) <= maxNames[s.dimension] {
		return shard.add(s), true
	}
	names.Add(-1)
	if shard.evict(at, s.dimension) {
		return shard.add(s), true
	}
	return nil, false
}

func (s *recorderShard) add(key subject) *entry {
	if x, ok := s.entries[key]; ok {
		return x
	}
	if s.entries == nil {
		s.entries = make(map[subject]*entry)
	}
	x := &entry{}
	s.entries[key] = x
	return x
}

// evict removes a subject of a dimension that has had no events for three days.
func (s *recorderShard) evict(at slots, d Dimension) bool {
	for key, x := range s.entries {
		if key.dimension == d && key.name != Other && x.isExpired(at) {
			delete(s.entries, key)
			return true
		}
	}
	return false
}

// count adds the verdicts to the series of their levels.
func (x *entry) count(at slots, verdicts *[levelCount]verdict) {
	for l, v := range verdicts {
		if v == notCounted {
			continue
		}
		if x.levels[l] == nil {
			x.levels[l] = &counts{}
		}
		x.levels[l].add(at, v == bad)
	}
}

// time adds the event's times, where they count for a level.
func (x *entry) time(now time.Time, e *Event, verdicts *[levelCount]verdict) {
	if after, ok := e.FirstTokenAfter(); ok && verdicts[FirstToken] != notCounted {
		x.firstToken.add(now, after)
	}
	if gap, ok := e.MeanGap(); ok && verdicts[TokenGap] != notCounted {
		x.tokenGap.add(now, gap)
	}
}

func (x *entry) isExpired(at slots) bool {
	for _, c := range x.levels {
		if c != nil && !c.isExpired(at) {
			return false
		}
	}
	return true
}
