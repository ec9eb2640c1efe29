package hitchbalance

import (
	"slices"
	"time"
)

// Tier orders the endpoints that may get a request: it goes to one of the best
// tier that isn't empty.
type Tier uint8

// The tiers, the best first.
const (
	// TierSound are endpoints that nothing speaks against.
	TierSound Tier = iota
	// TierAway are endpoints outside the router's own zone, for a request that
	// found no way to another zone before.
	TierAway
	// TierLostZone are endpoints of a zone that the request found no way to.
	TierLostZone
	// TierOverdue are endpoints that owe an answer for longer than usual.
	TierOverdue
	// TierResting are endpoints that failed lately.
	TierResting
	tiers
)

// String returns the tier's name as it stands in logs.
func (t Tier) String() string {
	return [...]string{"Sound", "Away", "LostZone", "Overdue", "Resting"}[t]
}

// tierOf returns an endpoint's tier for a request.
func (b *Balancer) tierOf(now time.Time, e *endpoint, r Request) Tier {
	sentAt, isOverdue := e.waits.overdue(now, e.health.answeredAt)
	if isOverdue {
		b.failPath(now, sentAt, e)
	}
	switch {
	case e.health.isResting(now, r.MayRepeat) || e.path.isResting(now, r.MayRepeat):
		return TierResting
	case isOverdue:
		return TierOverdue
	case len(r.LostZones) == 0:
		return TierSound
	case slices.Contains(r.LostZones, e.Zone):
		return TierLostZone
	case e.Zone != r.Zone:
		return TierAway
	default:
		return TierSound
	}
}

// candidates are the endpoints that may get a request.
type candidates struct {
	// list are those of the best tier.
	list []*endpoint
	tier Tier
	// counted is the number of all that don't rest, and mean their mean load.
	counted int
	mean    float64
}

// open returns the endpoints that may get a request.
func (b *Balancer) open(now time.Time, r Request) (c candidates, _ Refusal) {
	for i := range b.byTier {
		b.byTier[i] = b.byTier[i][:0]
	}
	refusal := NoEndpoint
	for _, e := range b.byService[r.Service] {
		switch {
		case slices.Contains(r.Tried, e.ID):
			refusal = max(refusal, AllTried)
		case now.Before(e.ColdUntil) && !e.cold.allows(now):
			refusal = AllCold
		default:
			t := b.tierOf(now, e, r)
			b.byTier[t] = append(b.byTier[t], e)
		}
	}
	sum := 0.0
	for t, list := range b.byTier {
		if len(list) == 0 || Tier(t) == TierResting && c.counted > 0 {
			continue
		}
		if c.list == nil {
			c.list, c.tier = list, Tier(t)
		}
		for _, e := range list {
			sum += b.load(now, e)
		}
		c.counted += len(list)
	}
	if c.counted == 0 {
		return c, refusal
	}
	c.mean = sum / float64(c.counted)
	return c, NotRefused
}
