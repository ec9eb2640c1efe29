package hitchserver

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPipelinedRequestOutlastsShutdown covers a caller that sends its next request before the
// response to the one before. A shutdown begins when both have been read. The second one is
// handled, and may not be canceled as if its caller had left.
func TestPipelinedRequestOutlastsShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := Server{HTTP: http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-time.After(time.Second):
				_, _ = w.Write([]byte("whole"))
			case <-r.Context().Done():
				_, _ = w.Write([]byte("canceled"))
			}
		})}}
		l := newPipeListener()
		go func() { _ = server.Serve(l) }()
		caller := l.dial()
		go func() { caller.send(request + request) }()
		time.AfterFunc(500*time.Millisecond, func() { _ = server.Shutdown(context.Background()) })
		for range 2 {
			body, _, err := caller.response()
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, body, qt.Equals, "whole")
		}
		_ = server.Close()
	})
}
