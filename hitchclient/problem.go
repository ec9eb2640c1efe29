package hitchclient

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"citronhitch.example/citronhitch/hitchoutcome"
)

// Problem is an error response of a router (RFC 9457). Its extension members have
// Pascal case names. Match it with errors.As.
type Problem struct {
	Status     int                  `json:"status"`
	Detail     string               `json:"detail"`
	Outcome    hitchoutcome.Outcome `json:"Outcome"`
	Reason     hitchoutcome.Reason  `json:"Reason"`
	RetryAt    time.Time            `json:"RetryAt"`
	BookingKey string               `json:"BookingKey"`
}

// Error returns the status, reason, outcome and detail on one line.
func (p *Problem) Error() string {
	return fmt.Sprintf("%d %s (%s): %s", p.Status, p.Reason, p.Outcome, p.Detail)
}

// parseProblem decodes an error response. If the body is no Problem, the result has
// the zero Outcome, which is Unknown.
func parseProblem(response *http.Response, body []byte) *Problem {
	p := &Problem{}
	if err := json.Unmarshal(body, p); err != nil {
		p = &Problem{Detail: "the response body is not a problem document of a router"}
	}
	p.Status = response.StatusCode
	return p
}

// retryTime reports whether the same request may succeed later, and the earliest
// time for a retry. Errors other than a Problem, such as connection errors, allow
// a retry at any time.
func retryTime(err error) (retryAt time.Time, canRetry bool) {
	var problem *Problem
	if !errors.As(err, &problem) {
		return time.Time{}, true
	}
	return problem.RetryAt, !problem.RetryAt.IsZero()
}
