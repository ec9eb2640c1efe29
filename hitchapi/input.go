package hitchapi

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// Header fields of callers.
const (
	ChatHeader     = "X-Chat-Id"
	ZoneHeader     = "X-Availability-Zone"
	TimeoutHeader  = "X-Timeout-Ms"
	PriorityHeader = "X-Priority"
	KeyHeader      = "Idempotency-Key"
)

// Limits of what callers send.
const (
	maxNameBytes     = 200
	bodyLimit        = 15 * time.Second
	maxTimeoutMillis = 600_000
)

// apiKey returns the caller's API key.
func apiKey(r *http.Request) string { return bearer(r.Header.Get("Authorization")) }

// bearer returns the key of an Authorization field (RFC 6750, 2.1).
func bearer(authorization string) string {
	scheme, key, _ := strings.Cut(authorization, " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// readBody reads a whole body of at most limit bytes before a deadline.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyLimit))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, hitchoutcome.RefuseNotRun(hitchoutcome.ReasonTooLarge, time.Time{}, "the body is larger than %d bytes", limit)
	}
	if err != nil {
		return nil, badRequest("the body didn't arrive whole")
	}
	return body, nil
}

// deadlineOf turns the caller's timeout into a deadline.
func deadlineOf(r *http.Request, now time.Time, defaultMillis int) (time.Time, error) {
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

// nameOf returns a header field that must be a short name.
func nameOf(r *http.Request, field string) (string, error) {
	name := r.Header.Get(field)
	if len(name) > maxNameBytes {
		return "", badRequest("%s is longer than %d bytes", field, maxNameBytes)
	}
	return name, nil
}

func zoneOf(r *http.Request) hitchfleet.AvailabilityZone {
	return hitchfleet.AvailabilityZone(r.Header.Get(ZoneHeader))
}

func badRequest(format string, args ...any) *hitchoutcome.Refusal {
	return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonBadRequest, time.Time{}, format, args...)
}
