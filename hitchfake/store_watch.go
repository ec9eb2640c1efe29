package hitchfake

import (
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// idleWait is how long a watch sleeps while no lease is going to expire.
const idleWait = time.Hour

// BreakWatches breaks the connections of all waiting watches.
func (s *Store) BreakWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken != nil {
		close(s.broken)
		s.broken = nil
	}
}

// watchView is what a watch sees at one time.
type watchView struct {
	result  etcdWatchResult
	changed <-chan struct{}
	broken  <-chan struct{}
	faults  <-chan struct{}
	expiry  time.Time
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var request etcdWatchRequest
	if err == nil {
		err = json.Unmarshal(body, &request)
	}
	if err != nil || request.Create == nil {
		writeEtcdProblem(w, problemOf(codeInvalidArgument, "no create_request"))
		return
	}
	if problem := s.admit(&s.calls.Watch, false, r.URL.Path); problem != nil {
		writeEtcdProblem(w, problem)
		return
	}
	s.stream(w, r, request.Create)
}

// stream sends the events of a watch until the caller goes away, the watch is
// broken or its start has been compacted.
func (s *Store) stream(w http.ResponseWriter, r *http.Request, create *etcdWatchCreate) {
	controller := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	next, first := create.StartRevision, true
	for {
		v := s.viewWatch(create, next)
		v.faults = s.Faults.changes()
		if _, ok := s.Faults.strike(FaultOut, r.URL.Path); ok {
			cut()
		}
		s.Faults.breakOff(r, false)
		if first && next == 0 {
			// Without a start, a watch tells of what comes after it.
			v.result.Events = nil
		}
		v.result.Created, first = first, false
		if v.result.Created || v.result.Canceled || len(v.result.Events) > 0 {
			_ = encoder.Encode(etcdWatchResponse{Result: v.result})
			_ = controller.Flush()
		}
		if v.result.Canceled {
			return
		}
		next = v.result.Header.Revision + 1
		if !v.await(r) {
			cut()
		}
	}
}

func (s *Store) viewWatch(create *etcdWatchCreate, from int64) watchView {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kv.prepare()
	if s.kv.expire(time.Now()) {
		s.wake()
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	if s.broken == nil {
		s.broken = make(chan struct{})
	}
	v := watchView{changed: s.changed, broken: s.broken, expiry: s.kv.nextExpiry()}
	v.result.Header = s.kv.header()
	if from > 0 && from <= s.kv.compacted {
		v.result.Canceled, v.result.CompactRevision = true, s.kv.compacted
		return v
	}
	for _, event := range s.kv.eventsFrom(from) {
		if inRange(string(event.KV.Key), string(create.Key), string(create.RangeEnd)) {
			v.result.Events = append(v.result.Events, event)
		}
	}
	return v
}

// await waits until there may be something new; it fails once the watch is over.
func (v watchView) await(r *http.Request) bool {
	wait := idleWait
	if !v.expiry.IsZero() {
		wait = max(0, time.Until(v.expiry))
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-v.changed:
		return true
	case <-v.faults:
		return true
	case <-timer.C:
		return true
	case <-v.broken:
		return false
	case <-r.Context().Done():
		return false
	}
}
