package hitchingress

import (
	"slices"
	"sync"
	"time"
)

// InFlightRequest is a request without a final response.
type InFlightRequest struct {
	ID         string
	ReceivedAt time.Time
}

// inFlightRequests holds the requests without a final response. The zero value is
// empty. Its methods are safe for concurrent use.
type inFlightRequests struct {
	mu       sync.Mutex
	requests map[*proxyRequest]struct{}
}

func (f *inFlightRequests) add(req *proxyRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.requests == nil {
		f.requests = make(map[*proxyRequest]struct{})
	}
	f.requests[req] = struct{}{}
}

func (f *inFlightRequests) remove(req *proxyRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.requests, req)
}

func (f *inFlightRequests) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.requests)
}

// list returns the requests, the oldest first.
func (f *inFlightRequests) list() (out []InFlightRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for req := range f.requests {
		out = append(out, InFlightRequest{ID: req.ID, ReceivedAt: req.receivedAt})
	}
	slices.SortFunc(out, func(a, b InFlightRequest) int { return a.ReceivedAt.Compare(b.ReceivedAt) })
	return out
}
