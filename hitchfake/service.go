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
	defaultServiceMaxRunning = 64
	defaultWorkMillis        = 1
)

// Run is one execution of a non-idempotent request. It is also the body of the
// response.
type Run struct {
	// Number is unique for each run.
	Number  int
	Key     string
	Attempt string
	Method  string
	Path    string
	// Digest is the xxHash of the body.
	Digest string
	At     time.Time
}

// RunList is the response of GET /runs, oldest first.
type RunList struct {
	Runs []Run
}

// RunOutcome is the response of GET /outcomes/{key}.
type RunOutcome struct {
	Key string
	// Ran is set if a request with the key has run at least once.
	Ran  bool
	Runs []Run
}

// Lookup is the response to an idempotent request. It depends only on the path
// and the query.
type Lookup struct {
	Path  string
	Value string
}

// Service is a fake of a plain HTTP service. It doesn't deduplicate
// requests: it runs each POST, PUT, PATCH and DELETE that it receives.
//
//	var service hitchfake.Service
//	server := httptest.NewServer(service.Handler())
//	defer server.Close()
type Service struct {
	// MaxRunning is the maximum number of running requests; further ones wait.
	MaxRunning int
	// WorkMillis is the processing time of a request.
	WorkMillis int
	// ColdLimit is the maximum number of concurrent requests during a cold start.
	// One more makes the service crash.
	ColdLimit     int
	DownMillis    int
	LoadLagMillis int
	Faults        Faults

	mu          sync.Mutex
	runs        []Run
	running     int
	waiting     int
	slotFreed   chan struct{}
	crashes     int
	downUntil   time.Time
	loadHistory history[Load]
}

// Handler returns the handler of the service: GET /outcomes/{key}, GET /load, and
// any other path as a request to run.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /outcomes/{key}", s.serveOutcome)
	mux.HandleFunc("GET /load", s.serveLoad)
	mux.HandleFunc("/", s.serveWork)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isDown() {
			closeConnection()
		}
		mux.ServeHTTP(w, r)
	})
}

// Admin returns the handler for fault injection and for GET /runs.
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

// Crashes returns the number of crashes during a cold start.
func (s *Service) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

func (s *Service) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.downUntil)
}

// serveWork runs a request. The faults are checked in the order in which they take
// effect.
func (s *Service) serveWork(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if _, ok := s.Faults.trigger(FaultRefuse, r.URL.Path); ok {
		retryAfter(w, time.Second)
		writeError(w, http.StatusServiceUnavailable, "refused")
		return
	}
	s.Faults.applyConnectionFault(r, false)
	if !s.acquireSlot(r) {
		closeConnection()
	}
	defer s.releaseSlot()
	s.doWork(r)
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		s.Faults.applyConnectionFault(r, true)
		s.writeLookup(w, r)
		return
	}
	run := s.recordRun(r, body)
	s.Faults.applyConnectionFault(r, true)
	if fault, ok := s.Faults.trigger(FaultDelayResponse, r.URL.Path); ok {
		sleepUntilClosed(r, fault.delay())
	}
	if _, ok := s.Faults.trigger(FaultSwapResponse, r.URL.Path); ok {
		run = s.newestOtherRun(run)
	}
	w.Header().Set(AttemptHeader, run.Attempt)
	writeJSON(w, http.StatusOK, run)
}

func (s *Service) doWork(r *http.Request) {
	d := millis(s.WorkMillis, defaultWorkMillis)
	if fault, ok := s.Faults.trigger(FaultSlow, r.URL.Path); ok {
		d += fault.delay()
	}
	// The work continues even if the client disconnects.
	time.Sleep(d)
}

func (s *Service) recordRun(r *http.Request, body []byte) Run {
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

// newestOtherRun returns the newest other run, or a made-up one if there is none.
func (s *Service) newestOtherRun(run Run) Run {
	for _, other := range slices.Backward(s.Runs()) {
		if other.Number != run.Number {
			return other
		}
	}
	run.Attempt, run.Key = "crossed-"+run.Attempt, "crossed-"+run.Key
	return run
}

// Digest returns the xxHash of a body, in the format of Run.Digest.
func Digest(body []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(body))
}

func (s *Service) writeLookup(w http.ResponseWriter, r *http.Request) {
	attempt, path := r.Header.Get(AttemptHeader), r.URL.RequestURI()
	if fault, ok := s.Faults.trigger(FaultDelayResponse, r.URL.Path); ok {
		sleepUntilClosed(r, fault.delay())
	}
	if _, ok := s.Faults.trigger(FaultSwapResponse, r.URL.Path); ok {
		attempt, path = "crossed-"+attempt, path+"-crossed"
	}
	w.Header().Set(AttemptHeader, attempt)
	writeJSON(w, http.StatusOK, Lookup{Path: path, Value: LookupValue(path)})
}

// LookupValue returns the value in a service's response for a path with its query.
func LookupValue(path string) string {
	return hex.EncodeToString(strconv.AppendUint(nil, xxhash.Sum64String(path), 36))
}

func (s *Service) serveOutcome(w http.ResponseWriter, r *http.Request) {
	s.Faults.applyConnectionFault(r, false)
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
	s.Faults.applyConnectionFault(r, false)
	s.mu.Lock()
	now := time.Now()
	s.recordLoad(now)
	at := now.Add(-millis(s.LoadLagMillis, 0))
	report := s.loadHistory.at(at)
	s.mu.Unlock()
	report.AsOf, report.MaxRunning = at, cmp.Or(s.MaxRunning, defaultServiceMaxRunning)
	writeJSON(w, http.StatusOK, report)
}

// recordLoad adds the current load to the history. The caller must hold s.mu.
func (s *Service) recordLoad(now time.Time) {
	fault, _ := s.Faults.find(FaultCold)
	s.loadHistory.add(now, Load{
		Running: s.running,
		Waiting: s.waiting,
		Cold:    fault.Announced,
	})
}
