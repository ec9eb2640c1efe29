package hitchorigin

import (
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchroute"
)

const (
	// shareEndedWithin is how long after its end the origin of a stream is still shared when
	// its route becomes mixed.
	shareEndedWithin = 10 * time.Second
	// maxServices and maxNoted bound the services, and the versions of one, that other instances name: they
	// may be made up.
	maxServices = 4096
	maxNoted    = 1024
)

// Tracker holds the origins of streams that an instance knows, and which versions the
// endpoints of each route have had within the horizon. A route is mixed while these are
// several. The zero value knows nothing. Its methods are safe for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// inFlight are this instance's own streams that haven't ended, and ended those that
	// have.
	inFlight map[hitchfleet.Key]record
	ended    records
	shared   records
	versions map[hitchfleet.ServiceID]*history[string]
	routes   map[string]*routeHistory
	table    *hitchroute.Table
	// completeAt is when the versions cover the horizon; the zero time if there was
	// nothing before the instance.
	completeAt time.Time
}

// routeHistory holds the services of a route.
type routeHistory struct {
	services history[hitchfleet.ServiceID]
	// isShared is set while the origins of the route's streams are shared.
	isShared bool
}

// RecordGap records that the instance has missed changes of the fleet until now. For the
// horizon it doesn't infer origins from what it knows. It returns origins to share, as
// SetFleet does.
func (t *Tracker) RecordGap(now time.Time) []Origin {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.completeAt = now.Add(Horizon)
	return t.takeUnshared(now)
}

// SetFleet replaces the endpoints, whether they get new requests or not, and the
// configuration. It returns the origins of the instance's own recent streams on routes
// that have become mixed: they no longer follow from the route, and are to be shared.
func (t *Tracker) SetFleet(now time.Time, endpoints []hitchfleet.Endpoint, table *hitchroute.Table) []Origin {
	t.mu.Lock()
	defer t.mu.Unlock()
	present := make(map[hitchfleet.ServiceID]map[string]bool)
	for _, e := range endpoints {
		if present[e.Service] == nil {
			present[e.Service] = make(map[string]bool)
		}
		present[e.Service][e.Version] = true
	}
	for service := range present {
		_ = t.versionsOf(service)
	}
	for service, h := range t.versions {
		h.update(now, present[service])
	}
	if table != t.table && table != nil {
		t.setRoutes(now, table)
	}
	return t.takeUnshared(now)
}

// versionsOf returns the versions of a service. It is called with mu held.
func (t *Tracker) versionsOf(service hitchfleet.ServiceID) *history[string] {
	if t.versions == nil {
		t.versions = make(map[hitchfleet.ServiceID]*history[string])
	}
	if h := t.versions[service]; h != nil {
		return h
	}
	h := &history[string]{}
	if len(t.versions) < maxServices {
		t.versions[service] = h
	}
	return h
}

// setRoutes replaces the routes by those of a configuration. It is called with mu held.
func (t *Tracker) setRoutes(now time.Time, table *hitchroute.Table) {
	t.table = table
	present := make(map[string]map[hitchfleet.ServiceID]bool)
	for _, route := range table.Config().Routes {
		services := make(map[hitchfleet.ServiceID]bool)
		for _, split := range route.Splits {
			if split.Weight > 0 {
				services[split.Service] = true
			}
		}
		present[route.Name] = services
	}
	for name := range present {
		_ = t.routeOf(name)
	}
	for name, r := range t.routes {
		r.services.update(now, present[name])
	}
}

// routeOf returns the services of a route. It is called with mu held.
func (t *Tracker) routeOf(name string) *routeHistory {
	if t.routes == nil {
		t.routes = make(map[string]*routeHistory)
	}
	if t.routes[name] == nil {
		t.routes[name] = &routeHistory{}
	}
	return t.routes[name]
}

// takeUnshared returns the recent origins of routes whose versions no longer imply them.
// It is called with mu held.
func (t *Tracker) takeUnshared(now time.Time) (out []Origin) {
	newlyShared := make(map[string]bool)
	for name, r := range t.routes {
		isShared := t.knowledge(now, name).Knowledge != KnowsOnly
		newlyShared[name] = isShared && !r.isShared
		r.isShared = isShared
	}
	for _, rec := range t.inFlight {
		if newlyShared[rec.route] {
			out = append(out, rec.Origin)
		}
	}
	t.ended.each(func(rec record) {
		if newlyShared[rec.route] && now.Sub(rec.at) < shareEndedWithin {
			out = append(out, rec.Origin)
		}
	})
	return out
}

// knowledge returns what the versions of a route's endpoints imply about all its streams.
// It is called with mu held.
func (t *Tracker) knowledge(now time.Time, route string) Answer {
	versions := make(map[string]bool)
	if r := t.routes[route]; r != nil {
		r.services.recent(now, func(service hitchfleet.ServiceID) {
			if h := t.versions[service]; h != nil {
				h.recent(now, func(version string) { versions[version] = true })
			}
		})
	}
	switch {
	case len(versions) > 1:
		return Answer{Knowledge: KnowsSeveral}
	case len(versions) == 0 || now.Before(t.completeAt):
		return Answer{}
	}
	for version := range versions {
		return Answer{Knowledge: KnowsOnly, Version: version}
	}
	return Answer{}
}

// Begin records the origin of a stream that begins at this instance, before its first
// event is sent to the caller. It reports whether the origin is to be shared: unless it
// follows from what all instances know about the route.
func (t *Tracker) Begin(now time.Time, route string, o Origin) (isShared bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight == nil {
		t.inFlight = make(map[hitchfleet.Key]record)
	}
	t.inFlight[o.Stream] = record{Origin: o.interned(), route: route, at: now}
	if t.knowledge(now, route) != (Answer{Knowledge: KnowsOnly, Version: o.Version}) {
		return true
	}
	if r := t.routes[route]; r != nil {
		r.isShared = false // no longer, so that the stream is when the route becomes mixed again
	}
	return false
}

// End records that a response of the stream has ended.
func (t *Tracker) End(now time.Time, stream hitchfleet.Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rec, ok := t.inFlight[stream]; ok {
		delete(t.inFlight, stream)
		t.ended.add(now, rec)
	}
}

// Receive records the origins that another instance shares. They show versions that this
// instance may not have in its view yet. It returns origins to share, as SetFleet does.
func (t *Tracker) Receive(now time.Time, origins []Origin) []Origin {
	t.mu.Lock()
	defer t.mu.Unlock()
	isNew := false
	for _, o := range origins {
		t.shared.add(now, record{Origin: o})
		isNew = t.versionsOf(o.Service).note(now, o.Version) || isNew
	}
	if !isNew {
		return nil
	}
	return t.takeUnshared(now)
}

// Find returns the origin of a stream, if this instance has a record of it.
func (t *Tracker) Find(stream hitchfleet.Key) (Origin, Source) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.find(stream)
}

// find is Find with mu held.
func (t *Tracker) find(stream hitchfleet.Key) (Origin, Source) {
	if rec, ok := t.inFlight[stream]; ok {
		return rec.Origin, SourceOwn
	}
	if rec, ok := t.ended.find(stream); ok {
		return rec.Origin, SourceOwn
	}
	if rec, ok := t.shared.find(stream); ok {
		return rec.Origin, SourceShared
	}
	return Origin{}, SourceUnknown
}

// Answer returns what this instance knows about the origin of a stream on a route.
func (t *Tracker) Answer(now time.Time, stream hitchfleet.Key, route string) Answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o, source := t.find(stream); source != SourceUnknown {
		return Answer{Knowledge: KnowsRecord, Service: o.Service, Version: o.Version}
	}
	return t.knowledge(now, route)
}
