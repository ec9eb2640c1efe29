package hitchfake

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
)

// writeEvents sends the tokens from index from on as server-sent events. The ID of
// an event is the number of tokens up to and including its own.
func (e *Engine) writeEvents(w http.ResponseWriter, r *http.Request, s *stream, from int, faults connectionFaults) {
	faults.apply(r, 0)
	sleepUntilClosed(r, faults.responseDelay)
	controller := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set(AttemptHeader, s.responseAttempt)
	w.WriteHeader(http.StatusOK)
	sent := from
	for {
		_ = controller.Flush()
		snapshot := e.snapshotStream(s, sent)
		for _, token := range snapshot.tokens {
			faults.apply(r, sent-from)
			sent++
			response := s.newResponse("chat.completion.chunk")
			response.Choices = []Choice{{Delta: &Delta{Content: token}}}
			writeEvent(w, sent, response)
			_ = controller.Flush()
		}
		faults.apply(r, sent-from)
		switch {
		case snapshot.state == streamDone && sent >= len(s.tokens):
			writeStreamEnd(w, s, snapshot.usage)
			return
		case snapshot.state == streamCancelled || snapshot.state == streamAborted:
			closeConnection()
		case len(snapshot.tokens) == 0 && snapshot.waitForChange(r):
			_, _ = fmt.Fprint(w, ": heartbeat\n\n")
		}
	}
}

// writeStreamEnd sends the finish reason, the usage and the [DONE] marker.
func writeStreamEnd(w http.ResponseWriter, s *stream, usage *Usage) {
	response := s.newResponse("chat.completion.chunk")
	reason := s.finishReason()
	response.Choices = []Choice{{Delta: &Delta{}, FinishReason: &reason}}
	response.Usage = usage
	writeEvent(w, 0, response)
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	from := 0
	if last := r.Header.Get("Last-Event-ID"); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil || n < 0 {
			writeChatError(w, http.StatusBadRequest, errors.New("Last-Event-ID isn't a number of tokens"))
			return
		}
		from = n
	}
	faults := e.triggerConnectionFaults(r)
	s, ok := e.attachReader(r.PathValue("attempt"))
	if !ok {
		writeChatError(w, http.StatusNotFound, errors.New("no such stream"))
		return
	}
	defer e.detachReader(s)
	e.writeEvents(w, r, s, from, faults)
}

// attachReader returns the stream of an attempt and counts a further reader. It
// reports false if there is no such stream or it was cancelled.
func (e *Engine) attachReader(attempt string) (*stream, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[attempt]
	if !ok || s.state == streamCancelled {
		return nil, false
	}
	s.addReader()
	return s, true
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.Faults.applyConnectionFault(r, false)
	e.mu.Lock()
	s, ok := e.streams[r.PathValue("attempt")]
	if ok && !s.isEnded() {
		s.end(streamCancelled)
	}
	e.mu.Unlock()
	if !ok {
		writeChatError(w, http.StatusNotFound, errors.New("no such stream"))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
