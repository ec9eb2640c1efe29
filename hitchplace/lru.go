package hitchplace

// none marks the end of a list of nodes.
const none = -1

// lru is a map that keeps the most recently used entries. Its nodes stand in one
// slice and are linked by index, so that the garbage collector has no pointers of
// the list to follow. The zero value is empty.
type lru[K comparable, V any] struct {
	index map[K]int32
	nodes []node[K, V]
	// newest and oldest are the ends of the list, free the list of unused nodes,
	// linked by older.
	newest, oldest, free int32
}

type node[K comparable, V any] struct {
	key          K
	value        V
	newer, older int32
}

func (l *lru[K, V]) len() int { return len(l.index) }

// get returns a value and makes it the most recently used.
func (l *lru[K, V]) get(key K) (value V, ok bool) {
	i, ok := l.index[key]
	if !ok {
		return value, false
	}
	l.unlink(i)
	l.pushNewest(i)
	return l.nodes[i].value, true
}

// put stores a value and drops the least recently used one beyond limit.
func (l *lru[K, V]) put(limit int, key K, value V) {
	if l.index == nil {
		l.index = make(map[K]int32)
		l.newest, l.oldest, l.free = none, none, none
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

// each calls f from the most recently used entry on until it returns false.
func (l *lru[K, V]) each(f func(K, V) bool) {
	if l.index == nil {
		return
	}
	for i := l.newest; i != none; i = l.nodes[i].older {
		if !f(l.nodes[i].key, l.nodes[i].value) {
			return
		}
	}
}

func (l *lru[K, V]) alloc() int32 {
	if i := l.free; i != none {
		l.free = l.nodes[i].older
		return i
	}
	l.nodes = append(l.nodes, node[K, V]{})
	return int32(len(l.nodes) - 1)
}

func (l *lru[K, V]) unlink(i int32) {
	n := &l.nodes[i]
	if n.newer == none {
		l.newest = n.older
	} else {
		l.nodes[n.newer].older = n.older
	}
	if n.older == none {
		l.oldest = n.newer
	} else {
		l.nodes[n.older].newer = n.newer
	}
}

func (l *lru[K, V]) pushNewest(i int32) {
	n := &l.nodes[i]
	n.newer, n.older = none, l.newest
	if l.newest == none {
		l.oldest = i
	} else {
		l.nodes[l.newest].newer = i
	}
	l.newest = i
}
