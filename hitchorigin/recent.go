package hitchorigin

import (
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Recent is which versions and services an instance has seen within the horizon, in order,
// for one that has missed some of it.
type Recent struct {
	// Versions are those of each service's endpoints, and Services those of each route.
	Versions map[hitchfleet.ServiceID][]string
	Services map[string][]hitchfleet.ServiceID
}

// HasOnly reports whether a service's endpoints have had a version, and no other one.
func (r Recent) HasOnly(service hitchfleet.ServiceID, version string) bool {
	versions := r.Versions[service]
	return len(versions) == 1 && versions[0] == version
}

// Recent returns what the instance has seen within the horizon, and false if it has missed
// some of it.
func (t *Tracker) Recent(now time.Time) (r Recent, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.completeAt) {
		return Recent{}, false
	}
	r = Recent{Versions: make(map[hitchfleet.ServiceID][]string), Services: make(map[string][]hitchfleet.ServiceID)}
	for service, h := range t.versions {
		h.recent(now, func(version string) { r.Versions[service] = append(r.Versions[service], version) })
		slices.Sort(r.Versions[service])
	}
	for route, h := range t.routes {
		h.services.recent(now, func(service hitchfleet.ServiceID) { r.Services[route] = append(r.Services[route], service) })
		slices.Sort(r.Services[route])
	}
	return r, true
}

// Inherit adds what another instance has seen, which fills the gap of this one. What isn't
// there any more counts as left now. It returns origins to share, as SetFleet does.
func (t *Tracker) Inherit(now time.Time, r Recent) []Origin {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteVersions(now, r.Versions)
	for route, services := range r.Services {
		for _, service := range services {
			t.routeOf(route).services.note(now, service)
		}
	}
	t.completeAt = time.Time{}
	return t.takeUnshared(now)
}

// NoteVersions adds versions that there were, beside others that the instance may have missed.
// It returns origins to share, as SetFleet does.
func (t *Tracker) NoteVersions(now time.Time, versions map[hitchfleet.ServiceID][]string) []Origin {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteVersions(now, versions)
	return t.takeUnshared(now)
}

// noteVersions adds versions. It is called with mu held.
func (t *Tracker) noteVersions(now time.Time, versions map[hitchfleet.ServiceID][]string) {
	for service, names := range versions {
		for _, version := range names {
			t.versionsOf(service).note(now, version)
		}
	}
}

// IsComplete reports whether the instance has missed nothing within the horizon.
func (t *Tracker) IsComplete(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !now.Before(t.completeAt)
}
