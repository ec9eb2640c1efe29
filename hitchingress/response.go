package hitchingress

import (
	"net/http"
	"slices"
	"strconv"

	"citronhitch.example/citronhitch/hitchforward"
)

// maxResponseBytes limits the body of a response that isn't streamed. Responses are held
// in memory as a whole, since a truncated one must not reach the caller. The limit also
// bounds how long a body without end holds its request: 0.2 s on a link of 10 Mbit/s.
const maxResponseBytes = 256 << 10

// unaryResponse is an endpoint's complete response that isn't streamed.
type unaryResponse struct {
	status int
	header http.Header
	body   []byte
}

// writeResponse writes an endpoint's complete response to the caller.
func (g *Gateway) writeResponse(req *proxyRequest, response *unaryResponse) {
	copyHeader(req.writer.Header(), response.header)
	if req.relayedBy != "" {
		req.writer.Header().Set(headerRuns, strconv.Itoa(req.retryState.PossibleRuns()))
	}
	if len(response.body) > 0 {
		req.writer.Header().Set("Content-Length", strconv.Itoa(len(response.body)))
	}
	req.writer.WriteHeader(response.status)
	err := req.writeBody(response.body, false)
	end := "Answered"
	if err != nil {
		end = writeEnd(err)
	}
	req.logEntry.setEnd(end, response.status, err)
}

// copyHeader copies the end-to-end header fields of a response, leaving out
// hop-by-hop fields and those between instances.
func copyHeader(dst, src http.Header) {
	for name, values := range hitchforward.EndToEndHeader(src) {
		if !slices.Contains(relayHeaders, name) {
			dst[name] = slices.Clone(values)
		}
	}
}

// promisesNotRun reports whether a status tells callers that a request hasn't run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
