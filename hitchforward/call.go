package hitchforward

import (
	"net/http"
	"time"
)

// Call is what a caller asks for, apart from the endpoint that serves it.
type Call struct {
	Method string
	// Path is the path and query below the endpoint's address.
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent tells that the call may run more than once.
	Idempotent bool
	// Deadline is when the caller stops waiting. The zero time means never.
	Deadline time.Time
}

// Answer is an endpoint's whole answer.
type Answer struct {
	Status  int
	Header  http.Header
	Body    []byte
	Attempt string
}

// hopHeaders belong to one connection and aren't forwarded (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of the header without the fields that belong to one
// connection. Credentials towards the router don't go on either.
func EndToEnd(header http.Header) http.Header {
	out := header.Clone()
	if out == nil {
		out = make(http.Header)
	}
	for _, named := range out.Values("Connection") {
		out.Del(named)
	}
	for _, hop := range hopHeaders {
		out.Del(hop)
	}
	out.Del("Authorization")
	return out
}
