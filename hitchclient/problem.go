package hitchclient

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"citronhitch.example/citronhitch/hitchoutcome"
)

// Problem is an error answer of a router (RFC 9457; the extension members are in
// Pascal case). Callers match it with errors.As.
type Problem struct {
	Status     int                  `json:"status"`
	Detail     string               `json:"detail"`
	Outcome    hitchoutcome.Outcome `json:"Outcome"`
	Reason     hitchoutcome.Reason  `json:"Reason"`
	RetryAt    time.Time            `json:"RetryAt"`
	BookingKey string               `json:"BookingKey"`
}

// Error returns one line with the status, the reason, the outcome and the detail.
func (p *Problem) Error() string {
	return fmt.Sprintf("%d %s (%s): %s", p.Status, p.Reason, p.Outcome, p.Detail)
}

// problemOf reads an error answer. One that is no Problem claims nothing.
func problemOf(answer *http.Response, body []byte) *Problem {
	p := &Problem{}
	if err := json.Unmarshal(body, p); err != nil {
		p = &Problem{Detail: "the answer is no problem of a router"}
	}
	p.Status = answer.StatusCode
	return p
}

// mayComeBack tells whether the same request may succeed later, and when.
func mayComeBack(err error) (at time.Time, ok bool) {
	var p *Problem
	if !errors.As(err, &p) {
		return time.Time{}, true
	}
	return p.RetryAt, !p.RetryAt.IsZero()
}
