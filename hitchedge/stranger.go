package hitchedge

import (
	"sync"
	"sync/atomic"
	"time"

	"citronhitch.example/citronhitch/hitchdigest"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchrecent"
	"citronhitch.example/citronhitch/hitchview"
)

// strangerLimits bounds the names that datagrams may have although the view doesn't list them.
var strangerLimits = hitchrecent.Limits{Seconds: 5, Size: 1024}

// maxNames bounds the maps whose keys are names of instances or services from datagrams.
const maxNames = 4096

// strangers holds the names of instances and services in datagrams that the view doesn't list: those of instances that have just
// started or are stopping, and of a configuration that is yet to come. The zero value knows none.
//
// Load pattern: datagrams with very many made-up names, each of which would take memory for as long as a real one.
type strangers struct {
	listed atomic.Pointer[listedNames]

	mu     sync.Mutex
	recent hitchrecent.Map[string, struct{}]
}

// listedNames are the names in a view.
type listedNames struct {
	instances map[hitchfleet.InstanceID]struct{}
	services  map[hitchfleet.ServiceID]struct{}
}

// setView replaces the names by those of a view.
func (s *strangers) setView(view hitchview.View) {
	names := &listedNames{instances: make(map[hitchfleet.InstanceID]struct{}), services: make(map[hitchfleet.ServiceID]struct{})}
	for _, i := range view.Instances() {
		names.instances[i.ID] = struct{}{}
	}
	for _, list := range [][]hitchfleet.Endpoint{view.Endpoints(), view.LeavingEndpoints(), view.EndpointsInZonesOut()} {
		for _, e := range list {
			names.services[e.Service] = struct{}{}
		}
	}
	s.listed.Store(names)
}

// lists reports whether the view lists an instance.
func (s *strangers) lists(id hitchfleet.InstanceID) bool {
	names := s.listed.Load()
	if names == nil {
		return false
	}
	_, ok := names.instances[id]
	return ok
}

// admits reports whether a packet may be handled: the view lists the names in it, or there is room for others.
func (s *strangers) admits(now time.Time, p hitchdigest.Packet) bool {
	instances, services := namesIn(p)
	for _, id := range instances {
		if id != "" && !s.lists(id) && !s.admitsStranger(now, "Instance "+string(id)) {
			return false
		}
	}
	names := s.listed.Load()
	for _, id := range services {
		isListed := false
		if names != nil {
			_, isListed = names.services[id]
		}
		if id != "" && !isListed && !s.admitsStranger(now, "Service "+string(id)) {
			return false
		}
	}
	return true
}

// admitsStranger reports whether a name is one of the recent ones, of which it becomes one if there is room.
func (s *strangers) admitsStranger(now time.Time, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recent.Expire(now, strangerLimits)
	if _, ok := s.recent.Get(name); !ok && s.recent.Len() >= strangerLimits.Size {
		return false
	}
	s.recent.Add(now, strangerLimits, name, struct{}{})
	return true
}

// namesIn returns the names in a packet for which something is kept.
func namesIn(p hitchdigest.Packet) (instances []hitchfleet.InstanceID, services []hitchfleet.ServiceID) {
	if p.Report != nil {
		instances = append(instances, p.Report.From)
	}
	if p.Digest != nil {
		instances = append(instances, p.Digest.From)
		if p.Digest.HubStatus != nil {
			instances = append(instances, p.Digest.HubStatus.From)
		}
	}
	for _, o := range p.Origins {
		services = append(services, o.Service)
	}
	if p.Slot != nil {
		slotInstances, slotServices := namesInSlot(p.Slot)
		instances, services = append(instances, slotInstances...), append(services, slotServices...)
	}
	return instances, services
}

// namesInSlot returns the names in a message about slots for which something is kept.
func namesInSlot(m *hitchdigest.SlotMsg) (instances []hitchfleet.InstanceID, services []hitchfleet.ServiceID) {
	instances, services = append(instances, m.From), append(services, m.HoldingsOf)
	if m.Request != nil {
		instances, services = append(instances, m.Request.From), append(services, m.Request.Service)
	}
	if m.Holding != nil {
		instances, services = append(instances, m.Holding.From), append(services, m.Holding.Service)
	}
	return instances, services
}
