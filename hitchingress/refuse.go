package hitchingress

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"citronhitch.example/citronhitch/hitchoutcome"
)

// statusByReason holds the HTTP statuses of the reasons that have one of their own if
// the request wasn't run.
var statusByReason = map[hitchoutcome.Reason]int{
	hitchoutcome.ReasonBadRequest:      http.StatusBadRequest,
	hitchoutcome.ReasonUnauthenticated: http.StatusUnauthorized,
	hitchoutcome.ReasonNoRoute:         http.StatusNotFound,
	hitchoutcome.ReasonTooLarge:        http.StatusRequestEntityTooLarge,
	hitchoutcome.ReasonHeadTooLarge:    http.StatusRequestHeaderFieldsTooLarge,
}

// statusOf returns the HTTP status of a refusal. Status 503 guarantees that the
// request hasn't run and never will.
func statusOf(refusal *hitchoutcome.Refusal) int {
	if status, ok := statusByReason[refusal.Reason]; ok && refusal.Outcome == hitchoutcome.NotRun {
		return status
	}
	switch {
	case refusal.Outcome == hitchoutcome.NotRun:
		return http.StatusServiceUnavailable
	case refusal.Reason == hitchoutcome.ReasonTimeout:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// writeRefusal writes a refusal to the caller as the final response.
func (g *Gateway) writeRefusal(req *proxyRequest, refusal *hitchoutcome.Refusal) {
	status := statusOf(refusal)
	if status == http.StatusServiceUnavailable && !refusal.RetryAt.IsZero() {
		retryAfter := max(time.Until(refusal.RetryAt), 0)
		req.writer.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	if req.relayedBy != "" {
		writeRelayRefusal(req.writer.Header(), req.ID, refusal)
	}
	req.writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	req.writer.WriteHeader(status)
	_, err := fmt.Fprintln(req.writer, refusal.Error())
	req.logEntry.setEnd("Refused "+string(refusal.Reason), status, err)
}
