package hitchadmit

import "citronhitch.example/citronhitch/hitchfleet"

// reservedFraction is the fraction of an endpoint's limit that is reserved for
// organisations below their fair share. Any organisation may borrow the rest.
const reservedFraction = 0.1

// tenant is the state of one organisation at one endpoint.
type tenant struct {
	weight  float64
	granted Usage
	queued  int
	// finishTags are the finish tags of the tenant's last queued request, by
	// priority.
	finishTags [priorityCount]float64
}

func (t *tenant) isActive() bool { return t.granted.Requests > 0 || t.queued > 0 }

// tenants are the organisations at one endpoint.
type tenants struct {
	byID map[hitchfleet.OrganisationID]*tenant
	// activeWeight is the sum of the weights of the active tenants.
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

// update calls apply on a tenant, and updates the sum of active weights.
func (s *tenants) update(t *tenant, apply func(*tenant)) {
	before := t.isActive()
	apply(t)
	switch after := t.isActive(); {
	case after && !before:
		s.activeWeight += t.weight
	case before && !after:
		s.activeWeight -= t.weight
	}
}

// updateWeights applies the weights of a new view and removes idle tenants.
func (s *tenants) updateWeights(v *view) {
	s.activeWeight = 0
	for id, t := range s.byID {
		if !t.isActive() {
			delete(s.byID, id)
			continue
		}
		t.weight = v.weight(id)
		s.activeWeight += t.weight
	}
}

// fairShare returns the tenant's share of limit among the active tenants,
// itself included.
func (s *tenants) fairShare(t *tenant, limit int64) int64 {
	total := s.activeWeight
	if !t.isActive() {
		total += t.weight
	}
	return int64(float64(limit) * t.weight / max(total, t.weight))
}

// loadLimit returns the most work that the endpoint may hold with cost more for
// the tenant. A tenant above its fair share can't use the reserved fraction.
func (s *tenants) loadLimit(t *tenant, cost, limit int64) int64 {
	if s.exceedsShare(t, cost, limit) {
		return limit - int64(reservedFraction*float64(limit))
	}
	return limit
}

// concurrencyLimit returns the most requests that may run at the endpoint with
// one more request of the tenant. A tenant above its fair share can't use the
// reserved fraction.
func (s *tenants) concurrencyLimit(t *tenant, limit int64) int64 {
	if t.granted.Requests+1 > s.fairShare(t, limit) {
		return limit - int64(reservedFraction*float64(limit))
	}
	return limit
}

// exceedsShare reports whether cost more would put the tenant above its fair
// share.
func (s *tenants) exceedsShare(t *tenant, cost, limit int64) bool {
	return t.granted.Cost+cost > s.fairShare(t, limit)
}
