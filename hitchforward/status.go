package hitchforward

import (
	"errors"
	"fmt"
	"net/http"
)

// errInvalidStatus is returned for a response whose status isn't that of a response.
var errInvalidStatus = errors.New("the response has an invalid status code")

// maxStatus is the highest status code of HTTP (RFC 9110, 15).
const maxStatus = 599

// isInterim reports whether another response to the same request follows. After status
// 101 the endpoint no longer speaks HTTP.
func isInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// checkStatus returns an error if a status isn't that of a final response.
func checkStatus(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return fmt.Errorf("%w: %d", errInvalidStatus, status)
	}
	return nil
}
