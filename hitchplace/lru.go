package hitchplace

// nilIndex marks the end of a list of nodes.
const nilIndex = -1

// lru is a map that keeps the most recently used entries. Its nodes are stored in
// one slice and linked by index, so that the garbage collector has no list
// pointers to follow. The zero value is an empty map.
type lru[K comparable, V any] struct {
	index map[K]int32
	nodes []node[K, V]
	// newest and oldest are the ends of the list of entries. free is the head of
	// the list of unused nodes, which are linked by older.
	newest, oldest, free int32
}

type node[K comparable, V any] struct {
	key          K
	value        V
	newer, older int32
}

func (l *lru[K, V]) len() int { return len(l.index) }

// get returns the value of a key and marks it as the most recently used.
func (l *lru[K, V]) get(key K) (value V, ok bool) {
	i, ok := l.index[key]
	if !ok {
		return value, false
	}
	l.unlink(i)
	l.pushNewest(i)
	return l.nodes[i].value, true
}

// put stores a value as the most recently used. To keep at most limit entries, it
// evicts the least recently used ones.
func (l *lru[K, V]) put(limit int, key K, value V) {
	if l.index == nil {
		l.index = make(map[K]int32)
		l.newest, l.oldest, l.free = nilIndex, nilIndex, nilIndex
	}
	if i, ok := l.index[key]; ok {
		l.nodes[i].value = value
		l.unlink(i)
		l.pushNewest(i)
		return
	}
	for len(l.index) >= limit {
		l.remove(l.nodes[l.oldest].key)
	}
	i := l.alloc()
	l.nodes[i].key, l.nodes[i].value = key, value
	l.index[key] = i
	l.pushNewest(i)
}

func (l *lru[K, V]) remove(key K) {
	i, ok := l.index[key]
	if !ok {
		return
	}
	delete(l.index, key)
	l.unlink(i)
	l.nodes[i] = node[K, V]{older: l.free}
	l.free = i
}

// each calls f for each entry, the most recently used first, until f returns
// false.
func (l *lru[K, V]) each(f func(K, V) bool) {
	if l.index == nil {
		return
	}
	for i := l.newest; i != nilIndex; i = l.nodes[i].older {
		if !f(l.nodes[i].key, l.nodes[i].value) {
			return
		}
	}
}

func (l *lru[K, V]) alloc() int32 {
	if i := l.free; i != nilIndex {
		l.free = l.nodes[i].older
		return i
	}
	l.nodes = append(l.nodes, node[K, V]{})
	return int32(len(l.nodes) - 1)
}

func (l *lru[K, V]) unlink(i int32) {
	n := &l.nodes[i]
	if n.newer == nilIndex {
		l.newest = n.older
	} else {
		l.nodes[n.newer].older = n.older
	}
	if n.older == nilIndex {
		l.oldest = n.newer
	} else {
		l.nodes[n.older].newer = n.newer
	}
}

func (l *lru[K, V]) pushNewest(i int32) {
	n := &l.nodes[i]
	n.newer, n.older = nilIndex, l.newest
	if l.newest == nilIndex {
		l.oldest = i
	} else {
		l.nodes[l.newest].newer = i
	}
	l.newest = i
}
