package hitchfake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const maxBodyBytes = 8 << 20

// AttemptHeader carries the ID of an attempt, in the request and in its response.
const AttemptHeader = "X-Attempt-Id"

// ChatHeader carries the ID of a chat.
const ChatHeader = "X-Chat-Id"

// PriorityHeader carries a request's priority, a number. Higher priorities are
// served first.
const PriorityHeader = "X-Priority"

// ErrorResponse is the body of an error response, except in the chat completions
// API and in the etcd API.
type ErrorResponse struct {
	Error string
}

func writeError(w http.ResponseWriter, status int, text string) {
	writeJSON(w, status, ErrorResponse{Error: text})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has disconnected.
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

// retryAfter sets the Retry-After header in seconds, rounded up.
func retryAfter(w http.ResponseWriter, wait time.Duration) {
	seconds := int64((wait + time.Second - 1) / time.Second)
	w.Header().Set("Retry-After", strconv.FormatInt(max(1, seconds), 10))
}

// closeConnection closes the connection of the current request. It doesn't return:
// it panics with http.ErrAbortHandler.
func closeConnection() { panic(http.ErrAbortHandler) }

// hangUntilClosed sends nothing until the client disconnects, and then ends the
// request like closeConnection.
func hangUntilClosed(r *http.Request) {
	<-r.Context().Done()
	closeConnection()
}

// sleepUntilClosed waits for d or until the client disconnects.
func sleepUntilClosed(r *http.Request, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}
