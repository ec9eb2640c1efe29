package hitchfake

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	defaultWritesPerSecond = 500
	defaultReadsPerSecond  = 2000
	maxValueBytes          = 1 << 20

	// The gRPC status codes that the store answers with.
	codeInvalidArgument   = 3
	codeNotFound          = 5
	codeResourceExhausted = 8
	codeUnavailable       = 14
)

var statusOfCode = map[int]int{
	codeInvalidArgument:   http.StatusBadRequest,
	codeNotFound:          http.StatusNotFound,
	codeResourceExhausted: http.StatusTooManyRequests,
	codeUnavailable:       http.StatusServiceUnavailable,
}

func problemOf(code int, text string) *etcdProblem {
	return &etcdProblem{Error: text, Message: text, Code: code}
}

func leaseNotFound() *etcdProblem {
	return problemOf(codeNotFound, "etcdserver: requested lease not found")
}

// Store is a stand-in for the platform's key-value service. It speaks a part of
// the JSON gateway of etcd v3, and is small: it limits the size of values and
// the rates of reads and writes.
//
//	var store hitchfake.Store
//	server := httptest.NewServer(store.Handler())
//	defer server.Close()
type Store struct {
	WritesPerSecond float64
	ReadsPerSecond  float64
	Faults          Faults

	mu      sync.Mutex
	kv      keyValues
	calls   StoreCalls
	writes  *rate.Limiter
	reads   *rate.Limiter
	changed chan struct{}
	broken  chan struct{} // closed when watches are broken
}

// StoreCalls counts calls by kind. A watch counts once, when it starts.
type StoreCalls struct {
	Range          int
	Put            int
	Txn            int
	DeleteRange    int
	LeaseGrant     int
	LeaseKeepAlive int
	LeaseRevoke    int
	Watch          int
	// Refused counts calls above the rates. They are counted by kind as well.
	Refused int
}

// storeCall does the work of one call under the store's lock.
type storeCall func(body []byte) (answer any, problem *etcdProblem)

// Handler serves the key-value service.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", s.serve(&s.calls.Range, false, s.callRange))
	mux.HandleFunc("POST /v3/kv/put", s.serve(&s.calls.Put, true, s.callPut))
	mux.HandleFunc("POST /v3/kv/txn", s.serve(&s.calls.Txn, true, s.callTxn))
	mux.HandleFunc("POST /v3/kv/deleterange", s.serve(&s.calls.DeleteRange, true, s.callDelete))
	mux.HandleFunc("POST /v3/lease/grant", s.serve(&s.calls.LeaseGrant, true, s.callGrant))
	mux.HandleFunc("POST /v3/lease/keepalive", s.serve(&s.calls.LeaseKeepAlive, true, s.callKeepAlive))
	mux.HandleFunc("POST /v3/lease/revoke", s.serve(&s.calls.LeaseRevoke, true, s.callRevoke))
	mux.HandleFunc("POST /v3/watch", s.serveWatch)
	return mux
}

// Admin serves the faults, GET /calls, POST /compact and POST /watches/break.
func (s *Store) Admin() http.Handler {
	mux := http.NewServeMux()
	s.Faults.register(mux)
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Calls())
	})
	mux.HandleFunc("POST /compact", func(w http.ResponseWriter, _ *http.Request) {
		s.Compact()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /watches/break", func(w http.ResponseWriter, _ *http.Request) {
		s.BreakWatches()
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// Calls returns the number of calls so far.
func (s *Store) Calls() StoreCalls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Compact forgets the events so far, so that watches can't start before them.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kv.prepare()
	s.kv.compact(s.kv.revision)
}

// serve runs a call with the faults that strike it.
func (s *Store) serve(count *int, write bool, call storeCall) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			writeEtcdProblem(w, problemOf(codeInvalidArgument, err.Error()))
			return
		}
		if problem := s.admit(count, write, r.URL.Path); problem != nil {
			writeEtcdProblem(w, problem)
			return
		}
		s.Faults.breakOff(r, false)
		if fault, ok := s.Faults.strike(FaultLateWrite, r.URL.Path); ok {
			time.AfterFunc(fault.delay(), func() { s.run(call, body) })
			cut()
		}
		if fault, ok := s.Faults.strike(FaultSlow, r.URL.Path); ok {
			// The call is done even if the caller goes away meanwhile.
			time.Sleep(fault.delay())
		}
		answer, problem := s.run(call, body)
		if fault, ok := s.Faults.strike(FaultLoseAnswers, r.URL.Path); ok {
			if fault.Millis == 0 {
				silence(r)
			}
			pause(r, fault.delay())
			cut()
		}
		if problem != nil {
			writeEtcdProblem(w, problem)
			return
		}
		writeJSON(w, http.StatusOK, answer)
	}
}

// admit counts a call and refuses it above the rates or in an outage.
func (s *Store) admit(count *int, write bool, path string) *etcdProblem {
	if _, ok := s.Faults.strike(FaultOut, path); ok {
		return problemOf(codeUnavailable, "the service is out")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	*count++
	if s.writes == nil {
		writes := cmp.Or(s.WritesPerSecond, defaultWritesPerSecond)
		reads := cmp.Or(s.ReadsPerSecond, defaultReadsPerSecond)
		s.writes = rate.NewLimiter(rate.Limit(writes), max(1, int(writes)))
		s.reads = rate.NewLimiter(rate.Limit(reads), max(1, int(reads)))
	}
	limiter := s.reads
	if write {
		limiter = s.writes
	}
	if !limiter.Allow() {
		s.calls.Refused++
		return problemOf(codeResourceExhausted, "etcdserver: too many requests")
	}
	return nil
}

func (s *Store) run(call storeCall, body []byte) (answer any, problem *etcdProblem) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kv.prepare()
	before := s.kv.revision
	s.kv.expire(time.Now())
	answer, problem = call(body)
	if s.kv.revision != before {
		s.kv.trim()
		s.wake()
	}
	return answer, problem
}

// wake lets watches look again. It needs the lock.
func (s *Store) wake() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

func writeEtcdProblem(w http.ResponseWriter, problem *etcdProblem) {
	writeJSON(w, statusOfCode[problem.Code], problem)
}

// decode reads the JSON of a call.
func decode(body []byte, request any) *etcdProblem {
	if err := json.Unmarshal(body, request); err != nil {
		return problemOf(codeInvalidArgument, err.Error())
	}
	return nil
}
