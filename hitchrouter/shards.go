package hitchrouter

import "sync"

// shardCount is the number of locks that a shards is spread over.
const shardCount = 16

// shards is a map spread over several locks. The zero value is empty.
type shards[V any] struct {
	all [shardCount]struct {
		mu sync.Mutex
		m  map[uint64]V
	}
}

// put sets the value of a key.
func (s *shards[V]) put(key uint64, v V) {
	shard := &s.all[key%shardCount]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.m == nil {
		shard.m = make(map[uint64]V)
	}
	shard.m[key] = v
}

// take removes a key and returns its value.
func (s *shards[V]) take(key uint64) (v V, ok bool) {
	shard := &s.all[key%shardCount]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	v, ok = shard.m[key]
	delete(shard.m, key)
	return v, ok
}
