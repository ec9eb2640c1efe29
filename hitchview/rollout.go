package hitchview

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchrollout"
)

// RolloutOrderMsg means that operators ordered the rollout of a version of a service.
type RolloutOrderMsg struct {
	Revision hitchfleet.Revision
	Order    RolloutOrder
}

// RolloutOrder is an operator's order to move a service to a version within a time.
type RolloutOrder struct {
	Service              hitchfleet.ServiceID
	Version              string
	DurationMilliseconds int64
}

// RolloutOrderRemovedMsg means that operators removed an order.
type RolloutOrderRemovedMsg struct {
	Revision hitchfleet.Revision
	Service  hitchfleet.ServiceID
	// IsLost is set if nobody removed the order, but a store that came back from an older
	// copy doesn't list it. The grace period of the batch then applies.
	IsLost bool `json:",omitempty"`
}

// RolloutRecordMsg sets the fleet's record of a rollout.
type RolloutRecordMsg struct {
	Revision hitchfleet.Revision
	Record   hitchrollout.Record
	// IsReleased is set once no endpoint of a version is listed any more that the end of the
	// rollout excludes. Such a version may be released again without an order.
	IsReleased bool `json:",omitempty"`
	// IsUnwritten is set if the store doesn't hold this record, as it came back from an older
	// copy. StoredRevision is then the last change of the record that it holds, or 0.
	IsUnwritten    bool                `json:",omitempty"`
	StoredRevision hitchfleet.Revision `json:",omitempty"`
}

// RolloutRecordRemovedMsg removes a record. IsLost is as in RolloutOrderRemovedMsg.
type RolloutRecordRemovedMsg struct {
	Revision hitchfleet.Revision
	Service  hitchfleet.ServiceID
	IsLost   bool `json:",omitempty"`
}

// Rollout is what a view knows of the rollout of a version of a service.
type Rollout struct {
	// Order is the operator's order, and OrderRevision its last change; HasOrder is false if
	// there is none.
	Order         RolloutOrder
	OrderRevision hitchfleet.Revision
	HasOrder      bool
	// OrderID identifies the order. It is the revision that the record names, also if the store
	// has come back from an older copy since and lists the same order in another era.
	OrderID hitchfleet.Revision
	// Record is the fleet's record; HasRecord is false if there is none.
	Record    hitchrollout.Record
	HasRecord bool
	// RecordRevision is the last change of the record in the store; 0 if it holds none.
	RecordRevision hitchfleet.Revision
	// IsUnwritten is set if the store lacks the record and it has to be written again.
	IsUnwritten bool
	// IsReleased is as in RolloutRecordMsg.
	IsReleased bool
}

// rolloutRecord is a record with the last change of what the store holds in its place.
type rolloutRecord struct {
	hitchrollout.Record
	isUnwritten    bool
	isReleased     bool
	storedRevision hitchfleet.Revision
}

// rolloutOrderKey and rolloutRecordKey identify entries by their service.
type (
	rolloutOrderKey  hitchfleet.ServiceID
	rolloutRecordKey hitchfleet.ServiceID
)

// Rollouts returns the rollouts with an order or a record, by service; nil if there is none.
func (v View) Rollouts() map[hitchfleet.ServiceID]Rollout {
	if len(v.rolloutOrders)+len(v.rolloutRecords) == 0 {
		return nil
	}
	out := make(map[hitchfleet.ServiceID]Rollout)
	for service, e := range v.rolloutOrders {
		out[service] = Rollout{Order: e.value, OrderRevision: e.revision, HasOrder: true, OrderID: e.revision}
	}
	for service, e := range v.rolloutRecords {
		r := out[service]
		r.Record, r.HasRecord = e.value.Record, true
		r.RecordRevision, r.IsUnwritten, r.IsReleased = e.value.storedRevision, e.value.isUnwritten, e.value.isReleased
		if r.HasOrder && r.Record.Version == r.Order.Version && r.Record.OrderRevision.Number() == r.OrderRevision.Number() {
			r.OrderID = r.Record.OrderRevision
		}
		out[service] = r
	}
	return out
}

// updateRollout applies a message about a rollout. It modifies the maps of v, which must be a
// clone.
func (v View) updateRollout(msg Msg, keepUntil time.Time) {
	switch m := msg.(type) {
	case RolloutOrderMsg:
		putIfNewer(v.rolloutOrders, m.Order.Service, m.Order, m.Revision)
	case RolloutOrderRemovedMsg:
		if !m.IsLost {
			keepUntil = time.Time{}
		}
		removeIfNewer(v.rolloutOrders, m.Service, m.Revision, keepUntil)
	case RolloutRecordMsg:
		v.putRolloutRecord(m)
	case RolloutRecordRemovedMsg:
		v.removeRolloutRecord(m)
	}
}

// putRolloutRecord sets a record. A rollout that has ended stays so, although a store that
// came back from an older copy may hold an earlier record: it has to be written again.
func (v View) putRolloutRecord(m RolloutRecordMsg) {
	next := rolloutRecord{Record: m.Record, isUnwritten: m.IsUnwritten, isReleased: m.IsReleased, storedRevision: m.Revision}
	if m.IsUnwritten {
		next.storedRevision = m.StoredRevision
	}
	known, ok := v.rolloutRecords[m.Record.Service]
	if ok && known.value.Phase.IsEnded() && !m.Record.Phase.IsEnded() && known.value.OrderRevision == m.Record.OrderRevision {
		next.Record, next.isReleased, next.isUnwritten = known.value.Record, known.value.isReleased, true
	}
	putIfNewer(v.rolloutRecords, m.Record.Service, next, m.Revision)
}

// removeRolloutRecord removes a record, unless it is that of a rollout that has ended and was
// lost.
func (v View) removeRolloutRecord(m RolloutRecordRemovedMsg) {
	known, ok := v.rolloutRecords[m.Service]
	if !ok || !m.IsLost || !known.value.Phase.IsEnded() {
		removeIfNewer(v.rolloutRecords, m.Service, m.Revision, time.Time{})
		return
	}
	putIfNewer(v.rolloutRecords, m.Service, rolloutRecord{Record: known.value.Record, isReleased: known.value.isReleased, isUnwritten: true}, m.Revision)
}

// removeUnlistedRollouts removes the orders and records that a snapshot doesn't list.
func (v View) removeUnlistedRollouts(b Batch, listed map[any]bool) {
	isLost := b.Revision.Era() > v.Revision.Era()
	for service := range v.rolloutOrders {
		if !listed[rolloutOrderKey(service)] {
			v.updateRollout(RolloutOrderRemovedMsg{Revision: b.Revision, Service: service, IsLost: isLost}, b.KeepExpiredUntil)
		}
	}
	for service := range v.rolloutRecords {
		if !listed[rolloutRecordKey(service)] {
			v.updateRollout(RolloutRecordRemovedMsg{Revision: b.Revision, Service: service, IsLost: isLost}, b.KeepExpiredUntil)
		}
	}
}

// rolloutMessages returns messages that describe the orders and records of the view.
func (v View) rolloutMessages() (out []Msg) {
	for service, e := range v.rolloutOrders {
		out = append(out, RolloutOrderMsg{Revision: e.revision, Order: e.value})
		if !e.expiresAt.IsZero() {
			out = append(out, RolloutOrderRemovedMsg{Revision: e.revision, Service: service, IsLost: true})
		}
	}
	for _, e := range v.rolloutRecords {
		m := RolloutRecordMsg{Revision: e.revision, Record: e.value.Record, IsReleased: e.value.isReleased, IsUnwritten: e.value.isUnwritten}
		if m.IsUnwritten {
			m.StoredRevision = e.value.storedRevision
		}
		out = append(out, m)
	}
	return out
}
