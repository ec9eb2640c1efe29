package hitchapi

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchforward"
)

// heartbeatInterval is the interval at which heartbeats are sent on a stream
// without tokens, so that callers can detect a broken connection.
const heartbeatInterval = 2 * time.Second

// writeTimeout limits one write to a caller. Once a caller stops receiving, the
// send buffer of the connection fills up, and the next write fails after this
// time.
const writeTimeout = 10 * time.Second

// heartbeatComment is an SSE comment, which callers ignore.
var heartbeatComment = []byte(": heartbeat\n\n")

// eventWriter writes a response as server-sent events.
type eventWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController

	mu         sync.Mutex
	headerSent bool
	isEnded    bool
	lastWrite  time.Time
	buf        []byte
}

func newEventWriter(w http.ResponseWriter) *eventWriter {
	return &eventWriter{w: w, controller: http.NewResponseController(w)}
}

// writeHeader starts the response. It copies the attempt ID from the header of the
// endpoint's response.
func (e *eventWriter) writeHeader(endpointHeader http.Header) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if attempt := endpointHeader.Get(hitchforward.AttemptHeader); attempt != "" {
		e.w.Header().Set(hitchforward.AttemptHeader, attempt)
	}
	e.w.Header().Set("Content-Type", "text/event-stream")
	e.w.Header().Set("Cache-Control", "no-store")
	e.w.WriteHeader(http.StatusOK)
	e.headerSent = true
}

// writeEvent sends one event and flushes it.
func (e *eventWriter) writeEvent(event hitchforward.Event) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.buf = event.AppendTo(e.buf[:0])
	e.isEnded = event.Done()
	return e.writeAndFlush(e.buf)
}

func (e *eventWriter) writeAndFlush(p []byte) error {
	now := time.Now()
	e.lastWrite = now
	_ = e.controller.SetWriteDeadline(now.Add(writeTimeout))
	if _, err := e.w.Write(p); err != nil {
		return err
	}
	return e.controller.Flush()
}

// writeHeartbeat writes a comment if the stream has started, hasn't ended, and
// nothing was written for heartbeatInterval.
func (e *eventWriter) writeHeartbeat(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.headerSent || e.isEnded || now.Sub(e.lastWrite) < heartbeatInterval {
		return
	}
	_ = e.writeAndFlush(heartbeatComment)
}

// sendHeartbeats writes heartbeats until done is closed.
func (e *eventWriter) sendHeartbeats(done <-chan struct{}) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case now := <-ticker.C:
			e.writeHeartbeat(now)
		}
	}
}

// writeError ends a started stream with an error event. The caller then aborts the
// connection, so that no client takes the response for a complete one.
func (e *eventWriter) writeError(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	body, _ := json.Marshal(ProblemOf(err))
	e.buf = append(e.buf[:0], "event: error\ndata: "...)
	e.buf = append(e.buf, body...)
	e.buf = append(e.buf, '\n', '\n')
	_ = e.writeAndFlush(e.buf)
	e.isEnded = true
}

func (e *eventWriter) hasSentHeader() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.headerSent
}
