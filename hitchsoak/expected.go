package hitchsoak

import (
	"fmt"
	"strings"

	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

// isStream reports whether the response to a call is a stream.
func (x call) isStream() bool { return strings.HasPrefix(x.Path, "/stream/") }

// expectedBody returns the body of the whole response to a call.
func expectedBody(x call) string {
	if x.isStream() {
		return streamBody(x.Attempt, hitchstandin.ShapeOf(x.Path))
	}
	return x.Attempt + " body of " + x.Attempt
}

// findWrongPart describes how what arrived of a response that wasn't completed differs from
// the beginning of the expected one, or returns an empty string.
func findWrongPart(x call, body string) string {
	if want := expectedBody(x); !strings.HasPrefix(want, body) {
		return fmt.Sprintf("body %q before the connection ended, want the beginning of %q", body, want)
	}
	return ""
}
