package hitchdispatch

import (
	"math"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Shares of organisations.
const (
	// recentTime is over which time the use of an organisation fades, and usualTime that with
	// which it is compared: one that sends a multiple of what it usually does comes after others.
	recentTime = 2 * time.Second
	usualTime  = 30 * time.Second
	// maxExponent is when the recent uses are scaled down, long before they overflow.
	maxExponent = 200
	// organisationTTL is how long an organisation without requests is remembered.
	organisationTTL = 3 * usualTime
)

// organisations holds the use that organisations made of the slots.
type organisations struct {
	byID map[hitchfleet.OrganisationID]*organisation
	// epoch is the time at which a use counts as one. Recent uses grow with the time of the use
	// in place of fading, so that their order doesn't change with time.
	epoch time.Time
	usual counter
	// sweepAt is the number of organisations at which idle ones are forgotten.
	sweepAt int
}

// organisation is the use that one organisation made of the slots.
type organisation struct {
	// recent is the sum of its recent uses, and usual that of its usual ones.
	recent float64
	usual  counter
	// share is recent divided by what it may expect: the least share comes first.
	share float64
	// lines are those in which it has requests.
	lines  []*line
	usedAt time.Time
}

// get returns an organisation, which is created on first use.
func (o *organisations) get(now time.Time, id hitchfleet.OrganisationID) *organisation {
	if org := o.byID[id]; org != nil {
		return org
	}
	if o.byID == nil {
		o.byID, o.epoch = make(map[hitchfleet.OrganisationID]*organisation), now
	}
	if len(o.byID) >= o.sweepAt {
		for other, org := range o.byID {
			if len(org.lines) == 0 && now.Sub(org.usedAt) > organisationTTL {
				delete(o.byID, other)
			}
		}
		o.sweepAt = max(2*len(o.byID), 512)
	}
	org := &organisation{usedAt: now}
	o.byID[id] = org
	return org
}

// use records that an organisation has got a slot.
func (o *organisations) use(now time.Time, org *organisation) {
	exponent := float64(now.Sub(o.epoch)) / float64(recentTime)
	if exponent > maxExponent {
		scale := math.Exp(-exponent)
		for _, other := range o.byID {
			other.recent *= scale
			other.share *= scale
		}
		o.epoch, exponent = now, 0
	}
	org.recent += math.Exp(exponent)
	org.usual.add(now, 1, usualTime)
	org.usedAt = now
	o.usual.add(now, 1, usualTime)
	o.rate(now, org)
}

// rate computes the share of an organisation, and moves its lines. Half of what an organisation
// may expect is its usual use, and half that of the mean organisation, so that new and small
// ones aren't bound to what they had.
func (o *organisations) rate(now time.Time, org *organisation) {
	mean := o.usual.valueAt(now, usualTime) / float64(len(o.byID))
	org.share = org.recent / (org.usual.valueAt(now, usualTime) + mean + 1)
	for _, l := range org.lines {
		l.lane.lines.set(l)
	}
}
