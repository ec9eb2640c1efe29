package hitchapi

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"citronhitch.example/citronhitch/hitchburn"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// report answers what this router has counted of its service levels.
func (o *Operators) report(_ context.Context, in *operatorInput) (*body[hitchburn.Summary], error) {
	if _, err := o.operator(in.Authorization); err != nil {
		return nil, ProblemOf(err)
	}
	if o.Report == nil {
		return nil, ProblemOf(hitchoutcome.RefuseNotRun(hitchoutcome.ReasonNoRoute, time.Time{}, "this router keeps no service levels"))
	}
	return &body[hitchburn.Summary]{o.Report()}, nil
}

// Guard lets only operators through to a handler.
func (o *Operators) Guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := o.operator(r.Header.Get("Authorization")); err != nil {
			WriteProblem(w, time.Now(), err)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// InFlight counts the requests that a server is answering. The zero value counts
// none.
type InFlight struct {
	n atomic.Int64
}

// Count returns a handler that counts what it passes on.
func (f *InFlight) Count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.n.Add(1)
		defer f.n.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// Load returns the number of requests now.
func (f *InFlight) Load() int64 { return f.n.Load() }
