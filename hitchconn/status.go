package hitchconn

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrInvalidStatus is the error for a response whose status isn't that of a response.
var ErrInvalidStatus = errors.New("the response has an invalid status code")

// maxStatus is the highest status code of HTTP (RFC 9110, 15).
const maxStatus = 599

// CheckStatus returns an error that wraps ErrInvalidStatus if a status isn't that of a final response.
func CheckStatus(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return fmt.Errorf("%w: %d", ErrInvalidStatus, status)
	}
	return nil
}
