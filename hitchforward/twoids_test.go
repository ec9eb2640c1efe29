package hitchforward

import (
	"errors"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchoutcome"
)

// TestResponseWithTwoIDsIsNotOwn guards against a response that names another attempt too and is taken for the attempt's own
// (rules MIXED and TWICE).
func TestResponseWithTwoIDsIsNotOwn(t *testing.T) {
	own, other := AttemptHeader+": {id}\r\n", AttemptHeader+": other\r\n"
	tests := map[string]struct {
		ids   string
		isOwn bool
	}{
		"one": {own, true}, "the same twice": {own + own, true}, "own first": {own + other, false}, "other first": {other + own, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			endpoint := serveRaw(t, func(int, *http.Request) (string, bool) {
				return "HTTP/1.1 200 OK\r\n" + test.ids + "Content-Length: 2\r\n\r\nok", true
			})
			var client Client
			t.Cleanup(client.CloseIdleConnections)
			_, err := client.Do(t.Context(), Call{Method: http.MethodPost, Path: "/x"}, endpoint, &hitchoutcome.DispatchTracker{})
			qt.Check(t, err == nil, qt.Equals, test.isOwn)
			var failure *Failure
			if errors.As(err, &failure) {
				qt.Check(t, failure.Kind, qt.Equals, FailureCrossed)
			}
		})
	}
}
