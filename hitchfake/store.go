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

	// The gRPC status codes in error responses.
	codeInvalidArgument   = 3
	codeNotFound          = 5
	codeResourceExhausted = 8
	codeUnavailable       = 14
)

var httpStatuses = map[int]int{
	codeInvalidArgument:   http.StatusBadRequest,
	codeNotFound:          http.StatusNotFound,
	codeResourceExhausted: http.StatusTooManyRequests,
	codeUnavailable:       http.StatusServiceUnavailable,
}

func newEtcdError(code int, text string) *etcdError {
	return &etcdError{Error: text, Message: text, Code: code}
}

func leaseNotFound() *etcdError {
	return newEtcdError(codeNotFound, "etcdserver: requested lease not found")
}

// Store is a fake of the platform's key-value service. It implements a
// part of the JSON gateway of etcd v3, and limits the size of values and the rates
// of reads and writes.
//
//	var store hitchfake.Store
//	server := httptest.NewServer(store.Handler())
//	defer server.Close()
type Store struct {
	WritesPerSecond float64
	ReadsPerSecond  float64
	Faults          Faults

	mu            sync.Mutex
	kv            keyValues
	calls         StoreCalls
	writes        *rate.Limiter
	reads         *rate.Limiter
	changed       chan struct{}
	watchesClosed chan struct{} // closed by BreakWatches
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
	// Refused counts calls above the rate limits. They are counted by kind as well.
	Refused int
}

// storeCall executes one call. The caller must hold the store's mu.
type storeCall func(body []byte) (response any, etcdErr *etcdError)

// Handler returns the handler of the key-value service's API.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", s.handleCall(&s.calls.Range, false, s.callRange))
	mux.HandleFunc("POST /v3/kv/put", s.handleCall(&s.calls.Put, true, s.callPut))
	mux.HandleFunc("POST /v3/kv/txn", s.handleCall(&s.calls.Txn, true, s.callTxn))
	mux.HandleFunc("POST /v3/kv/deleterange", s.handleCall(&s.calls.DeleteRange, true, s.callDelete))
	mux.HandleFunc("POST /v3/lease/grant", s.handleCall(&s.calls.LeaseGrant, true, s.callGrant))
	mux.HandleFunc("POST /v3/lease/keepalive", s.handleCall(&s.calls.LeaseKeepAlive, true, s.callKeepAlive))
	mux.HandleFunc("POST /v3/lease/revoke", s.handleCall(&s.calls.LeaseRevoke, true, s.callRevoke))
	mux.HandleFunc("POST /v3/watch", s.serveWatch)
	return mux
}

// Admin returns the handler for fault injection, GET /calls, POST /compact and
// POST /watches/break.
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

// Compact deletes the events so far, so that watches can no longer start from them.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kv.init()
	s.kv.compact(s.kv.revision)
}

// handleCall returns the handler of a call: it checks the limits, applies the
// faults and executes the call.
func (s *Store) handleCall(count *int, write bool, call storeCall) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			writeEtcdError(w, newEtcdError(codeInvalidArgument, err.Error()))
			return
		}
		if etcdErr := s.checkLimits(count, write, r.URL.Path); etcdErr != nil {
			writeEtcdError(w, etcdErr)
			return
		}
		s.Faults.applyConnectionFault(r, false)
		if fault, ok := s.Faults.trigger(FaultDelayWrite, r.URL.Path); ok {
			time.AfterFunc(fault.delay(), func() { s.execute(call, body) })
			closeConnection()
		}
		if fault, ok := s.Faults.trigger(FaultSlow, r.URL.Path); ok {
			// The call is executed even if the client disconnects meanwhile.
			time.Sleep(fault.delay())
		}
		response, etcdErr := s.execute(call, body)
		if fault, ok := s.Faults.trigger(FaultDropResponses, r.URL.Path); ok {
			if fault.Millis == 0 {
				hangUntilClosed(r)
			}
			sleepUntilClosed(r, fault.delay())
			closeConnection()
		}
		if etcdErr != nil {
			writeEtcdError(w, etcdErr)
			return
		}
		writeJSON(w, http.StatusOK, response)
	}
}

// checkLimits counts a call, and returns an error above the rate limits or while a
// FaultUnavailable applies.
func (s *Store) checkLimits(count *int, write bool, path string) *etcdError {
	if _, ok := s.Faults.trigger(FaultUnavailable, path); ok {
		return newEtcdError(codeUnavailable, "the service is unavailable")
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
		return newEtcdError(codeResourceExhausted, "etcdserver: too many requests")
	}
	return nil
}

func (s *Store) execute(call storeCall, body []byte) (response any, etcdErr *etcdError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kv.init()
	before := s.kv.revision
	s.kv.expireLeases(time.Now())
	response, etcdErr = call(body)
	if s.kv.revision != before {
		s.kv.compactIfFull()
		s.notifyWatches()
	}
	return response, etcdErr
}

// notifyWatches wakes up the watches. The caller must hold s.mu.
func (s *Store) notifyWatches() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

func writeEtcdError(w http.ResponseWriter, etcdErr *etcdError) {
	writeJSON(w, httpStatuses[etcdErr.Code], etcdErr)
}

// decode parses the JSON body of a call.
func decode(body []byte, request any) *etcdError {
	if err := json.Unmarshal(body, request); err != nil {
		return newEtcdError(codeInvalidArgument, err.Error())
	}
	return nil
}
