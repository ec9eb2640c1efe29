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

// heartbeatInterval is the time between comments on a stream without new tokens.
const heartbeatInterval = 500 * time.Millisecond

// noLimit is a number of tokens that no response reaches.
const noLimit = int(^uint(0) >> 1)

// connectionFaults are the faults that apply to one connection to a stream.
type connectionFaults struct {
	hangAfter       int // tokens
	disconnectAfter int // tokens
	responseDelay   time.Duration
}

func (e *Engine) triggerConnectionFaults(r *http.Request) connectionFaults {
	f := connectionFaults{hangAfter: noLimit, disconnectAfter: noLimit}
	if fault, ok := e.Faults.trigger(FaultHang, r.URL.Path); ok {
		f.hangAfter = fault.AfterTokens
	}
	if fault, ok := e.Faults.trigger(FaultDisconnect, r.URL.Path); ok {
		f.disconnectAfter = fault.AfterTokens
	}
	if fault, ok := e.Faults.trigger(FaultDelayResponse, r.URL.Path); ok {
		f.responseDelay = fault.delay()
	}
	return f
}

// apply closes or stalls the connection if a fault does so after this number of
// sent tokens.
func (f connectionFaults) apply(r *http.Request, sent int) {
	if sent >= f.disconnectAfter {
		closeConnection()
	}
	if sent >= f.hangAfter {
		hangUntilClosed(r)
	}
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var body ChatRequest
	if err := readJSON(r, &body); err != nil {
		writeChatError(w, http.StatusBadRequest, err)
		return
	}
	if _, ok := e.Faults.trigger(FaultRefuse, r.URL.Path); ok {
		retryAfter(w, time.Second)
		w.Header().Set(AttemptHeader, r.Header.Get(AttemptHeader))
		writeChatError(w, http.StatusServiceUnavailable, errors.New("refused"))
		return
	}
	s := e.newStream(r, body)
	if err := e.submit(s); err != nil {
		e.writeSubmitError(w, err)
		return
	}
	defer e.detachReader(s)
	faults := e.triggerConnectionFaults(r)
	if body.Stream {
		e.writeEvents(w, r, s, 0, faults)
	} else {
		e.writeComplete(w, r, s, faults)
	}
}

func (e *Engine) writeSubmitError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, errCrashed):
		closeConnection()
	case errors.Is(err, errEngineFull):
		retryAfter(w, time.Second)
		writeChatError(w, http.StatusTooManyRequests, err)
	case errors.Is(err, errModelNotLoaded):
		writeChatError(w, http.StatusNotFound, err)
	default:
		writeChatError(w, http.StatusConflict, err)
	}
}

func (e *Engine) newStream(r *http.Request, body ChatRequest) *stream {
	s := &stream{
		attempt: r.Header.Get(AttemptHeader),
		chat:    r.Header.Get(ChatHeader),
		version: r.Header.Get(VersionHeader),
		request: body,
		tokens:  responseTokens(body),
		created: time.Now(),
	}
	if s.chat == "" {
		s.chat = body.PromptCacheKey
	}
	if s.attempt == "" {
		s.attempt = fmt.Sprintf("unnamed-%d", e.anonymousStreams.Add(1))
	}
	s.priority, _ = strconv.Atoi(r.Header.Get(PriorityHeader))
	for _, m := range body.Messages {
		s.promptTokens += countTokens(m.Content)
	}
	s.responseAttempt = s.attempt
	if _, ok := e.Faults.trigger(FaultSwapResponse, r.URL.Path); ok {
		e.swapResponse(s)
	}
	return s
}

// swapResponse gives a stream the attempt ID and the response of the newest other
// stream, or made-up ones if there is no other stream.
func (e *Engine) swapResponse(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var newest *stream
	for _, other := range e.streams {
		if newest == nil || other.number > newest.number {
			newest = other
		}
	}
	if newest != nil {
		s.responseAttempt, s.tokens = newest.attempt, newest.tokens
		return
	}
	otherRequest := ChatRequest{Model: s.request.Model, Messages: []Message{{Content: "another caller's question"}}}
	s.responseAttempt, s.tokens = "crossed-"+s.attempt, responseTokens(otherRequest)
}

func (e *Engine) detachReader(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.removeReader(time.Now())
}

// streamSnapshot is the state of a stream at one point in time.
type streamSnapshot struct {
	tokens  []string
	state   streamState
	usage   *Usage
	changed <-chan struct{}
}

func (e *Engine) snapshotStream(s *stream, from int) streamSnapshot {
	e.mu.Lock()
	defer e.mu.Unlock()
	return streamSnapshot{
		tokens:  s.tokens[min(from, s.generated):s.generated],
		state:   s.state,
		usage:   s.usage(),
		changed: s.changed,
	}
}

// waitForChange waits until the stream changes or a heartbeat is due, and reports
// whether a heartbeat is due.
func (s streamSnapshot) waitForChange(r *http.Request) (heartbeat bool) {
	timer := time.NewTimer(heartbeatInterval)
	defer timer.Stop()
	select {
	case <-s.changed:
		return false
	case <-timer.C:
		return true
	case <-r.Context().Done():
		closeConnection()
		return false
	}
}

// writeComplete writes the complete response once the stream has ended.
func (e *Engine) writeComplete(w http.ResponseWriter, r *http.Request, s *stream, faults connectionFaults) {
	for {
		snapshot := e.snapshotStream(s, 0)
		faults.apply(r, len(snapshot.tokens))
		switch snapshot.state {
		case streamDone:
			sleepUntilClosed(r, faults.responseDelay)
			w.Header().Set(AttemptHeader, s.responseAttempt)
			response := s.newResponse("chat.completion")
			reason := s.finishReason()
			message := &Message{Role: "assistant", Content: strings.Join(snapshot.tokens, "")}
			response.Choices = []Choice{{Message: message, FinishReason: &reason}}
			response.Usage = snapshot.usage
			writeJSON(w, http.StatusOK, response)
			return
		case streamCancelled, streamAborted:
			closeConnection()
		}
		snapshot.waitForChange(r)
	}
}

func (s *stream) newResponse(object string) ChatResponse {
	return ChatResponse{
		ID:      "chatcmpl-" + s.responseAttempt,
		Object:  object,
		Created: s.created.Unix(),
		Model:   s.request.Model,
	}
}

func writeChatError(w http.ResponseWriter, status int, err error) {
	chatErr := ChatError{Message: err.Error(), Type: "invalid_request_error"}
	if status >= http.StatusTooManyRequests {
		chatErr.Type = "server_error"
	}
	writeJSON(w, status, ChatErrorResponse{Error: chatErr})
}

func writeEvent(w http.ResponseWriter, id int, response ChatResponse) {
	text, err := json.Marshal(response)
	if err != nil {
		closeConnection()
	}
	if id > 0 {
		_, _ = fmt.Fprintf(w, "id: %d\n", id)
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", text)
}
