package hitchforward

import "net/http"

// isInterim reports whether another response to the same request follows. After status
// 101 the endpoint no longer speaks HTTP.
func isInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}
