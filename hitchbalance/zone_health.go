package hitchbalance

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// path is what an instance's own requests say of the way to one zone. When two
// endpoints of the zone fail and none answers in between, the way is cut rather
// than the endpoints broken: all of them rest, instead of each costing requests
// of its own until it is found out.
type path struct {
	health
	// suspect is the endpoint that failed since the last answer from the zone.
	suspect hitchfleet.EndpointID
}

// answered takes in that an endpoint of the zone answered, and tells whether that
// ends the tests after a rest.
func (p *path) answered(now time.Time) (isBack bool) {
	p.suspect = ""
	return p.health.answered(now)
}

// fail takes in that an endpoint of the zone failed, and tells whether a rest of
// the zone begins.
func (p *path) fail(now, sentAt time.Time, id hitchfleet.EndpointID) (rests bool) {
	switch {
	case !sentAt.After(p.answeredAt):
		// The zone has answered since.
		return false
	case p.broken == 0 && (p.suspect == "" || p.suspect == id):
		p.suspect = id
		return false
	default:
		return p.health.fail(now, sentAt)
	}
}
