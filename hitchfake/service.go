package hitchfake

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// IdempotencyHeader carries the key of a non-idempotent request.
const IdempotencyHeader = "Idempotency-Key"

const (
	defaultServiceRunning = 64
	defaultWorkMillis     = 1
)

// Run is one run of a non-idempotent request. It is also the answer to it.
type Run struct {
	// Number is unique to the run.
	Number  int
	Key     string
	Attempt string
	Method  string
	Path    string
	// Digest is the xxHash of the body.
	Digest string
	At     time.Time
}

// RunList is the answer of GET /runs, oldest first.
type RunList struct {
	Runs []Run
}

// RunOutcome is the answer of GET /outcomes/{key}.
type RunOutcome struct {
	Key string
	// Ran is set if at least one run with the key is done.
	Ran  bool
	Runs []Run
}

// Lookup is the answer to an idempotent request. It depends on the path and
// the query alone.
type Lookup struct {
	Path  string
	Value string
}

// Service is a stand-in for a plain service. It doesn't recognise repeated
// requests: each POST, PUT, PATCH and DELETE that reaches it is run.
//
//	var service hitchfake.Service
//	server := httptest.NewServer(service.Handler())
//	defer server.Close()
type Service struct {
	// MaxRunning is how many requests are worked on at once; more wait.
	MaxRunning int
	// WorkMillis is how long a request takes.
	WorkMillis int
	// ColdLimit is how many requests a cold service bears; one more makes it fall
	// over.
	ColdLimit     int
	DownMillis    int
	LoadLagMillis int
	Faults        Faults

	mu        sync.Mutex
	runs      []Run
	running   int
	waiting   int
	freed     chan struct{}
	falls     int
	downUntil time.Time
	loads     history[Load]
}

// Handler serves any path, and /outcomes/{key} and /load.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /outcomes/{key}", s.serveOutcome)
	mux.HandleFunc("GET /load", s.serveLoad)
	mux.HandleFunc("/", s.serveWork)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isDown() {
			cut()
		}
		mux.ServeHTTP(w, r)
	})
}

// Admin serves the faults and the runs.
func (s *Service) Admin() http.Handler {
	mux := http.NewServeMux()
	s.Faults.register(mux)
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, RunList{Runs: s.Runs()})
	})
	return mux
}

// Runs returns the runs so far, oldest first.
func (s *Service) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run{}, s.runs...)
}

// Falls returns how often the service fell over while cold.
func (s *Service) Falls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.falls
}

func (s *Service) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.downUntil)
}

// serveWork runs a request; the order of the faults is the order in which they
// could strike.
func (s *Service) serveWork(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	if _, ok := s.Faults.strike(FaultRefuse, r.URL.Path); ok {
		retryAfter(w, time.Second)
		writeProblem(w, http.StatusServiceUnavailable, "refused")
		return
	}
	s.Faults.breakOff(r, false)
	if !s.acquire(r) {
		cut()
	}
	defer s.release()
	s.work(r)
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		s.Faults.breakOff(r, true)
		s.answerLookup(w, r)
		return
	}
	run := s.record(r, body)
	s.Faults.breakOff(r, true)
	if fault, ok := s.Faults.strike(FaultLateAnswer, r.URL.Path); ok {
		pause(r, fault.delay())
	}
	if _, ok := s.Faults.strike(FaultCrossed, r.URL.Path); ok {
		run = s.another(run)
	}
	w.Header().Set(AttemptHeader, run.Attempt)
	writeJSON(w, http.StatusOK, run)
}

func (s *Service) work(r *http.Request) {
	d := millis(s.WorkMillis, defaultWorkMillis)
	if fault, ok := s.Faults.strike(FaultSlow, r.URL.Path); ok {
		d += fault.delay()
	}
	// The work goes on if the caller goes away.
	time.Sleep(d)
}

func (s *Service) record(r *http.Request, body []byte) Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	run := Run{
		Number:  len(s.runs) + 1,
		Key:     r.Header.Get(IdempotencyHeader),
		Attempt: r.Header.Get(AttemptHeader),
		Method:  r.Method,
		Path:    r.URL.Path,
		Digest:  Digest(body),
		At:      time.Now(),
	}
	s.runs = append(s.runs, run)
	return run
}

// another returns the newest other run, or a made-up one.
func (s *Service) another(run Run) Run {
	for _, other := range slices.Backward(s.Runs()) {
		if other.Number != run.Number {
			return other
		}
	}
	run.Attempt, run.Key = "crossed-"+run.Attempt, "crossed-"+run.Key
	return run
}

// Digest returns the xxHash of a body, as a Run carries it.
func Digest(body []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(body))
}

func (s *Service) answerLookup(w http.ResponseWriter, r *http.Request) {
	attempt, path := r.Header.Get(AttemptHeader), r.URL.RequestURI()
	if fault, ok := s.Faults.strike(FaultLateAnswer, r.URL.Path); ok {
		pause(r, fault.delay())
	}
	if _, ok := s.Faults.strike(FaultCrossed, r.URL.Path); ok {
		attempt, path = "crossed-"+attempt, path+"-crossed"
	}
	w.Header().Set(AttemptHeader, attempt)
	writeJSON(w, http.StatusOK, Lookup{Path: path, Value: LookupValue(path)})
}

// LookupValue returns the value that a service answers for a path with query.
func LookupValue(path string) string {
	return hex.EncodeToString(strconv.AppendUint(nil, xxhash.Sum64String(path), 36))
}

func (s *Service) serveOutcome(w http.ResponseWriter, r *http.Request) {
	s.Faults.breakOff(r, false)
	outcome := RunOutcome{Key: r.PathValue("key"), Runs: []Run{}}
	for _, run := range s.Runs() {
		if run.Key == outcome.Key {
			outcome.Runs = append(outcome.Runs, run)
		}
	}
	outcome.Ran = len(outcome.Runs) > 0
	w.Header().Set(AttemptHeader, r.Header.Get(AttemptHeader))
	writeJSON(w, http.StatusOK, outcome)
}

func (s *Service) serveLoad(w http.ResponseWriter, r *http.Request) {
	s.Faults.breakOff(r, false)
	s.mu.Lock()
	now := time.Now()
	s.note(now)
	at := now.Add(-millis(s.LoadLagMillis, 0))
	report := s.loads.at(at)
	s.mu.Unlock()
	report.AsOf, report.MaxRunning = at, cmp.Or(s.MaxRunning, defaultServiceRunning)
	writeJSON(w, http.StatusOK, report)
}

// note records the load. It needs the lock.
func (s *Service) note(now time.Time) {
	fault, _ := s.Faults.first(FaultCold)
	s.loads.add(now, Load{
		Running: s.running,
		Waiting: s.waiting,
		Cold:    fault.Announced,
	})
}
