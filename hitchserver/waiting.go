package hitchserver

import (
	"container/list"
	"time"
)

// servedGrace is how much longer than others a connection may wait for its next request that has carried one.
const servedGrace = 5 * time.Second

// waitingConns holds the connections without a whole request in the order in which they began to wait. The zero value
// has none.
type waitingConns struct {
	// unserved haven't carried a request, or have sent a part of their next one.
	unserved, served list.List
}

// place is where a connection waits.
type place struct {
	list    *list.List
	element *list.Element
	since   time.Time
}

// add adds a connection that waits from now on. If it waited before, its place is the last one all the same.
func (w *waitingConns) add(c *conn, isServed bool, now time.Time) {
	w.remove(c)
	c.place.list, c.place.since = &w.unserved, now
	if isServed {
		c.place.list, c.place.since = &w.served, now.Add(servedGrace)
	}
	c.place.element = c.place.list.PushBack(c)
}

// remove removes a connection, and reports whether it waited.
func (w *waitingConns) remove(c *conn) bool {
	if c.place.element == nil {
		return false
	}
	c.place.list.Remove(c.place.element)
	c.place = place{}
	return true
}

// first returns the connection that has waited longest, or nil.
func (w *waitingConns) first() *conn {
	unserved, served := frontOf(&w.unserved), frontOf(&w.served)
	if unserved == nil || served != nil && served.place.since.Before(unserved.place.since) {
		return served
	}
	return unserved
}

func frontOf(l *list.List) *conn {
	if l.Front() == nil {
		return nil
	}
	return l.Front().Value.(*conn)
}
