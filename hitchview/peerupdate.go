package hitchview

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchroute"
)

// Relay is what one instance tells another of the fleet. Times are relative, as
// the clocks of instances differ.
type Relay struct {
	Revision int64
	// IsSnapshot tells that what isn't named doesn't exist.
	IsSnapshot bool
	// KeepLapsedMilliseconds is how long entries that are gone are kept, as they
	// may only have lapsed in an outage of the store.
	KeepLapsedMilliseconds int64
	TableRevision          int64
	// Config is nil if the receiver has it already.
	Config        *hitchroute.Config
	Endpoints     []RelayedEndpoint
	EndpointsGone []EndpointGoneMsg
	Instances     []InstanceMsg
	InstancesGone []InstanceGoneMsg
	ZonesOut      []ZoneOutMsg
	ZonesBack     []ZoneBackMsg
}

// RelayedEndpoint is an endpoint with the revision that wrote it.
type RelayedEndpoint struct {
	Revision         int64
	Endpoint         hitchfleet.Endpoint
	ColdMilliseconds int64
}

// with returns the relay with one more message.
func (r Relay) with(now time.Time, msg Msg) Relay {
	switch m := msg.(type) {
	case TableMsg:
		cfg := m.Table.Config()
		r.TableRevision, r.Config = m.Revision, &cfg
	case EndpointMsg:
		e := RelayedEndpoint{Revision: m.Revision, Endpoint: m.Endpoint}
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

// Batch returns the relay as a batch.
func (r Relay) Batch(now time.Time) Batch {
	b := Batch{Revision: r.Revision, IsSnapshot: r.IsSnapshot}
	if r.KeepLapsedMilliseconds > 0 {
		b.KeepLapsedUntil = now.Add(time.Duration(r.KeepLapsedMilliseconds) * time.Millisecond)
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
