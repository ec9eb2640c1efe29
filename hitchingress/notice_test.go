package hitchingress

import (
	"net/http"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchroute"
)

// TestNoticesOfEndpoints covers endpoints that say in a response that they leave, or ask
// for a pause: the next request goes to another one, or is refused with the time of the
// pause's end.
func TestNoticesOfEndpoints(t *testing.T) {
	const (
		leavingResponse = "HTTP/1.1 200 OK\r\nConnection: close\r\nId: {id}\r\nDigest: s\r\nLeaving: 1\r\nContent-Length: 2\r\n\r\nok"
		failedLeaving   = "HTTP/1.1 500 Oops\r\nConnection: close\r\nId: {id}\r\nDigest: s\r\nLeaving: 1\r\nContent-Length: 3\r\n\r\nbad"
		pauseResponse   = "HTTP/1.1 503 Full\r\nConnection: close\r\nId: {id}\r\nNot-Run: 1\r\nPause: 1\r\nContent-Length: 0\r\n\r\n"
		otherLeaving    = "HTTP/1.1 421 Misdirected\r\nConnection: close\r\nId: {id}\r\nNot-Run: 1\r\nOther: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n"
		lateLeaving     = "HTTP/1.1 200 OK\r\nConnection: close\r\nId: other\r\nDigest: s\r\nLeaving: 1\r\nContent-Length: 2\r\n\r\nok"
	)
	tests := map[string]struct {
		response string
		// requests are those that reach the endpoint of two.
		requests int64
		hasOther bool
		status   int // of the second request
	}{
		"leaves":                            {leavingResponse, 1, true, http.StatusOK},
		"leaves, with an error":             {failedLeaving, 1, true, http.StatusOK},
		"leaves, with a late response":      {lateLeaving, 1, true, http.StatusOK},
		"leaves, and is the only one":       {leavingResponse, 1, false, http.StatusServiceUnavailable},
		"asks for a pause":                  {pauseResponse, 1, true, http.StatusOK},
		"asks for a pause, the only one":    {pauseResponse, 1, false, http.StatusServiceUnavailable},
		"another one at the address leaves": {otherLeaving, 2, false, http.StatusOK},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			first := startBackend(t, test.response, okResponse)
			backends := []*backend{first}
			if test.hasOther {
				backends = append(backends, startBackend(t, okResponse))
			}
			server := startGateway(t, hitchroute.Route{Kind: hitchroute.NonIdempotent, MaxAttempts: 1}, backends...)
			_, _, _, err := send(t, server, "k")
			qt.Assert(t, err, qt.IsNil)
			status, _, header, err := send(t, server, "k")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, status, qt.Equals, test.status)
			qt.Assert(t, first.requests.Load(), qt.Equals, test.requests)
			if test.response == pauseResponse && !test.hasOther {
				seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, seconds > 59 && seconds < 61, qt.IsTrue, qt.Commentf("%f", seconds))
			}
		})
	}
}
