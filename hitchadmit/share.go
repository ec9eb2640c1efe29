package hitchadmit

import "citronhitch.example/citronhitch/hitchfleet"

// reservedShare is the part of an endpoint's limit that is kept for organisations
// below their share. The rest may be borrowed by any.
const reservedShare = 0.1

// tenant is one organisation at one endpoint.
type tenant struct {
	weight  float64
	granted Holding
	queued  int
	// finish is the finish tag of the tenant's last queued ask, by priority.
	finish [priorities]float64
}

func (t *tenant) active() bool { return t.granted.Requests > 0 || t.queued > 0 }

// tenants are the organisations at one endpoint.
type tenants struct {
	byID map[hitchfleet.OrganisationID]*tenant
	// activeWeight sums the weights of the active tenants.
	activeWeight float64
}

func (s *tenants) get(id hitchfleet.OrganisationID, v *view) *tenant {
	if t, ok := s.byID[id]; ok {
		return t
	}
	if s.byID == nil {
		s.byID = make(map[hitchfleet.OrganisationID]*tenant)
	}
	t := &tenant{weight: v.weight(id)}
	s.byID[id] = t
	return t
}

// change applies f to a tenant and keeps the sum of active weights.
func (s *tenants) change(t *tenant, f func(*tenant)) {
	before := t.active()
	f(t)
	switch after := t.active(); {
	case after && !before:
		s.activeWeight += t.weight
	case before && !after:
		s.activeWeight -= t.weight
	}
}

// reweigh takes new weights and forgets idle tenants.
func (s *tenants) reweigh(v *view) {
	s.activeWeight = 0
	for id, t := range s.byID {
		if !t.active() {
			delete(s.byID, id)
			continue
		}
		t.weight = v.weight(id)
		s.activeWeight += t.weight
	}
}

// fair is the tenant's share of limit among the active tenants, itself included.
func (s *tenants) fair(t *tenant, limit int64) int64 {
	total := s.activeWeight
	if !t.active() {
		total += t.weight
	}
	return int64(float64(limit) * t.weight / max(total, t.weight))
}

// limit is what the endpoint may hold in all with cost more for the tenant: a
// tenant above its share leaves the reserve to the others.
func (s *tenants) limit(t *tenant, cost, limit int64) int64 {
	if s.borrows(t, cost, limit) {
		return limit - int64(reservedShare*float64(limit))
	}
	return limit
}

// slots is how many of an endpoint's slots may be in use for one more request of
// the tenant to run: all but the reserve if it is above its share.
func (s *tenants) slots(t *tenant, slots int64) int64 {
	if t.granted.Requests+1 > s.fair(t, slots) {
		return slots - int64(reservedShare*float64(slots))
	}
	return slots
}

// borrows tells whether cost more would put the tenant above its share.
func (s *tenants) borrows(t *tenant, cost, limit int64) bool {
	return t.granted.Cost+cost > s.fair(t, limit)
}
