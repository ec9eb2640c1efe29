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

// Weights is a stand-in for the weight store. It allows so many downloads a
// second and answers 429 to the others.
type Weights struct {
	// PerSecond is the number of downloads allowed in a second.
	PerSecond float64
	Faults    Faults

	mu      sync.Mutex
	limiter *rate.Limiter
	served  int
	refused int
}

// WeightRecords counts downloads. It is the body of GET /records.
type WeightRecords struct {
	Served  int
	Refused int
}

// Handler serves GET /weights/{model}.
func (s *Weights) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{model}", func(w http.ResponseWriter, r *http.Request) {
		s.Faults.breakOff(r, false)
		if wait := s.reserve(time.Now()); wait > 0 {
			retryAfter(w, wait)
			writeProblem(w, http.StatusTooManyRequests, "too many downloads")
			return
		}
		if fault, ok := s.Faults.strike(FaultSlow, r.URL.Path); ok {
			pause(r, fault.delay())
		}
		_, _ = w.Write([]byte(strings.Repeat(r.PathValue("model")+"\n", weightBytes)[:weightBytes]))
	})
	return mux
}

// Admin serves the faults and GET /records.
func (s *Weights) Admin() http.Handler {
	mux := http.NewServeMux()
	s.Faults.register(mux)
	mux.HandleFunc("GET /records", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		records := WeightRecords{Served: s.served, Refused: s.refused}
		s.mu.Unlock()
		writeJSON(w, http.StatusOK, records)
	})
	return mux
}

// reserve takes a download at a time, or returns how long to wait for one.
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
	s.served++
	return 0
}
