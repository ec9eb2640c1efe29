package hitchfake

import (
	"cmp"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	defaultDownloadsPerSecond = 1
	weightBytes               = 4096
)

// Weights is a fake of the weight store. It limits the rate of downloads,
// and responds with 429 above it.
type Weights struct {
	// PerSecond is the maximum number of downloads per second.
	PerSecond float64
	Faults    Faults

	mu      sync.Mutex
	limiter *rate.Limiter
	allowed int
	refused int
}

// WeightRecords counts downloads. It is the body of GET /records.
type WeightRecords struct {
	Served  int
	Refused int
}

// Handler returns the handler of GET /weights/{model}.
func (s *Weights) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{model}", func(w http.ResponseWriter, r *http.Request) {
		s.Faults.applyConnectionFault(r, false)
		if wait := s.reserve(time.Now()); wait > 0 {
			retryAfter(w, wait)
			writeError(w, http.StatusTooManyRequests, "too many downloads")
			return
		}
		if fault, ok := s.Faults.trigger(FaultSlow, r.URL.Path); ok {
			sleepUntilClosed(r, fault.delay())
		}
		_, _ = w.Write([]byte(strings.Repeat(r.PathValue("model")+"\n", weightBytes)[:weightBytes]))
	})
	return mux
}

// Admin returns the handler for fault injection and for GET /records.
func (s *Weights) Admin() http.Handler {
	mux := http.NewServeMux()
	s.Faults.register(mux)
	mux.HandleFunc("GET /records", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		records := WeightRecords{Served: s.allowed, Refused: s.refused}
		s.mu.Unlock()
		writeJSON(w, http.StatusOK, records)
	})
	return mux
}

// reserve counts a download and returns 0 if the rate limit allows it at this time.
// Otherwise it returns the time to wait.
func (s *Weights) reserve(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limiter == nil {
		s.limiter = rate.NewLimiter(rate.Limit(cmp.Or(s.PerSecond, defaultDownloadsPerSecond)), 1)
	}
	reservation := s.limiter.ReserveN(now, 1)
	wait := reservation.DelayFrom(now)
	if wait > 0 {
		reservation.CancelAt(now)
		s.refused++
		return wait
	}
	s.allowed++
	return 0
}
