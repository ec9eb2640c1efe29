// Package hitchrecent holds what was added last, within limits of time and number.
//
//	var m hitchrecent.Map[string, int]
//	m.Add(now, hitchrecent.Limits{Seconds: 60, Size: 1000}, "a", 1)
//	value, ok := m.Get("a")
package hitchrecent

import "time"

// Limits limits what a Map holds: each entry is kept for one to two times Seconds, and at most
// twice Size of them.
type Limits struct {
	Seconds int
	Size    int
}

// endOf returns the end of a generation that begins at a time.
func (l Limits) endOf(from time.Time) time.Time {
	return from.Add(time.Duration(l.Seconds) * time.Second)
}

// Map holds its newest entries in two generations. The zero value is empty. All calls have the
// same limits.
type Map[K comparable, V any] struct {
	current, previous map[K]V
	// endsAt is when the current generation becomes the previous one.
	endsAt time.Time
}

// Add adds an entry, or replaces that of the same key.
func (m *Map[K, V]) Add(now time.Time, l Limits, key K, value V) {
	m.Expire(now, l)
	if len(m.current) >= l.Size {
		m.previous, m.current = m.current, nil
	}
	if m.current == nil {
		m.current, m.endsAt = make(map[K]V), l.endOf(now)
	}
	m.current[key] = value
}

// Get returns the value of a key.
func (m *Map[K, V]) Get(key K) (value V, ok bool) {
	if value, ok = m.current[key]; ok {
		return value, true
	}
	value, ok = m.previous[key]
	return value, ok
}

// Each calls f with each value.
func (m *Map[K, V]) Each(f func(V)) {
	for _, value := range m.previous {
		f(value)
	}
	for _, value := range m.current {
		f(value)
	}
}

// Len returns the number of entries, of which a key may have two.
func (m *Map[K, V]) Len() int { return len(m.current) + len(m.previous) }

// Expire starts a new generation if the current one is over, as Add does.
func (m *Map[K, V]) Expire(now time.Time, l Limits) {
	switch {
	case m.current == nil || now.Before(m.endsAt):
	case now.Before(l.endOf(m.endsAt)):
		m.previous, m.current = m.current, nil
	default:
		m.previous, m.current = nil, nil
	}
}
