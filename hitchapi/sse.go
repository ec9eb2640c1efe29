package hitchapi

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchforward"
)

// heartbeatEvery is how often a stream without tokens shows that it lives.
const heartbeatEvery = 2 * time.Second

// writeLimit bounds one write to a caller. A connection that has gone silent
// fills its buffers, and then its writes fail here.
const writeLimit = 10 * time.Second

// heartbeatComment is a comment line of a stream, which callers skip.
var heartbeatComment = []byte(": heartbeat\n\n")

// eventWriter writes a streamed answer to a caller.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController

	mu      sync.Mutex
	started bool
	ended   bool
	wrote   time.Time
	buf     []byte
}

func newEventWriter(w http.ResponseWriter) *eventWriter {
	return &eventWriter{w: w, control: http.NewResponseController(w)}
}

// head sends the answer's header.
func (e *eventWriter) head(from http.Header) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if attempt := from.Get(hitchforward.AttemptHeader); attempt != "" {
		e.w.Header().Set(hitchforward.AttemptHeader, attempt)
	}
	e.w.Header().Set("Content-Type", "text/event-stream")
	e.w.Header().Set("Cache-Control", "no-store")
	e.w.WriteHeader(http.StatusOK)
	e.started = true
}

// deliver sends one event at once.
func (e *eventWriter) deliver(event hitchforward.Event) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.buf = event.AppendTo(e.buf[:0])
	e.ended = event.Done()
	return e.write(e.buf)
}

func (e *eventWriter) write(p []byte) error {
	now := time.Now()
	e.wrote = now
	_ = e.control.SetWriteDeadline(now.Add(writeLimit))
	if _, err := e.w.Write(p); err != nil {
		return err
	}
	return e.control.Flush()
}

// heartbeat writes a comment if the stream has begun and nothing was written
// for a while.
func (e *eventWriter) heartbeat(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.started || e.ended || now.Sub(e.wrote) < heartbeatEvery {
		return
	}
	_ = e.write(heartbeatComment)
}

// keepAlive writes heartbeats until done is closed.
func (e *eventWriter) keepAlive(done <-chan struct{}) {
	ticker := time.NewTicker(heartbeatEvery)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case now := <-ticker.C:
			e.heartbeat(now)
		}
	}
}

// fail ends a stream that has begun with an error event. The connection is
// broken after it, so that no reader takes the answer for a whole one.
func (e *eventWriter) fail(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	body, _ := json.Marshal(ProblemOf(err))
	e.buf = append(e.buf[:0], "event: error\ndata: "...)
	e.buf = append(e.buf, body...)
	e.buf = append(e.buf, '\n', '\n')
	_ = e.write(e.buf)
	e.ended = true
}

func (e *eventWriter) hasStarted() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.started
}
