package hitchapi

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"citronhitch.example/citronhitch/hitchburn"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// report returns the service level measurements of this router.
func (o *OperatorAPI) report(_ context.Context, in *operatorInput) (*responseBody[hitchburn.Summary], error) {
	if _, err := o.authenticateOperator(in.Authorization); err != nil {
		return nil, ProblemOf(err)
	}
	if o.Report == nil {
		return nil, ProblemOf(hitchoutcome.RefuseNotRun(hitchoutcome.ReasonNoRoute, time.Time{}, "this router keeps no service levels"))
	}
	return &responseBody[hitchburn.Summary]{o.Report()}, nil
}

// RequireOperator returns a handler that passes on only the requests of operators.
func (o *OperatorAPI) RequireOperator(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := o.authenticateOperator(r.Header.Get("Authorization")); err != nil {
			WriteProblem(w, time.Now(), err)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// InFlight counts the requests that a server is processing. The zero value is
// ready to use.
type InFlight struct {
	count atomic.Int64
}

// Count returns a handler that counts the requests in progress in next.
func (f *InFlight) Count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.count.Add(1)
		defer f.count.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// Load returns the number of requests in progress.
func (f *InFlight) Load() int64 { return f.count.Load() }
