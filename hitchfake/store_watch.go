package hitchfake

import (
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// maxWatchWait is how long a watch waits for a change when there is no lease that
// could expire.
const maxWatchWait = time.Hour

// BreakWatches closes the connections of all waiting watches.
func (s *Store) BreakWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watchesClosed != nil {
		close(s.watchesClosed)
		s.watchesClosed = nil
	}
}

// watchSnapshot is the state of a watch at one point in time.
type watchSnapshot struct {
	result        etcdWatchResult
	changed       <-chan struct{}
	closed        <-chan struct{}
	faultsChanged <-chan struct{}
	nextExpiry    time.Time
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var request etcdWatchRequest
	if err == nil {
		err = json.Unmarshal(body, &request)
	}
	if err != nil || request.Create == nil {
		writeEtcdError(w, newEtcdError(codeInvalidArgument, "no create_request"))
		return
	}
	if etcdErr := s.checkLimits(&s.calls.Watch, false, r.URL.Path); etcdErr != nil {
		writeEtcdError(w, etcdErr)
		return
	}
	s.streamEvents(w, r, request.Create)
}

// streamEvents sends the events of a watch until the client disconnects, the
// watch's connection is closed or its start revision has been compacted.
func (s *Store) streamEvents(w http.ResponseWriter, r *http.Request, create *etcdWatchCreate) {
	controller := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	next, first := create.StartRevision, true
	for {
		snapshot := s.snapshotWatch(create, next)
		snapshot.faultsChanged = s.Faults.changedChannel()
		if _, ok := s.Faults.trigger(FaultUnavailable, r.URL.Path); ok {
			closeConnection()
		}
		s.Faults.applyConnectionFault(r, false)
		if first && next == 0 {
			// A watch without a start revision sends only later events.
			snapshot.result.Events = nil
		}
		snapshot.result.Created, first = first, false
		if snapshot.result.Created || snapshot.result.Canceled || len(snapshot.result.Events) > 0 {
			_ = encoder.Encode(etcdWatchResponse{Result: snapshot.result})
			_ = controller.Flush()
		}
		if snapshot.result.Canceled {
			return
		}
		next = snapshot.result.Header.Revision + 1
		if !snapshot.waitForChange(r) {
			closeConnection()
		}
	}
}

func (s *Store) snapshotWatch(create *etcdWatchCreate, from int64) watchSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kv.init()
	if s.kv.expireLeases(time.Now()) {
		s.notifyWatches()
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	if s.watchesClosed == nil {
		s.watchesClosed = make(chan struct{})
	}
	snapshot := watchSnapshot{changed: s.changed, closed: s.watchesClosed, nextExpiry: s.kv.nextExpiry()}
	snapshot.result.Header = s.kv.header()
	if from > 0 && from <= s.kv.compactedRevision {
		snapshot.result.Canceled, snapshot.result.CompactRevision = true, s.kv.compactedRevision
		return snapshot
	}
	for _, event := range s.kv.eventsFrom(from) {
		if inRange(string(event.KV.Key), string(create.Key), string(create.RangeEnd)) {
			snapshot.result.Events = append(snapshot.result.Events, event)
		}
	}
	return snapshot
}

// waitForChange waits until there may be new events. It reports false once the
// watch has ended.
func (s watchSnapshot) waitForChange(r *http.Request) bool {
	wait := maxWatchWait
	if !s.nextExpiry.IsZero() {
		wait = max(0, time.Until(s.nextExpiry))
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-s.changed:
		return true
	case <-s.faultsChanged:
		return true
	case <-timer.C:
		return true
	case <-s.closed:
		return false
	case <-r.Context().Done():
		return false
	}
}
