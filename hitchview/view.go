// Package hitchview keeps what one instance knows of the fleet: the
// configuration in force, the endpoints, the availability zones that operators
// have taken out, and the other instances.
//
// A View is immutable. All changes go through Update, which takes one message
// and returns the next view:
//
//	view = view.Update(hitchview.EndpointMsg{Revision: 7, Endpoint: endpoint})
//
// A Follower carries the messages from where they come from, the store or
// another instance.
package hitchview

import (
	"maps"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchroute"
)

// View is what an instance knows at a time. The zero value knows nothing.
type View struct {
	// Revision is the store's when the view was made.
	Revision int64
	// TableRevision is the store's revision of the configuration.
	TableRevision int64
	// Table is the configuration in force; nil before the first one is known.
	Table *hitchroute.Table

	endpoints map[hitchfleet.EndpointID]entry[hitchfleet.Endpoint]
	instances map[hitchfleet.InstanceID]entry[hitchfleet.Instance]
	zonesOut  map[hitchfleet.AvailabilityZone]int64
}

// entry is an entry of the store and the revision that wrote it.
type entry[T any] struct {
	value    T
	revision int64
	// lapsesAt is when the entry counts as gone, if it has vanished.
	lapsesAt time.Time
}

// Msg is a change of the fleet: one of the types below.
type Msg any

// TableMsg brings a configuration.
type TableMsg struct {
	Revision int64
	Table    *hitchroute.Table
}

// EndpointMsg brings an endpoint's entry.
type EndpointMsg struct {
	Revision int64
	Endpoint hitchfleet.Endpoint
}

// EndpointGoneMsg says that an endpoint's entry was removed.
type EndpointGoneMsg struct {
	Revision int64
	ID       hitchfleet.EndpointID
}

// ZoneOutMsg says that operators took a zone out.
type ZoneOutMsg struct {
	Revision int64
	Zone     hitchfleet.AvailabilityZone
}

// ZoneBackMsg says that operators took a zone back.
type ZoneBackMsg struct {
	Revision int64
	Zone     hitchfleet.AvailabilityZone
}

// InstanceMsg brings an instance that serves callers.
type InstanceMsg struct {
	Revision int64
	Instance hitchfleet.Instance
}

// InstanceGoneMsg says that an instance has left or that its lease ended.
type InstanceGoneMsg struct {
	Revision int64
	ID       hitchfleet.InstanceID
}

// Batch is messages in the order of their revisions.
type Batch struct {
	// Revision is the store's after the messages.
	Revision int64
	// IsSnapshot tells that the messages are all there is: what they don't name
	// doesn't exist.
	IsSnapshot bool
	// KeepLapsedUntil is until when entries that vanish are kept, as they may only
	// have lapsed in an outage of the store; the zero time if they are gone.
	KeepLapsedUntil time.Time
	Messages        []Msg
}

// Apply returns the view after a batch.
func (v View) Apply(b Batch) View {
	v = v.clone()
	if b.IsSnapshot {
		v = v.withoutMissing(b)
	}
	for _, msg := range b.Messages {
		v = v.update(msg, b.KeepLapsedUntil)
	}
	v.Revision = max(v.Revision, b.Revision)
	return v
}

// Update returns the view after one message. An older message than what is
// known changes nothing.
func (v View) Update(msg Msg) View { return v.clone().update(msg, time.Time{}) }

// clone returns a view whose maps are its own, so that a batch copies them once.
func (v View) clone() View {
	v.endpoints = cloneMap(v.endpoints)
	v.instances = cloneMap(v.instances)
	v.zonesOut = cloneMap(v.zonesOut)
	return v
}

// cloneMap returns a copy of a map that can be written.
func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}

// update changes a view whose maps are its own.
func (v View) update(msg Msg, keepUntil time.Time) View {
	switch m := msg.(type) {
	case TableMsg:
		if m.Revision > v.TableRevision {
			v.Table, v.TableRevision = m.Table, m.Revision
		}
	case EndpointMsg:
		put(v.endpoints, m.Endpoint.ID, v.newest(m.Endpoint), m.Revision)
	case EndpointGoneMsg:
		if v.endpoints[m.ID].value.Leaving {
			keepUntil = time.Time{}
		}
		remove(v.endpoints, m.ID, m.Revision, keepUntil)
	case InstanceMsg:
		put(v.instances, m.Instance.ID, m.Instance, m.Revision)
	case InstanceGoneMsg:
		remove(v.instances, m.ID, m.Revision, keepUntil)
	case ZoneOutMsg:
		v.zonesOut[m.Zone] = m.Revision
	case ZoneBackMsg:
		if m.Revision >= v.zonesOut[m.Zone] {
			delete(v.zonesOut, m.Zone)
		}
	}
	return v
}

// newest returns what an endpoint said last: what the message says, or what is
// known already.
func (v View) newest(e hitchfleet.Endpoint) hitchfleet.Endpoint {
	if known, ok := v.endpoints[e.ID]; ok && !e.Supersedes(known.value) {
		return known.value
	}
	return e
}

// put writes a newer value of an entry.
func put[K comparable, T any](m map[K]entry[T], k K, value T, revision int64) {
	if revision >= m[k].revision {
		m[k] = entry[T]{value: value, revision: revision}
	}
}

// remove removes an entry. With a grace it stays until then, unless it is written
// again.
func remove[K comparable, T any](m map[K]entry[T], k K, revision int64, lapsesAt time.Time) {
	e, ok := m[k]
	switch {
	case !ok || revision < e.revision:
	case lapsesAt.IsZero():
		delete(m, k)
	case e.lapsesAt.IsZero():
		e.revision, e.lapsesAt = revision, lapsesAt
		m[k] = e
	}
}

// withoutMissing removes what a snapshot doesn't name.
func (v View) withoutMissing(b Batch) View {
	named := make(map[any]bool, len(b.Messages))
	for _, msg := range b.Messages {
		switch m := msg.(type) {
		case EndpointMsg:
			named[m.Endpoint.ID] = true
		case InstanceMsg:
			named[m.Instance.ID] = true
		case ZoneOutMsg:
			named[m.Zone] = true
		}
	}
	for id := range v.endpoints {
		if !named[id] {
			v = v.update(EndpointGoneMsg{Revision: b.Revision, ID: id}, b.KeepLapsedUntil)
		}
	}
	for id := range v.instances {
		if !named[id] {
			v = v.update(InstanceGoneMsg{Revision: b.Revision, ID: id}, b.KeepLapsedUntil)
		}
	}
	for zone := range v.zonesOut {
		if !named[zone] {
			v = v.update(ZoneBackMsg{Revision: b.Revision, Zone: zone}, time.Time{})
		}
	}
	return v
}

// messages returns all that the view knows. The configuration comes first, if it
// is newer than the given revision.
func (v View) messages(knownTable int64) []Msg {
	var out []Msg
	if v.Table != nil && v.TableRevision > knownTable {
		out = append(out, TableMsg{Revision: v.TableRevision, Table: v.Table})
	}
	for _, e := range v.endpoints {
		out = append(out, EndpointMsg{Revision: e.revision, Endpoint: e.value})
	}
	for _, e := range v.instances {
		out = append(out, InstanceMsg{Revision: e.revision, Instance: e.value})
	}
	for zone, revision := range v.zonesOut {
		out = append(out, ZoneOutMsg{Revision: revision, Zone: zone})
	}
	return out
}

// Expire returns the view without the entries whose grace is over.
func (v View) Expire(now time.Time) View {
	v = v.clone()
	expire(v.endpoints, now)
	expire(v.instances, now)
	return v
}

func expire[K comparable, T any](m map[K]entry[T], now time.Time) {
	maps.DeleteFunc(m, func(_ K, e entry[T]) bool { return !e.lapsesAt.IsZero() && !now.Before(e.lapsesAt) })
}

// NextLapse returns when Expire has something to do, or the zero time.
func (v View) NextLapse() time.Time {
	return earlier(nextLapse(v.endpoints), nextLapse(v.instances))
}

func nextLapse[K comparable, T any](m map[K]entry[T]) (next time.Time) {
	for _, e := range m {
		next = earlier(next, e.lapsesAt)
	}
	return next
}

// earlier returns the earlier of two times; the zero time stands for never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// Endpoints returns the endpoints that may get new work.
func (v View) Endpoints() []hitchfleet.Endpoint {
	out := make([]hitchfleet.Endpoint, 0, len(v.endpoints))
	for _, e := range v.endpoints {
		if _, isOut := v.zonesOut[e.value.Zone]; !isOut && !e.value.Leaving {
			out = append(out, e.value)
		}
	}
	return out
}

// InZonesOut returns the endpoints that get no new work as operators took their
// zones out.
func (v View) InZonesOut() []hitchfleet.Endpoint {
	var out []hitchfleet.Endpoint
	for _, e := range v.endpoints {
		if _, isOut := v.zonesOut[e.value.Zone]; isOut && !e.value.Leaving {
			out = append(out, e.value)
		}
	}
	return out
}

// ZonesOut returns the number of zones that operators have taken out.
func (v View) ZonesOut() int { return len(v.zonesOut) }

// Leaving returns the endpoints that finish their work and get no more.
func (v View) Leaving() []hitchfleet.Endpoint {
	var out []hitchfleet.Endpoint
	for _, e := range v.endpoints {
		if e.value.Leaving {
			out = append(out, e.value)
		}
	}
	return out
}

// Instances returns the instances that serve callers.
func (v View) Instances() []hitchfleet.Instance {
	out := make([]hitchfleet.Instance, 0, len(v.instances))
	for _, e := range v.instances {
		if !e.value.Leaving {
			out = append(out, e.value)
		}
	}
	return out
}
