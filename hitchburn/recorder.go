package hitchburn

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Dimension is an attribute of events by which series are grouped.
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
	*d, err = parseName[Dimension](dimensionNames[:], text)
	return err
}

// Other is the name under which events are counted once a dimension has its maximum
// number of names.
const Other = "Other"

// Maximum number of names of each dimension that have their own series.
const (
	MaxRoutes        = 64
	MaxOrganisations = 512
	MaxZones         = 32
)

var maxNames = [dimensionCount]int64{MaxRoutes, MaxOrganisations, MaxZones}

// entryKey identifies an entry by its dimension and name.
type entryKey struct {
	dimension Dimension
	name      string
}

// entry holds the series of one name of a dimension. Levels without events are nil.
type entry struct {
	levels     [levelCount]*seriesCounts
	firstToken latencyHistogram
	tokenGap   latencyHistogram
}

// recorderShards is the number of shards of a Recorder, each with its own lock.
const recorderShards = 32

type recorderShard struct {
	mu      sync.Mutex
	entries map[entryKey]*entry
}

// Recorder counts events by service level for each route, organisation and
// availability zone. The maximum number of names per dimension bounds its memory:
// further names are counted as Other until a name without events for three days can
// be evicted. The zero value is empty. Its methods are safe for concurrent use.
type Recorder struct {
	shards [recorderShards]recorderShard
	names  [dimensionCount]atomic.Int64
}

// Record counts one event that ended now. It allocates memory only for a new name
// or level. An event without a name in a dimension isn't counted in that dimension.
func (r *Recorder) Record(now time.Time, e Event) {
	at := bucketIndexesAt(now)
	var verdicts [levelCount]verdict
	for l := range verdicts {
		verdicts[l] = e.verdictFor(Level(l))
	}
	r.recordFor(now, at, entryKey{ByRoute, string(e.Route)}, &verdicts, &e)
	r.recordFor(now, at, entryKey{ByOrganisation, string(e.Organisation)}, &verdicts, nil)
	r.recordFor(now, at, entryKey{ByZone, string(e.Zone)}, &verdicts, nil)
}

// recordFor counts an event in one entry. If e isn't nil, its latencies are recorded
// too.
func (r *Recorder) recordFor(now time.Time, at bucketIndexes, key entryKey, verdicts *[levelCount]verdict, e *Event) {
	if key.name == "" {
		return
	}
	shard := r.shard(key)
	shard.mu.Lock()
	found, ok := r.findOrAddEntry(shard, at, key)
	if !ok {
		shard.mu.Unlock()
		key.name = Other
		shard = r.shard(key)
		shard.mu.Lock()
		found = shard.findOrAdd(key)
	}
	defer shard.mu.Unlock()
	found.addVerdicts(at, verdicts)
	if e != nil {
		found.addLatencies(now, e, verdicts)
	}
}

func (r *Recorder) shard(key entryKey) *recorderShard {
	return &r.shards[(xxhash.Sum64String(key.name)+uint64(key.dimension))%recorderShards]
}

// findOrAddEntry returns the entry of a key. It returns false if the key is new and
// the dimension has its maximum number of names, none of which can be evicted from
// the shard.
func (r *Recorder) findOrAddEntry(shard *recorderShard, at bucketIndexes, key entryKey) (*entry, bool) {
	if x, ok := shard.entries[key]; ok {
		return x, true
	}
	if key.name == Other {
		return shard.findOrAdd(key), true
	}
	names := &r.names[key.dimension]
	if names.Add(1) <= maxNames[key.dimension] {
		return shard.findOrAdd(key), true
	}
	names.Add(-1)
	if shard.evictExpired(at, key.dimension) {
		return shard.findOrAdd(key), true
	}
	return nil, false
}

func (s *recorderShard) findOrAdd(key entryKey) *entry {
	if x, ok := s.entries[key]; ok {
		return x
	}
	if s.entries == nil {
		s.entries = make(map[entryKey]*entry)
	}
	en := &entry{}
	s.entries[key] = en
	return en
}

// evictExpired removes one entry of a dimension that had no events for three days.
func (s *recorderShard) evictExpired(at bucketIndexes, d Dimension) bool {
	for key, en := range s.entries {
		if key.dimension == d && key.name != Other && en.isExpired(at) {
			delete(s.entries, key)
			return true
		}
	}
	return false
}

// addVerdicts counts the verdicts in the series of their levels.
func (en *entry) addVerdicts(at bucketIndexes, verdicts *[levelCount]verdict) {
	for l, v := range verdicts {
		if v == notCounted {
			continue
		}
		if en.levels[l] == nil {
			en.levels[l] = &seriesCounts{}
		}
		en.levels[l].add(at, v == bad)
	}
}

// addLatencies records the event's latencies if the event is counted for their level.
func (en *entry) addLatencies(now time.Time, e *Event, verdicts *[levelCount]verdict) {
	if after, ok := e.TimeToFirstToken(); ok && verdicts[FirstToken] != notCounted {
		en.firstToken.add(now, after)
	}
	if gap, ok := e.MeanTokenGap(); ok && verdicts[TokenGap] != notCounted {
		en.tokenGap.add(now, gap)
	}
}

func (en *entry) isExpired(at bucketIndexes) bool {
	for _, c := range en.levels {
		if c != nil && !c.isExpired(at) {
			return false
		}
	}
	return true
}
