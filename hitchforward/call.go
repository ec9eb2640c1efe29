package hitchforward

import (
	"net/http"
	"slices"
	"time"
)

// Call is a caller's request, independent of the endpoint that serves it.
type Call struct {
	Method string
	// Path is the path and query, relative to the endpoint's URL.
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent is set if the call may run more than once.
	Idempotent bool
	// Deadline is when the caller stops waiting; the zero time means never.
	Deadline time.Time
}

// Response is an endpoint's complete response.
type Response struct {
	Status  int
	Header  http.Header
	Body    []byte
	Attempt string
}

// OnlyValue returns the value of a header field, and an empty string if it has several that differ.
func OnlyValue(h http.Header, name string) string {
	values := h.Values(name)
	if slices.ContainsFunc(values, func(value string) bool { return value != values[0] }) {
		return ""
	}
	return h.Get(name)
}

// hopByHopHeaders apply to a single connection and aren't forwarded (RFC 9110,
// 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEndHeader returns a copy of the header without the hop-by-hop fields, and
// without Authorization, which holds the caller's credentials for the router.
func EndToEndHeader(header http.Header) http.Header {
	out := header.Clone()
	if out == nil {
		out = make(http.Header)
	}
	for _, name := range out.Values("Connection") {
		out.Del(name)
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	out.Del("Authorization")
	return out
}
