package hitchingress

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchroute"
)

// Responses of a stream with four events.
var (
	wholeStream     = streamHead + chunked(events12+events34) + "0\r\n\r\n"
	brokenStream    = streamHead + chunked(events12)
	remainingStream = streamHead + chunked(events34) + "0\r\n\r\n"
)

// startVersion starts a backend of a version.
func startVersion(t *testing.T, version string, responses ...string) *backend {
	b := startBackend(t, responses...)
	b.version = version
	return b
}

// TestStreamGoesOnAtItsVersion covers a stream that the instance resumes within one
// response, while two versions of the endpoints' software serve side by side.
func TestStreamGoesOnAtItsVersion(t *testing.T) {
	tests := map[string]struct {
		first       string // response of the first endpoint, of version v1
		others      []string
		body        string
		isTruncated bool
		requests    []int64 // of the others
	}{
		"the version has another endpoint":        {brokenStream, []string{"v2", "v1"}, events12 + events34, false, []int64{0, 1}},
		"the version is the one of most":          {brokenStream, []string{"v2", "v2", "v2", "v1"}, events12 + events34, false, []int64{0, 0, 0, 1}},
		"the version has no other endpoint":       {brokenStream, []string{"v2"}, events12, true, []int64{0}},
		"a stream without events has no version":  {"", []string{"v2"}, events12 + events34, false, []int64{1}},
		"a part of an event isn't sent to anyone": {streamHead + chunked("id: 1\nda"), []string{"v2"}, events12 + events34, false, []int64{1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			response := remainingStream
			if test.first != brokenStream {
				response = wholeStream
			}
			backends := []*backend{startVersion(t, "v1", test.first)}
			for _, version := range test.others {
				backends = append(backends, startVersion(t, version, response))
			}
			route := hitchroute.Route{Kind: hitchroute.Streaming, IsResumable: true, MaxAttempts: 3, GapMilliseconds: 400}
			_, body, _, err := send(t, startGateway(t, route, backends...), "k")
			qt.Assert(t, err != nil, qt.Equals, test.isTruncated, qt.Commentf("%v", err))
			if !test.isTruncated || body != "" {
				qt.Assert(t, body, qt.Equals, test.body)
			}
			for i, want := range test.requests {
				qt.Assert(t, backends[i+1].requests.Load(), qt.Equals, want, qt.Commentf("endpoint %d", i+1))
			}
		})
	}
}

// TestReturnDoesNotReachAnotherVersion covers a caller that takes up a stream again at an
// instance that didn't begin it, next to an endpoint of another version.
func TestReturnDoesNotReachAnotherVersion(t *testing.T) {
	route := hitchroute.Route{Kind: hitchroute.Streaming, IsResumable: true, MaxAttempts: 1, GapMilliseconds: 400}
	v1, v2 := startVersion(t, "v1", brokenStream, remainingStream), startVersion(t, "v2", remainingStream)
	_, _, _, err := send(t, startGateway(t, route, v1, v2), "k")
	qt.Assert(t, err, qt.IsNotNil)
	status, _, header, err := sendWith(t, startGateway(t, route, v2, v1), map[string]string{"Id": "id-2", "Key": "k", "Last-Event-Id": "2", "Resumes": "id-1"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, v2.requests.Load(), qt.Equals, int64(0))
	if status != http.StatusOK {
		qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
		qt.Assert(t, header.Get("Retry-After"), qt.Equals, "")
	}
}
