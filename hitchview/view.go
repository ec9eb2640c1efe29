// Package hitchview maintains an instance's view of the fleet: the current
// configuration, the endpoints, the availability zones that operators have taken
// out of service, and the other instances.
//
// A View is immutable. Update applies one message and returns the next view:
//
//	view = view.Update(hitchview.EndpointMsg{Revision: 7, Endpoint: endpoint})
//
// A Follower reads the messages from the store or from another instance.
package hitchview

import (
	"maps"
	"time"

	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchroute"
)

// View is the state of the fleet that an instance knows. The zero value is empty.
type View struct {
	// Revision is the store revision of the view.
	Revision hitchfleet.Revision
	// TableRevision is the store revision that wrote the configuration.
	TableRevision hitchfleet.Revision
	// Table is the current configuration, or nil before the first one is read.
	Table *hitchroute.Table

	endpoints map[hitchfleet.EndpointID]entry[hitchfleet.Endpoint]
	instances map[hitchfleet.InstanceID]entry[hitchfleet.Instance]
	zonesOut  map[hitchfleet.AvailabilityZone]entry[struct{}]
	// rolloutOrders and rolloutRecords are those of rollouts, by service.
	rolloutOrders  map[hitchfleet.ServiceID]entry[RolloutOrder]
	rolloutRecords map[hitchfleet.ServiceID]entry[rolloutRecord]
	// removedEndpoints and removedInstances are the entries that were removed last, the
	// newest at the end. A store that comes back from an older copy lists them again.
	removedEndpoints []entry[hitchfleet.Endpoint]
	removedInstances []entry[hitchfleet.Instance]
}

// entry is an entry of the store and the revision that last changed it.
type entry[T any] struct {
	value    T
	revision hitchfleet.Revision
	// expiresAt is set if the store has removed the entry and a grace period
	// applies. The view keeps the entry until then.
	expiresAt time.Time
}

// Msg is a change of the fleet, one of the Msg types of this package.
type Msg any

// TableMsg sets the configuration.
type TableMsg struct {
	Revision hitchfleet.Revision
	Table    *hitchroute.Table
}

// EndpointMsg adds or updates an endpoint.
type EndpointMsg struct {
	Revision hitchfleet.Revision
	Endpoint hitchfleet.Endpoint
}

// EndpointRemovedMsg removes an endpoint.
type EndpointRemovedMsg struct {
	Revision hitchfleet.Revision
	ID       hitchfleet.EndpointID
}

// ZoneTakenOutMsg means that operators took an availability zone out of service.
type ZoneTakenOutMsg struct {
	Revision hitchfleet.Revision
	Zone     hitchfleet.AvailabilityZone
}

// ZoneReturnedMsg means that operators returned an availability zone to service.
type ZoneReturnedMsg struct {
	Revision hitchfleet.Revision
	Zone     hitchfleet.AvailabilityZone
	// IsLost is set if nobody returned the zone, but a store that came back from an older
	// copy doesn't list it. The grace period of the batch then applies.
	IsLost bool
}

// InstanceMsg adds or updates an instance.
type InstanceMsg struct {
	Revision hitchfleet.Revision
	Instance hitchfleet.Instance
}

// InstanceRemovedMsg removes an instance that shut down or whose lease expired.
type InstanceRemovedMsg struct {
	Revision hitchfleet.Revision
	ID       hitchfleet.InstanceID
}

// Batch is a list of messages, ordered by revision.
type Batch struct {
	// Revision is the store revision after the messages.
	Revision hitchfleet.Revision
	// IsSnapshot is set if the messages list every entry. Entries that they don't
	// list no longer exist.
	IsSnapshot bool
	// KeepExpiredUntil is until when to keep removed entries, because they may
	// only have expired during an outage of the store. The zero time removes them
	// immediately.
	KeepExpiredUntil time.Time
	Messages         []Msg
}

// Apply returns the view after a batch. A view never goes back: what a batch tells of a time before the
// view's revision has no effect.
func (v View) Apply(b Batch) View {
	b, ok := v.unseen(b)
	if !ok {
		return v
	}
	v = v.clone()
	if b.IsSnapshot {
		v = v.withoutUnlisted(b)
	}
	for _, msg := range b.Messages {
		v = v.update(msg, b.KeepExpiredUntil)
	}
	v.Revision = max(v.Revision, b.Revision)
	return v
}

// unseen returns the part of a batch that the view may lack, and false if there is none. A batch may be older than
// the view, if it was held up on its way while the view went on by another one: it would bring back
// what was removed meanwhile.
func (v View) unseen(b Batch) (part Batch, ok bool) {
	switch {
	case b.Revision.Era() < v.Revision.Era(): // the store has come back from an older copy since
		return Batch{}, false
	case b.Revision.Era() > v.Revision.Era():
		return b, true
	case b.IsSnapshot:
		return b, b.Revision >= v.Revision
	}
	b.Messages = lo.Filter(b.Messages, func(msg Msg, _ int) bool {
		_, isTable := msg.(TableMsg) // an instance may follow others without the newest configuration
		return isTable || revisionOf(msg) > v.Revision
	})
	return b, true
}

// Update returns the view after one message. A message that is older than the
// entry's state in the view has no effect.
func (v View) Update(msg Msg) View { return v.clone().update(msg, time.Time{}) }

// clone returns a view with its own maps, so that a batch copies them only once.
func (v View) clone() View {
	v.endpoints = cloneMap(v.endpoints)
	v.instances = cloneMap(v.instances)
	v.zonesOut = cloneMap(v.zonesOut)
	v.rolloutOrders = cloneMap(v.rolloutOrders)
	v.rolloutRecords = cloneMap(v.rolloutRecords)
	return v
}

// cloneMap returns a writable copy of a map, which may be nil.
func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}

// update applies a message. It modifies the maps of v, which must be a clone.
func (v View) update(msg Msg, keepUntil time.Time) View {
	switch m := msg.(type) {
	case TableMsg:
		if v.acceptsTable(m) {
			v.Table, v.TableRevision = m.Table, m.Revision
		}
	case EndpointMsg:
		if !v.isRemovedBefore(m) {
			putIfNewer(v.endpoints, m.Endpoint.ID, v.newestState(m.Endpoint), m.Revision)
		}
	case EndpointRemovedMsg:
		if v.endpoints[m.ID].value.Leaving {
			keepUntil = time.Time{}
		}
		if old, ok := removeIfNewer(v.endpoints, m.ID, m.Revision, keepUntil); ok {
			v.removedEndpoints = appendRemoved(v.removedEndpoints, old)
		}
	case InstanceMsg:
		if v.isRevived(m) {
			m.Instance.Leaving = true
		}
		putIfNewer(v.instances, m.Instance.ID, m.Instance, m.Revision)
	case InstanceRemovedMsg:
		if old, ok := removeIfNewer(v.instances, m.ID, m.Revision, keepUntil); ok {
			v.removedInstances = appendRemoved(v.removedInstances, old)
		}
	case ZoneTakenOutMsg:
		putIfNewer(v.zonesOut, m.Zone, struct{}{}, m.Revision)
	case ZoneReturnedMsg:
		if !m.IsLost {
			keepUntil = time.Time{}
		}
		removeIfNewer(v.zonesOut, m.Zone, m.Revision, keepUntil)
	default:
		v.updateRollout(msg, keepUntil)
	}
	return v
}

// newestState returns the newer of an endpoint's state in a message and its state
// in the view.
func (v View) newestState(e hitchfleet.Endpoint) hitchfleet.Endpoint {
	if known, ok := v.endpoints[e.ID]; ok && !e.Supersedes(known.value) {
		return known.value
	}
	return e
}

// putIfNewer sets an entry unless the map has a newer revision of it.
func putIfNewer[K comparable, T any](m map[K]entry[T], k K, value T, revision hitchfleet.Revision) {
	if revision >= m[k].revision {
		m[k] = entry[T]{value: value, revision: revision}
	}
}

// removeIfNewer removes an entry unless the map has a newer revision of it, and returns
// it. If expiresAt is set, the entry stays until then, unless it is written again,
// and ok is false.
func removeIfNewer[K comparable, T any](m map[K]entry[T], k K, revision hitchfleet.Revision, expiresAt time.Time) (old entry[T], ok bool) {
	e, isKnown := m[k]
	switch {
	case !isKnown || revision < e.revision:
	case expiresAt.IsZero():
		delete(m, k)
		return e, true
	case e.expiresAt.IsZero():
		e.revision, e.expiresAt = revision, expiresAt
		m[k] = e
	}
	return old, false
}

// withoutUnlisted removes the entries that a snapshot doesn't list.
func (v View) withoutUnlisted(b Batch) View {
	listed := make(map[any]bool, len(b.Messages))
	for _, msg := range b.Messages {
		switch m := msg.(type) {
		case EndpointMsg:
			listed[m.Endpoint.ID] = true
		case InstanceMsg:
			listed[m.Instance.ID] = true
		case ZoneTakenOutMsg:
			listed[m.Zone] = true
		case RolloutOrderMsg, RolloutRecordMsg:
			listed[entryKey(m)] = true
		}
	}
	for id := range v.endpoints {
		if !listed[id] {
			v = v.update(EndpointRemovedMsg{Revision: b.Revision, ID: id}, b.KeepExpiredUntil)
		}
	}
	for id := range v.instances {
		if !listed[id] {
			v = v.update(InstanceRemovedMsg{Revision: b.Revision, ID: id}, b.KeepExpiredUntil)
		}
	}
	for zone := range v.zonesOut {
		if !listed[zone] {
			v = v.update(ZoneReturnedMsg{Revision: b.Revision, Zone: zone, IsLost: b.Revision.Era() > v.Revision.Era()}, b.KeepExpiredUntil)
		}
	}
	v.removeUnlistedRollouts(b, listed)
	return v
}

// messages returns messages that describe the whole view. The configuration comes
// first and is left out if it isn't newer than knownTableRevision. An entry in its
// grace period is followed by its removal.
func (v View) messages(knownTableRevision hitchfleet.Revision) []Msg {
	out := v.tableMessages(knownTableRevision)
	for _, e := range v.endpoints {
		out = append(out, EndpointMsg{Revision: e.revision, Endpoint: e.value})
		if !e.expiresAt.IsZero() {
			out = append(out, EndpointRemovedMsg{Revision: e.revision, ID: e.value.ID})
		}
	}
	for _, e := range v.instances {
		out = append(out, InstanceMsg{Revision: e.revision, Instance: e.value})
		if !e.expiresAt.IsZero() {
			out = append(out, InstanceRemovedMsg{Revision: e.revision, ID: e.value.ID})
		}
	}
	for zone, e := range v.zonesOut {
		out = append(out, ZoneTakenOutMsg{Revision: e.revision, Zone: zone})
		if !e.expiresAt.IsZero() {
			out = append(out, ZoneReturnedMsg{Revision: e.revision, Zone: zone, IsLost: true})
		}
	}
	return append(out, v.rolloutMessages()...)
}

// tableMessages returns the message that sets the view's configuration, if it is newer than
// knownTableRevision.
func (v View) tableMessages(knownTableRevision hitchfleet.Revision) []Msg {
	if v.Table == nil || v.TableRevision <= knownTableRevision {
		return nil
	}
	return []Msg{TableMsg{Revision: v.TableRevision, Table: v.Table}}
}

// Expire returns the view without the entries whose grace period has ended.
func (v View) Expire(now time.Time) View {
	v = v.clone()
	expire(v.endpoints, now)
	expire(v.instances, now)
	expire(v.zonesOut, now)
	expire(v.rolloutOrders, now)
	return v
}

func expire[K comparable, T any](m map[K]entry[T], now time.Time) {
	maps.DeleteFunc(m, func(_ K, e entry[T]) bool { return !e.expiresAt.IsZero() && !now.Before(e.expiresAt) })
}

// NextExpiry returns when the next grace period ends, or the zero time if there
// is none.
func (v View) NextExpiry() time.Time {
	return earlier(earlier(nextExpiry(v.endpoints), nextExpiry(v.instances)), earlier(nextExpiry(v.zonesOut), nextExpiry(v.rolloutOrders)))
}

func nextExpiry[K comparable, T any](m map[K]entry[T]) (next time.Time) {
	for _, e := range m {
		next = earlier(next, e.expiresAt)
	}
	return next
}

// earlier returns the earlier of two times. The zero time means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// Endpoints returns the endpoints that may get new requests.
func (v View) Endpoints() []hitchfleet.Endpoint {
	out := make([]hitchfleet.Endpoint, 0, len(v.endpoints))
	for _, e := range v.endpoints {
		if _, isTakenOut := v.zonesOut[e.value.Zone]; !isTakenOut && !e.value.Leaving {
			out = append(out, e.value)
		}
	}
	return out
}

// Endpoint returns an endpoint, whether it gets new requests or not, and false if the view
// doesn't list it.
func (v View) Endpoint(id hitchfleet.EndpointID) (hitchfleet.Endpoint, bool) {
	e, ok := v.endpoints[id]
	return e.value, ok
}

// AllEndpoints returns all endpoints, whether they get new requests or not.
func (v View) AllEndpoints() []hitchfleet.Endpoint {
	out := make([]hitchfleet.Endpoint, 0, len(v.endpoints))
	for _, e := range v.endpoints {
		out = append(out, e.value)
	}
	return out
}

// EndpointsInZonesOut returns the endpoints that get no new requests because
// operators took their availability zones out of service.
func (v View) EndpointsInZonesOut() []hitchfleet.Endpoint {
	var out []hitchfleet.Endpoint
	for _, e := range v.endpoints {
		if _, isTakenOut := v.zonesOut[e.value.Zone]; isTakenOut && !e.value.Leaving {
			out = append(out, e.value)
		}
	}
	return out
}

// ZonesOutCount returns the number of availability zones that operators have
// taken out of service.
func (v View) ZonesOutCount() int { return len(v.zonesOut) }

// LeavingEndpoints returns the endpoints that finish their current requests and
// get no new ones.
func (v View) LeavingEndpoints() []hitchfleet.Endpoint {
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

// RegisteredInstance returns an instance's entry in the store and the revision that wrote
// it, and false if the store has none. An entry that the store has removed doesn't count
// during its grace period.
func (v View) RegisteredInstance(id hitchfleet.InstanceID) (i hitchfleet.Instance, revision hitchfleet.Revision, ok bool) {
	e, ok := v.instances[id]
	return e.value, e.revision, ok && e.expiresAt.IsZero()
}
