package hitchbalance

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// zoneHealth is the state of the network to a zone, as seen by this instance's own
// requests. If two endpoints of the zone give no response and none responds in
// between, the zone rather than the endpoints is assumed unreachable, and the whole
// zone is ejected. Otherwise each of its endpoints would cost requests until it is
// ejected by itself.
type zoneHealth struct {
	health
	// suspectID is the endpoint that failed since the last response from the zone.
	suspectID hitchfleet.EndpointID
}

// recordResponse records a response from an endpoint of the zone. It reports whether
// this ends an ejection.
func (z *zoneHealth) recordResponse(now time.Time) (recovered bool) {
	z.suspectID = ""
	return z.health.recordResponse(now)
}

// recordFailure records that an endpoint of the zone gave no response. It reports
// whether this starts an ejection of the zone.
func (z *zoneHealth) recordFailure(now, sentAt time.Time, id hitchfleet.EndpointID) (ejected bool) {
	switch {
	case !sentAt.After(z.lastResponseAt):
		// The zone has responded since.
		return false
	case z.failures == 0 && (z.suspectID == "" || z.suspectID == id):
		z.suspectID = id
		return false
	default:
		return z.health.recordFailure(now, sentAt)
	}
}
