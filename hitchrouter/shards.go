package hitchrouter

import "sync"

// shardCount is the number of shards in a shardedMap.
const shardCount = 16

// shardedMap is a map that is split into shards with a lock each, to reduce
// contention. The zero value is empty.
type shardedMap[V any] struct {
	shards [shardCount]struct {
		mu sync.Mutex
		m  map[uint64]V
	}
}

// put sets the value of a key.
func (s *shardedMap[V]) put(key uint64, v V) {
	shard := &s.shards[key%shardCount]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.m == nil {
		shard.m = make(map[uint64]V)
	}
	shard.m[key] = v
}

// take removes a key and returns its value.
func (s *shardedMap[V]) take(key uint64) (v V, ok bool) {
	shard := &s.shards[key%shardCount]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	v, ok = shard.m[key]
	delete(shard.m, key)
	return v, ok
}
