package hitchfake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const maxBodyBytes = 8 << 20

// AttemptHeader carries the ID of an attempt, in the request and its answer.
const AttemptHeader = "X-Attempt-Id"

// ChatHeader carries the ID of a chat.
const ChatHeader = "X-Chat-Id"

// PriorityHeader carries a request's priority, a number; higher goes first.
const PriorityHeader = "X-Priority"

// Problem is the body of an answer that reports an error in the stand-ins' own
// formats.
type Problem struct {
	Error string
}

func writeProblem(w http.ResponseWriter, status int, text string) {
	writeJSON(w, status, Problem{Error: text})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failure means that the caller has gone.
	_ = json.NewEncoder(w).Encode(body)
}

func readJSON(r *http.Request, body any) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read body: %w", err)
		}
	}()
	return json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxBodyBytes)).Decode(body)
}

// retryAfter sets the Retry-After header, in whole seconds rounded up.
func retryAfter(w http.ResponseWriter, wait time.Duration) {
	seconds := int64((wait + time.Second - 1) / time.Second)
	w.Header().Set("Retry-After", strconv.FormatInt(max(1, seconds), 10))
}

// cut breaks the connection of the request that is being served.
func cut() { panic(http.ErrAbortHandler) }

// silence holds a request without an answer until the caller goes away.
func silence(r *http.Request) {
	<-r.Context().Done()
	cut()
}

// pause waits for d or until the caller goes away.
func pause(r *http.Request, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}
