package hitchingress

import (
	"time"

	"citronhitch.example/citronhitch/hitchoutcome"
)

// Drain says which requests an instance accepts while it shuts down. The zero value
// accepts all.
//
// Load pattern: callers who cached an old directory response, and those with an open
// connection, continue to arrive for seconds. A stream that begins late would be cut
// off by the end of the shutdown, while another instance can serve it whole.
type Drain struct {
	// LateFrom is from when on a request is accepted only if its deadline is before End.
	LateFrom time.Time
	// End is when the shutdown ends the requests in flight.
	End time.Time
}

// Accepts reports whether a request that arrives now is accepted.
func (d Drain) Accepts(now, deadline time.Time) bool {
	return d.End.IsZero() || now.Before(d.LateFrom) || !deadline.After(d.End)
}

// refuseLate returns a refusal if the request arrived too late in a shutdown.
func (g *Gateway) refuseLate(req *proxyRequest) *hitchoutcome.Refusal {
	drain := g.drain.Load()
	if drain == nil || drain.Accepts(req.receivedAt, req.effectiveDeadline) {
		return nil
	}
	return endedRefusal()
}
