package hitchapi

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
	"citronhitch.example/citronhitch/hitchserver"
)

// Request header fields that callers set.
const (
	ChatHeader           = "X-Chat-Id"
	ZoneHeader           = "X-Availability-Zone"
	TimeoutHeader        = "X-Timeout-Ms"
	PriorityHeader       = "X-Priority"
	IdempotencyKeyHeader = "Idempotency-Key"
)

// Limits for requests of callers.
const (
	maxHeaderValueBytes = 200
	bodyReadTimeout     = 15 * time.Second
	// returnDelay is when a caller may return whose body found no memory.
	returnDelay      = time.Second
	maxTimeoutMillis = 600_000
)

// apiKey returns the API key in the Authorization header, or "".
func apiKey(r *http.Request) string { return bearerToken(r.Header.Get("Authorization")) }

// bearerToken returns the token of an Authorization header field with the Bearer
// scheme (RFC 6750, 2.1), or "" for any other scheme.
func bearerToken(authorization string) string {
	scheme, key, _ := strings.Cut(authorization, " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// readBody reads the complete request body. It fails if the body is larger than the
// limit, takes longer than bodyReadTimeout, or finds no memory.
func (a *API) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	limit := a.Router.BodyLimit()
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	body, drawn, err := a.Bodies.ReadBody(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	context.AfterFunc(r.Context(), func() { a.Bodies.Release(drawn) }) // the context ends with the request
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, hitchoutcome.RefuseNotRun(hitchoutcome.ReasonTooLarge, time.Time{}, "the body is larger than %d bytes", limit)
	}
	if errors.Is(err, hitchserver.ErrBodyMemory) {
		return nil, hitchoutcome.RefuseNotRun(hitchoutcome.ReasonOverloaded, time.Now().Add(returnDelay), "%v", err)
	}
	if err != nil {
		return nil, badRequest("the body didn't arrive whole")
	}
	return body, nil
}

// requestDeadline returns the deadline given by TimeoutHeader, or by
// defaultMillis if the header is missing.
func requestDeadline(r *http.Request, now time.Time, defaultMillis int) (time.Time, error) {
	text := r.Header.Get(TimeoutHeader)
	if text == "" {
		return now.Add(time.Duration(defaultMillis) * time.Millisecond), nil
	}
	millis, err := strconv.Atoi(text)
	if err != nil || millis < 1 || millis > maxTimeoutMillis {
		return time.Time{}, badRequest("%s must be 1 to %d milliseconds", TimeoutHeader, maxTimeoutMillis)
	}
	return now.Add(time.Duration(millis) * time.Millisecond), nil
}

// shortHeader returns the value of a header field, which may have at most
// maxHeaderValueBytes bytes.
func shortHeader(r *http.Request, field string) (string, error) {
	value := r.Header.Get(field)
	if len(value) > maxHeaderValueBytes {
		return "", badRequest("%s is longer than %d bytes", field, maxHeaderValueBytes)
	}
	return value, nil
}

func requestZone(r *http.Request) hitchfleet.AvailabilityZone {
	return hitchfleet.AvailabilityZone(r.Header.Get(ZoneHeader))
}

func badRequest(format string, args ...any) *hitchoutcome.Refusal {
	return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonBadRequest, time.Time{}, format, args...)
}
