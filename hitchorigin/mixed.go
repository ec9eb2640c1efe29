package hitchorigin

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Mixed returns those of a list of origins whose service belongs to a mixed route of
// streams that callers take up. It is nil while no route is mixed.
func (t *Tracker) Mixed(now time.Time, origins []Origin) (out []Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	services := t.mixedServices(now)
	for _, o := range origins {
		if services[o.Service] {
			out = append(out, o)
		}
	}
	return out
}

// IsMixed reports whether any route of streams that callers take up is mixed.
func (t *Tracker) IsMixed(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.mixedServices(now)) > 0
}

// MixedInFlight returns the origins of this instance's own streams in flight on mixed
// routes, and whether there is such a route.
func (t *Tracker) MixedInFlight(now time.Time) (out []Origin, isMixed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	services := t.mixedServices(now)
	if len(services) == 0 {
		return nil, false
	}
	for _, rec := range t.inFlight {
		if services[rec.Service] {
			out = append(out, rec.Origin)
		}
	}
	return out, true
}

// mixedServices returns the services of the mixed routes of streams that callers take up.
// It is called with mu held.
func (t *Tracker) mixedServices(now time.Time) map[hitchfleet.ServiceID]bool {
	if t.table == nil {
		return nil
	}
	services := make(map[hitchfleet.ServiceID]bool)
	for _, route := range t.table.Config().Routes {
		if !route.IsResumable || t.knowledge(now, route.Name).Knowledge != KnowsSeveral {
			continue
		}
		t.routes[route.Name].services.recent(now, func(s hitchfleet.ServiceID) { services[s] = true })
	}
	return services
}
