package hitchrouter

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchforward"
)

// TestRelayedCallHasAttemptsThatAreLeft guards against relayed calls that reach more endpoints than
// maxAttempts, as the other router makes all attempts anew (rule BUDGET).
func TestRelayedCallHasAttemptsThatAreLeft(t *testing.T) {
	header := http.Header{"Accept": {"x"}}
	sent := relayRequest{Call: hitchforward.Call{Header: header}}
	for left := 1; left <= maxAttempts; left++ {
		received := sent.withAttempts(left)
		qt.Check(t, received.takeAttempts(), qt.Equals, left)
		qt.Check(t, received.Call.Header, qt.DeepEquals, header)
	}
	qt.Check(t, sent.Call.Header, qt.DeepEquals, header)
	for name, value := range map[string][]string{"none": nil, "no number": {"all"}, "too many": {"9"}, "zero": {"0"}, "negative": {"-1"}} {
		r := relayRequest{Call: hitchforward.Call{Header: http.Header{headerAttempts: value}}}
		qt.Check(t, r.takeAttempts(), qt.Equals, maxAttempts, qt.Commentf("%s", name))
	}
	empty := relayRequest{}.withAttempts(2)
	qt.Check(t, empty.takeAttempts(), qt.Equals, 2)
	none := relayRequest{}
	qt.Check(t, none.takeAttempts(), qt.Equals, maxAttempts)
	var req proxyRequest
	qt.Check(t, req.attempts(), qt.Equals, maxAttempts)
	req.maxAttempts = 2
	qt.Check(t, req.attempts(), qt.Equals, 2)
}
