package hitchview

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchroute"
)

// PeerUpdate is the message that updates another instance's view. Times
// in it are relative, because the clocks of instances differ.
type PeerUpdate struct {
	Revision hitchfleet.Revision
	// IsSnapshot is set if the message lists every entry. Entries that it doesn't
	// list no longer exist.
	IsSnapshot bool
	// KeepLapsedMilliseconds is how long to keep removed entries, because they
	// may only have expired during an outage of the store.
	KeepLapsedMilliseconds int64
	TableRevision          hitchfleet.Revision
	// Config is nil if the receiver already has the current configuration.
	Config        *hitchroute.Config
	Endpoints     []EndpointUpdate
	EndpointsGone []EndpointRemovedMsg
	Instances     []InstanceMsg
	InstancesGone []InstanceRemovedMsg
	ZonesOut      []ZoneTakenOutMsg
	ZonesBack     []ZoneReturnedMsg
	// The orders and records of rollouts are left out if there are none.
	RolloutOrders      []RolloutOrderMsg         `json:",omitempty"`
	RolloutOrdersGone  []RolloutOrderRemovedMsg  `json:",omitempty"`
	RolloutRecords     []RolloutRecordMsg        `json:",omitempty"`
	RolloutRecordsGone []RolloutRecordRemovedMsg `json:",omitempty"`
}

// EndpointUpdate is an endpoint and the revision that wrote it.
type EndpointUpdate struct {
	Revision         hitchfleet.Revision
	Endpoint         hitchfleet.Endpoint
	ColdMilliseconds int64
}

// with returns the update with one more message.
func (u PeerUpdate) with(now time.Time, msg Msg) PeerUpdate {
	switch m := msg.(type) {
	case TableMsg:
		cfg := m.Table.Config()
		u.TableRevision, u.Config = m.Revision, &cfg
	case EndpointMsg:
		e := EndpointUpdate{Revision: m.Revision, Endpoint: m.Endpoint}
		if now.Before(m.Endpoint.ColdUntil) {
			e.ColdMilliseconds = m.Endpoint.ColdUntil.Sub(now).Milliseconds()
		}
		e.Endpoint.ColdUntil = time.Time{}
		u.Endpoints = append(u.Endpoints, e)
	case EndpointRemovedMsg:
		u.EndpointsGone = append(u.EndpointsGone, m)
	case InstanceMsg:
		u.Instances = append(u.Instances, m)
	case InstanceRemovedMsg:
		u.InstancesGone = append(u.InstancesGone, m)
	case ZoneTakenOutMsg:
		u.ZonesOut = append(u.ZonesOut, m)
	case ZoneReturnedMsg:
		u.ZonesBack = append(u.ZonesBack, m)
	case RolloutOrderMsg:
		u.RolloutOrders = append(u.RolloutOrders, m)
	case RolloutOrderRemovedMsg:
		u.RolloutOrdersGone = append(u.RolloutOrdersGone, m)
	case RolloutRecordMsg:
		u.RolloutRecords = append(u.RolloutRecords, m)
	case RolloutRecordRemovedMsg:
		u.RolloutRecordsGone = append(u.RolloutRecordsGone, m)
	}
	return u
}

// Batch converts the update to a batch. now is the receiver's time.
func (u PeerUpdate) Batch(now time.Time) Batch {
	b := Batch{Revision: u.Revision, IsSnapshot: u.IsSnapshot}
	if u.KeepLapsedMilliseconds > 0 {
		b.KeepExpiredUntil = now.Add(time.Duration(u.KeepLapsedMilliseconds) * time.Millisecond)
	}
	if u.Config != nil {
		b.Messages = append(b.Messages, TableMsg{Revision: u.TableRevision, Table: hitchroute.NewTable(*u.Config)})
	}
	for _, e := range u.Endpoints {
		if e.ColdMilliseconds > 0 {
			e.Endpoint.ColdUntil = now.Add(time.Duration(e.ColdMilliseconds) * time.Millisecond)
		}
		b.Messages = append(b.Messages, EndpointMsg{Revision: e.Revision, Endpoint: e.Endpoint})
	}
	b.Messages = appendAll(b.Messages, u.EndpointsGone)
	b.Messages = appendAll(b.Messages, u.Instances)
	b.Messages = appendAll(b.Messages, u.InstancesGone)
	b.Messages = appendAll(b.Messages, u.ZonesOut)
	b.Messages = appendAll(b.Messages, u.ZonesBack)
	b.Messages = appendAll(b.Messages, u.RolloutOrders)
	b.Messages = appendAll(b.Messages, u.RolloutOrdersGone)
	b.Messages = appendAll(b.Messages, u.RolloutRecords)
	b.Messages = appendAll(b.Messages, u.RolloutRecordsGone)
	return b
}

func appendAll[T any](dst []Msg, list []T) []Msg {
	for _, m := range list {
		dst = append(dst, m)
	}
	return dst
}
