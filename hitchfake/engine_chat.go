package hitchfake

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// heartbeatPeriod is the time between comments on a stream that waits.
const heartbeatPeriod = 500 * time.Millisecond

// never is a number of tokens that no answer reaches.
const never = int(^uint(0) >> 1)

// connectionFaults is what strikes one connection to a stream.
type connectionFaults struct {
	silentAfter int // tokens
	cutAfter    int // tokens
	late        time.Duration
}

func (e *Engine) faultsOf(r *http.Request) connectionFaults {
	f := connectionFaults{silentAfter: never, cutAfter: never}
	if fault, ok := e.Faults.strike(FaultSilent, r.URL.Path); ok {
		f.silentAfter = fault.AfterTokens
	}
	if fault, ok := e.Faults.strike(FaultCut, r.URL.Path); ok {
		f.cutAfter = fault.AfterTokens
	}
	if fault, ok := e.Faults.strike(FaultLateAnswer, r.URL.Path); ok {
		f.late = fault.delay()
	}
	return f
}

// strike applies the faults that are due after a number of tokens.
func (f connectionFaults) strike(r *http.Request, sent int) {
	if sent >= f.cutAfter {
		cut()
	}
	if sent >= f.silentAfter {
		silence(r)
	}
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var body ChatRequest
	if err := readJSON(r, &body); err != nil {
		writeChatProblem(w, http.StatusBadRequest, err)
		return
	}
	if _, ok := e.Faults.strike(FaultRefuse, r.URL.Path); ok {
		retryAfter(w, time.Second)
		writeChatProblem(w, http.StatusServiceUnavailable, errors.New("refused"))
		return
	}
	s := e.newStream(r, body)
	if err := e.submit(s); err != nil {
		e.refuse(w, err)
		return
	}
	defer e.detach(s)
	faults := e.faultsOf(r)
	if body.Stream {
		e.writeEvents(w, r, s, 0, faults)
	} else {
		e.writeWhole(w, r, s, faults)
	}
}

func (e *Engine) refuse(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, errFellOver):
		cut()
	case errors.Is(err, errEngineFull):
		retryAfter(w, time.Second)
		writeChatProblem(w, http.StatusTooManyRequests, err)
	case errors.Is(err, errNoModel):
		writeChatProblem(w, http.StatusNotFound, err)
	default:
		writeChatProblem(w, http.StatusConflict, err)
	}
}

func (e *Engine) newStream(r *http.Request, body ChatRequest) *stream {
	s := &stream{
		attempt: r.Header.Get(AttemptHeader),
		chat:    r.Header.Get(ChatHeader),
		version: r.Header.Get(VersionHeader),
		request: body,
		tokens:  answerTokens(body),
		created: time.Now(),
	}
	if s.chat == "" {
		s.chat = body.PromptCacheKey
	}
	if s.attempt == "" {
		s.attempt = fmt.Sprintf("unnamed-%d", e.unnamed.Add(1))
	}
	s.priority, _ = strconv.Atoi(r.Header.Get(PriorityHeader))
	for _, m := range body.Messages {
		s.prompt += countTokens(m.Content)
	}
	s.shown = s.attempt
	if _, ok := e.Faults.strike(FaultCrossed, r.URL.Path); ok {
		e.cross(s)
	}
	return s
}

// cross gives a stream the attempt ID and the answer of the newest other one, or
// of a made-up one.
func (e *Engine) cross(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var newest *stream
	for _, other := range e.streams {
		if newest == nil || other.number > newest.number {
			newest = other
		}
	}
	if newest != nil {
		s.shown, s.tokens = newest.attempt, newest.tokens
		return
	}
	stranger := ChatRequest{Model: s.request.Model, Messages: []Message{{Content: "another caller's question"}}}
	s.shown, s.tokens = "crossed-"+s.attempt, answerTokens(stranger)
}

func (e *Engine) detach(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.detach(time.Now())
}

// streamView is what a reader sees of a stream at one time.
type streamView struct {
	tokens  []string
	state   streamState
	usage   *Usage
	changed <-chan struct{}
}

func (e *Engine) view(s *stream, from int) streamView {
	e.mu.Lock()
	defer e.mu.Unlock()
	return streamView{
		tokens:  s.tokens[min(from, s.made):s.made],
		state:   s.state,
		usage:   s.usage(),
		changed: s.changed,
	}
}

// await waits until a stream changes and reports whether a heartbeat is due.
func (v streamView) await(r *http.Request) (heartbeat bool) {
	timer := time.NewTimer(heartbeatPeriod)
	defer timer.Stop()
	select {
	case <-v.changed:
		return false
	case <-timer.C:
		return true
	case <-r.Context().Done():
		cut()
		return false
	}
}

// writeWhole answers once the stream has ended.
func (e *Engine) writeWhole(w http.ResponseWriter, r *http.Request, s *stream, faults connectionFaults) {
	for {
		v := e.view(s, 0)
		faults.strike(r, len(v.tokens))
		switch v.state {
		case streamDone:
			pause(r, faults.late)
			w.Header().Set(AttemptHeader, s.shown)
			answer := s.answer("chat.completion")
			reason := s.finishReason()
			message := &Message{Role: "assistant", Content: strings.Join(v.tokens, "")}
			answer.Choices = []Choice{{Message: message, FinishReason: &reason}}
			answer.Usage = v.usage
			writeJSON(w, http.StatusOK, answer)
			return
		case streamCancelled, streamBroken:
			cut()
		}
		v.await(r)
	}
}

func (s *stream) answer(object string) ChatAnswer {
	return ChatAnswer{
		ID:      "chatcmpl-" + s.shown,
		Object:  object,
		Created: s.created.Unix(),
		Model:   s.request.Model,
	}
}

func writeChatProblem(w http.ResponseWriter, status int, err error) {
	problem := ChatError{Message: err.Error(), Type: "invalid_request_error"}
	if status >= http.StatusTooManyRequests {
		problem.Type = "server_error"
	}
	writeJSON(w, status, ChatProblem{Error: problem})
}

func writeEvent(w http.ResponseWriter, id int, answer ChatAnswer) {
	text, err := json.Marshal(answer)
	if err != nil {
		cut()
	}
	if id > 0 {
		_, _ = fmt.Fprintf(w, "id: %d\n", id)
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", text)
}
