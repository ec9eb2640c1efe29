package hitchingress

import (
	"net/http"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchroute"
)

// TestEndpointGetsNoMoreThanItsQuota guards against endpoints that get more requests than the
// limit that their responses name (rule LIMIT: one and a half times the limit and five more
// in four seconds).
func TestEndpointGetsNoMoreThanItsQuota(t *testing.T) {
	const (
		limited   = "HTTP/1.1 200 OK\r\nConnection: close\r\nId: {id}\r\nDigest: s\r\nLimit: 1.5\r\nContent-Length: 2\r\n\r\nok"
		zero      = "HTTP/1.1 200 OK\r\nConnection: close\r\nId: {id}\r\nDigest: s\r\nLimit: 0\r\nContent-Length: 2\r\n\r\nok"
		failed    = "HTTP/1.1 500 Oops\r\nConnection: close\r\nId: {id}\r\nDigest: s\r\nLimit: 1.5\r\nContent-Length: 3\r\n\r\nbad"
		shed      = "HTTP/1.1 503 Full\r\nConnection: close\r\nId: {id}\r\nNot-Run: 1\r\nLimit: 1.5\r\nContent-Length: 0\r\n\r\n"
		other     = "HTTP/1.1 421 Misdirected\r\nConnection: close\r\nId: {id}\r\nNot-Run: 1\r\nOther: 1\r\nLimit: 1.5\r\nContent-Length: 0\r\n\r\n"
		sent      = 40
		maxInFour = 14 // 1.5 x 1.5 x 4 + 5
	)
	tests := map[string]struct {
		responses []string
		hasOther  bool
		isBounded bool
		status    int // of the last request
	}{
		"named in answers":                    {[]string{limited}, true, true, http.StatusOK},
		"named in answers, the only one":      {[]string{limited}, false, true, http.StatusServiceUnavailable},
		"none at all":                         {[]string{zero}, false, true, http.StatusServiceUnavailable},
		"named in failures":                   {[]string{failed}, true, true, http.StatusOK},
		"named in refusals":                   {[]string{shed}, true, true, http.StatusOK},
		"named once":                          {[]string{limited, okResponse}, true, false, http.StatusOK},
		"another one at the address names it": {[]string{other, okResponse}, false, false, http.StatusOK},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := startBackend(t, test.responses...)
			backends := []*backend{first}
			if test.hasOther {
				backends = append(backends, startBackend(t, okResponse))
			}
			server := startGateway(t, hitchroute.Route{Kind: hitchroute.Idempotent, MaxAttempts: 2}, backends...)
			var status int
			var header http.Header
			for range sent {
				var err error
				status, _, header, err = send(t, server, "k")
				qt.Assert(t, err, qt.IsNil)
			}
			qt.Assert(t, first.requests.Load() <= maxInFour, qt.Equals, test.isBounded, qt.Commentf("%d requests", first.requests.Load()))
			qt.Assert(t, status, qt.Equals, test.status)
			if status == http.StatusServiceUnavailable {
				seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, seconds > 0, qt.IsTrue)
			}
		})
	}
}
