package hitchbalance

import (
	"slices"
	"time"
)

// Tier ranks the endpoints that may get a request. A request goes to an endpoint of
// the best tier that isn't empty.
type Tier uint8

// The tiers, best first.
const (
	// TierHealthy holds endpoints without known problems ("Sound" in logs).
	TierHealthy Tier = iota
	// TierOtherZone holds the endpoints outside the router's own zone if an earlier
	// attempt got no response from some zone ("Away" in logs).
	TierOtherZone
	// TierUnreachableZone holds endpoints of a zone from which an earlier attempt got
	// no response ("LostZone" in logs).
	TierUnreachableZone
	// TierOverdue holds endpoints with an overdue response.
	TierOverdue
	// TierEjected holds endpoints that are ejected after failures, or whose zone is
	// ("Resting" in logs).
	TierEjected
	tierCount
)

// String returns the tier's name in logs.
func (t Tier) String() string {
	return [...]string{"Sound", "Away", "LostZone", "Overdue", "Resting"}[t]
}

// tierOf returns an endpoint's tier for a request. An overdue response counts as a
// failure of the endpoint's zone.
func (b *Balancer) tierOf(now time.Time, e *endpoint, r Request) Tier {
	sentAt, isOverdue := e.pending.firstOverdue(now, e.health.lastResponseAt)
	if isOverdue {
		b.recordZoneFailure(now, sentAt, e)
	}
	switch {
	case e.health.isEjected(now, r.IsRetrySafe) || e.zone.isEjected(now, r.IsRetrySafe) || e.outlier.health.isEjected(now, r.IsRetrySafe):
		return TierEjected
	case isOverdue:
		return TierOverdue
	case len(r.UnreachableZones) == 0:
		return TierHealthy
	case slices.Contains(r.UnreachableZones, e.Zone):
		return TierUnreachableZone
	case e.Zone != r.Zone:
		return TierOtherZone
	default:
		return TierHealthy
	}
}

// candidates are the endpoints that may get a request.
type candidates struct {
	// best are the endpoints of the best tier, and tier is that tier.
	best []*endpoint
	tier Tier
	// count is the number of endpoints that aren't ejected, and mean their mean load.
	// If all are ejected, both cover the ejected ones. Endpoints of other versions than
	// the request's, and outside its group, count too, as the load bound is that of the
	// service.
	count int
	mean  float64
	// returnAt is when the first of the endpoints that are paused or at their quota takes
	// requests again; the zero time if there is none.
	returnAt time.Time
}

// returnBy records that an endpoint takes requests again at a time.
func (c *candidates) returnBy(at time.Time) {
	if c.returnAt.IsZero() || at.Before(c.returnAt) {
		c.returnAt = at
	}
}

// findCandidates returns the endpoints that may get a request.
func (b *Balancer) findCandidates(now time.Time, r Request) (c candidates, _ Refusal) {
	for i := range b.byTier {
		b.byTier[i] = b.byTier[i][:0]
	}
	b.otherVersions = b.otherVersions[:0]
	refusal := NoEndpoint
	for _, e := range b.byService[r.Service] {
		notice := b.noticeOf(e)
		switch {
		case notice.IsLeaving:
		case !r.allows(e.Endpoint):
			if !r.Version.Allows(e.Endpoint) {
				refusal = max(refusal, OtherVersions)
			}
			b.otherVersions = append(b.otherVersions, e)
		case now.Before(notice.PausedUntil):
			refusal = max(refusal, AllPaused)
			c.returnBy(notice.PausedUntil)
		case slices.Contains(r.Tried, e.ID):
			refusal = max(refusal, AllTried)
		case now.Before(e.heldUntil):
			refusal = max(refusal, AllAtQuota)
			c.returnBy(e.returnAt)
		case now.Before(e.ColdUntil) && !r.hasSlot && !e.coldLimit.hasToken(now):
			refusal = max(refusal, AllCold)
		default:
			tier := b.tierOf(now, e, r)
			b.byTier[tier] = append(b.byTier[tier], e)
		}
	}
	sum := 0.0
	for tier, list := range b.byTier {
		if len(list) == 0 || Tier(tier) == TierEjected && c.count > 0 {
			continue
		}
		if c.best == nil {
			c.best, c.tier = list, Tier(tier)
		}
		for _, e := range list {
			sum += b.load(now, e)
		}
		c.count += len(list)
	}
	if c.count == 0 {
		return c, refusal
	}
	for _, e := range b.otherVersions {
		if b.tierOf(now, e, r) != TierEjected {
			sum += b.load(now, e)
			c.count++
		}
	}
	c.mean = sum / float64(c.count)
	return c, NotRefused
}
