package hitchforward

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// TestStreamAtCrashedEndpointIsCutNotUnsent guards against a stream that counts as never sent,
// as its resume was refused: the endpoint got the call and crashed.
func TestStreamAtCrashedEndpointIsCutNotUnsent(t *testing.T) {
	server := httptest.NewUnstartedServer(nil)
	var calls atomic.Int64
	server.Config.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		calls.Add(1)
		_ = server.Listener.Close()
		panic(http.ErrAbortHandler)
	})
	server.Start()
	defer server.Close()
	call, _ := chatCall(t, "crash")
	var caller collector
	var tracker hitchoutcome.DispatchTracker
	client := Client{InactivityTimeoutMillis: testInactivityMillis}
	err := client.Stream(context.Background(), &Stream{Call: call, Deliver: caller.deliver}, hitchfleet.Endpoint{ID: "e", URL: server.URL}, &tracker)
	var failure *Failure
	qt.Assert(t, errors.As(err, &failure), qt.IsTrue)
	qt.Check(t, failure.Kind, qt.Equals, FailureCut)
	qt.Check(t, failure.IsUnresponsive(), qt.IsFalse)
	qt.Check(t, tracker.Outcome(), qt.Equals, hitchoutcome.Unknown)
	qt.Check(t, calls.Load(), qt.Equals, int64(1))
}
