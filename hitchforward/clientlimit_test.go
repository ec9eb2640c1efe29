package hitchforward

import (
	"errors"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchconn"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// TestClientLimitsHead covers the API's endpoints whose header has no end.
func TestClientLimitsHead(t *testing.T) {
	tests := map[string]struct{ start, unit string }{
		"status line":       {"HTTP/1.1 200 ", "a"},
		"header line":       {"HTTP/1.1 200 OK\r\nA: ", "a"},
		"header lines":      {"HTTP/1.1 200 OK\r\n", "A: a\r\n"},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\nA: a\r\n\r\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			addr, closed := startEndlessEndpoint(t, test.start, test.unit)
			var client Client
			var tracker hitchoutcome.DispatchTracker
			before := allocatedBytes()
			_, err := client.Do(t.Context(), Call{Method: http.MethodGet, Path: "/", Idempotent: true}, hitchfleet.Endpoint{ID: "e", URL: "http://" + addr}, &tracker)
			allocated := allocatedBytes() - before
			var f *Failure
			qt.Assert(t, errors.As(err, &f), qt.IsTrue)
			qt.Assert(t, f.MayRetry(), qt.IsTrue)
			qt.Assert(t, allocated < maxEndlessAllocBytes, qt.IsTrue, qt.Commentf("%d bytes", allocated))
			<-closed
		})
	}
}

// TestClientFailsOnInvalidStatus covers statuses with which net/http's server panics.
func TestClientFailsOnInvalidStatus(t *testing.T) {
	for _, status := range []string{"020", "101", "600"} {
		t.Run(status, func(t *testing.T) {
			e := startTestEndpoint(t, func(_ int64, r *http.Request) (string, bool) {
				return "HTTP/1.1 " + status + " X\r\nX-Attempt-Id: " + r.Header.Get(AttemptHeader) + "\r\nContent-Length: 2\r\n\r\nok", true
			})
			var client Client
			var tracker hitchoutcome.DispatchTracker
			_, err := client.Do(t.Context(), Call{Method: http.MethodGet, Path: "/"}, hitchfleet.Endpoint{ID: "e", URL: "http://" + e.addr}, &tracker)
			qt.Assert(t, err, qt.ErrorIs, hitchconn.ErrInvalidStatus)
		})
	}
}

// TestClientLimitsBody covers the API's endpoints whose body has no end.
func TestClientLimitsBody(t *testing.T) {
	tests := map[string]string{
		"until the close": "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\n\r\n",
		"declared length": "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nContent-Length: 1000000000000\r\n\r\n",
		"one chunk":       "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\nffffffffff\r\n",
	}
	for name, start := range tests {
		t.Run(name, func(t *testing.T) {
			addr, closed := startEndlessEndpoint(t, start, "a")
			client := Client{NewAttemptID: func() string { return "a" }}
			var tracker hitchoutcome.DispatchTracker
			before := allocatedBytes()
			_, err := client.Do(t.Context(), Call{Method: http.MethodGet, Path: "/", Idempotent: true}, hitchfleet.Endpoint{ID: "e", URL: "http://" + addr}, &tracker)
			allocated := allocatedBytes() - before
			var f *Failure
			qt.Assert(t, errors.As(err, &f), qt.IsTrue)
			qt.Assert(t, f.Kind, qt.Equals, FailureTooLarge)
			qt.Assert(t, allocated < 4*maxEndlessAllocBytes, qt.IsTrue, qt.Commentf("%d bytes", allocated))
			<-closed
		})
	}
}
