package hitchingress

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

// InFlightRequest is a request without a final response.
type InFlightRequest struct {
	ID         string
	ReceivedAt time.Time
}

// errEnded is the cause of the end of a request that the instance's shutdown ended.
var errEnded = errors.New("the instance is shutting down")

// inFlightRequests holds the requests without a final response. The zero value is
// empty. Its methods are safe for concurrent use.
type inFlightRequests struct {
	mu       sync.Mutex
	requests map[*proxyRequest]context.CancelCauseFunc
	hasEnded bool
}

// add adds a request with the function that cancels it. A request that is added after
// end is canceled at once.
func (f *inFlightRequests) add(req *proxyRequest, cancel context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.requests == nil {
		f.requests = make(map[*proxyRequest]context.CancelCauseFunc)
	}
	f.requests[req] = cancel
	if f.hasEnded {
		cancel(errEnded)
	}
}

// end cancels all requests.
func (f *inFlightRequests) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hasEnded = true
	for _, cancel := range f.requests {
		cancel(errEnded)
	}
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
