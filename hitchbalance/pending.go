package hitchbalance

import (
	"slices"
	"time"
)

// pendingRequest is a request without a response so far.
type pendingRequest struct {
	pickID uint64
	sentAt time.Time
	// expectedBy is when the response becomes overdue; the zero time if no estimate
	// exists.
	expectedBy time.Time
}

// pendingRequests are an endpoint's requests without a response, oldest first.
type pendingRequests []pendingRequest

// remove removes the request of a pick.
func (p *pendingRequests) remove(pickID uint64) {
	*p = slices.DeleteFunc(*p, func(r pendingRequest) bool { return r.pickID == pickID })
}

// firstOverdue returns when the oldest overdue request was sent, and false if there
// is none. A request doesn't count as overdue if the endpoint responded to any
// request after it was sent.
func (p pendingRequests) firstOverdue(now, lastResponseAt time.Time) (sentAt time.Time, ok bool) {
	for _, r := range p {
		if !r.expectedBy.IsZero() && now.After(r.expectedBy) && r.sentAt.After(lastResponseAt) {
			return r.sentAt, true
		}
	}
	return time.Time{}, false
}

// ExpectResponseBy sets the time after which the response to a request is overdue.
// While it is overdue, other requests prefer other endpoints.
func (b *Balancer) ExpectResponseBy(p Pick, expectedBy time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.endpointOf(p)
	if e == nil {
		return
	}
	for i := range e.pending {
		if e.pending[i].pickID == p.id {
			e.pending[i].expectedBy = expectedBy
		}
	}
}

// ObserveFirstByte records the first byte of a response.
func (b *Balancer) ObserveFirstByte(now time.Time, p Pick) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.endpointOf(p); e != nil {
		b.recordResponse(now, e, p.id)
	}
}
