package hitchfake

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
)

// writeEvents streams the tokens after the first from as server-sent events.
// The id line of an event is the number of tokens up to and with it.
func (e *Engine) writeEvents(w http.ResponseWriter, r *http.Request, s *stream, from int, faults connectionFaults) {
	faults.strike(r, 0)
	pause(r, faults.late)
	controller := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set(AttemptHeader, s.shown)
	w.WriteHeader(http.StatusOK)
	sent := from
	for {
		_ = controller.Flush()
		v := e.view(s, sent)
		for _, token := range v.tokens {
			faults.strike(r, sent-from)
			sent++
			answer := s.answer("chat.completion.chunk")
			answer.Choices = []Choice{{Delta: &Delta{Content: token}}}
			writeEvent(w, sent, answer)
			_ = controller.Flush()
		}
		faults.strike(r, sent-from)
		switch {
		case v.state == streamDone && sent >= len(s.tokens):
			writeEnd(w, s, v.usage)
			return
		case v.state == streamCancelled || v.state == streamBroken:
			cut()
		case len(v.tokens) == 0 && v.await(r):
			_, _ = fmt.Fprint(w, ": heartbeat\n\n")
		}
	}
}

// writeEnd ends a stream of events with the reason, the usage and the mark of
// the end.
func writeEnd(w http.ResponseWriter, s *stream, usage *Usage) {
	answer := s.answer("chat.completion.chunk")
	reason := s.finishReason()
	answer.Choices = []Choice{{Delta: &Delta{}, FinishReason: &reason}}
	answer.Usage = usage
	writeEvent(w, 0, answer)
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	from := 0
	if last := r.Header.Get("Last-Event-ID"); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil || n < 0 {
			writeChatProblem(w, http.StatusBadRequest, errors.New("Last-Event-ID is no number of tokens"))
			return
		}
		from = n
	}
	faults := e.faultsOf(r)
	s, ok := e.find(r.PathValue("attempt"))
	if !ok {
		writeChatProblem(w, http.StatusNotFound, errors.New("no such stream"))
		return
	}
	defer e.detach(s)
	e.writeEvents(w, r, s, from, faults)
}

// find attaches a reader to a stream.
func (e *Engine) find(attempt string) (*stream, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[attempt]
	if !ok || s.state == streamCancelled {
		return nil, false
	}
	s.attach()
	return s, true
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.Faults.breakOff(r, false)
	e.mu.Lock()
	s, ok := e.streams[r.PathValue("attempt")]
	if ok && !s.ended() {
		s.end(streamCancelled)
	}
	e.mu.Unlock()
	if !ok {
		writeChatProblem(w, http.StatusNotFound, errors.New("no such stream"))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
