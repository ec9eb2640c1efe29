package hitchview

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchroute"
)

// Relay is the message that brings another instance's view up to date. Times in
// it are relative, because the clocks of instances differ.
type Relay struct {
	Revision int64
	// IsSnapshot is set if the message lists every entry. Entries that it doesn't
	// list no longer exist.
	IsSnapshot bool
	// KeepLapsedMilliseconds is how long to keep removed entries, because they
	// may only have expired during an outage of the store.
	KeepLapsedMilliseconds int64
	TableRevision          int64
	// Config is nil if the receiver already has the current configuration.
	Config        *hitchroute.Config
	Endpoints     []EndpointUpdate
	EndpointsGone []EndpointGoneMsg
	Instances     []InstanceMsg
	InstancesGone []InstanceGoneMsg
	ZonesOut      []ZoneOutMsg
	ZonesBack     []ZoneBackMsg
}

// EndpointUpdate is an endpoint and the revision that wrote it.
type EndpointUpdate struct {
	Revision         int64
	Endpoint         hitchfleet.Endpoint
	ColdMilliseconds int64
}

// with returns the update with one more message.
func (r Relay) with(now time.Time, msg Msg) Relay {
	switch m := msg.(type) {
	case TableMsg:
		cfg := m.Table.Config()
		r.TableRevision, r.Config = m.Revision, &cfg
	case EndpointMsg:
		e := EndpointUpdate{Revision: m.Revision, Endpoint: m.Endpoint}
		if now.Before(m.Endpoint.ColdUntil) {
			e.ColdMilliseconds = m.Endpoint.ColdUntil.Sub(now).Milliseconds()
		}
		e.Endpoint.ColdUntil = time.Time{}
		r.Endpoints = append(r.Endpoints, e)
	case EndpointGoneMsg:
		r.EndpointsGone = append(r.EndpointsGone, m)
	case InstanceMsg:
		r.Instances = append(r.Instances, m)
	case InstanceGoneMsg:
		r.InstancesGone = append(r.InstancesGone, m)
	case ZoneOutMsg:
		r.ZonesOut = append(r.ZonesOut, m)
	case ZoneBackMsg:
		r.ZonesBack = append(r.ZonesBack, m)
	}
	return r
}

// Batch converts the update to a batch. now is the receiver's time.
func (r Relay) Batch(now time.Time) Batch {
	b := Batch{Revision: r.Revision, IsSnapshot: r.IsSnapshot}
	if r.KeepLapsedMilliseconds > 0 {
		b.KeepExpiredUntil = now.Add(time.Duration(r.KeepLapsedMilliseconds) * time.Millisecond)
	}
	if r.Config != nil {
		b.Messages = append(b.Messages, TableMsg{Revision: r.TableRevision, Table: hitchroute.NewTable(*r.Config)})
	}
	for _, e := range r.Endpoints {
		if e.ColdMilliseconds > 0 {
			e.Endpoint.ColdUntil = now.Add(time.Duration(e.ColdMilliseconds) * time.Millisecond)
		}
		b.Messages = append(b.Messages, EndpointMsg{Revision: e.Revision, Endpoint: e.Endpoint})
	}
	b.Messages = appendAll(b.Messages, r.EndpointsGone)
	b.Messages = appendAll(b.Messages, r.Instances)
	b.Messages = appendAll(b.Messages, r.InstancesGone)
	b.Messages = appendAll(b.Messages, r.ZonesOut)
	b.Messages = appendAll(b.Messages, r.ZonesBack)
	return b
}

func appendAll[T any](dst []Msg, list []T) []Msg {
	for _, m := range list {
		dst = append(dst, m)
	}
	return dst
}
