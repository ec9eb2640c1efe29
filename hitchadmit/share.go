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

func (ts *tenants) get(id hitchfleet.OrganisationID, v *view) *tenant {
	if t, ok := ts.byID[id]; ok {
		return t
	}
	if ts.byID == nil {
		ts.byID = make(map[hitchfleet.OrganisationID]*tenant)
	}
	t := &tenant{weight: v.weight(id)}
	ts.byID[id] = t
	return t
}

// update calls apply on a tenant, and updates the sum of active weights.
func (ts *tenants) update(t *tenant, apply func(*tenant)) {
	before := t.isActive()
	apply(t)
	switch after := t.isActive(); {
	case after && !before:
		ts.activeWeight += t.weight
	case before && !after:
		ts.activeWeight -= t.weight
	}
}

// updateWeights applies the weights of a new view and removes idle tenants.
func (ts *tenants) updateWeights(v *view) {
	ts.activeWeight = 0
	for id, t := range ts.byID {
		if !t.isActive() {
			delete(ts.byID, id)
			continue
		}
		t.weight = v.weight(id)
		ts.activeWeight += t.weight
	}
}

// fairShare returns the tenant's share of limit among the active tenants,
// itself included.
func (ts *tenants) fairShare(t *tenant, limit int64) int64 {
	total := ts.activeWeight
	if !t.isActive() {
		total += t.weight
	}
	return int64(float64(limit) * t.weight / max(total, t.weight))
}

// loadLimit returns the most work that the endpoint may hold after adding cost
// for the tenant. A tenant above its fair share can't use the reserved fraction.
func (ts *tenants) loadLimit(t *tenant, cost, limit int64) int64 {
	if ts.exceedsShare(t, cost, limit) {
		return limit - int64(reservedFraction*float64(limit))
	}
	return limit
}

// concurrencyLimit returns the most requests that may run at the endpoint with
// one more request of the tenant. A tenant above its fair share can't use the
// reserved fraction.
func (ts *tenants) concurrencyLimit(t *tenant, limit int64) int64 {
	if t.granted.Requests+1 > ts.fairShare(t, limit) {
		return limit - int64(reservedFraction*float64(limit))
	}
	return limit
}

// exceedsShare reports whether adding cost would put the tenant above its fair
// share.
func (ts *tenants) exceedsShare(t *tenant, cost, limit int64) bool {
	return t.granted.Cost+cost > ts.fairShare(t, limit)
}
