package hitchingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchroute"
)

// startUnframedBackend starts an endpoint that writes a response and then closes the
// connection, or resets it.
func startUnframedBackend(t *testing.T, response string, isReset bool) *backend {
	b := &backend{}
	b.addr = listen(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		b.requests.Add(1)
		_, _ = io.WriteString(conn, strings.ReplaceAll(response, "{id}", r.Header.Get("Id")))
		if isReset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	})
	return b
}

// TestAnswersWithoutLengthOrChunks guards against answers that are taken for whole although
// they were broken off, and whole ones that are taken for broken off: without a length and
// chunks they end with their connection.
func TestAnswersWithoutLengthOrChunks(t *testing.T) {
	const whole = events12 + events34
	plain := hitchroute.Route{Kind: hitchroute.Idempotent, MaxAttempts: 2}
	tests := map[string]struct {
		route    hitchroute.Route
		body     string
		isReset  bool
		wantBody string
		// wantsOther is set if another endpoint must answer or go on.
		wantsOther bool
	}{
		"stream that ends after an event":      {resumableRoute, events12, false, events12, false},
		"stream that ends inside an event":     {resumableRoute, events12 + "id: 3\nda", false, whole, true},
		"stream that is reset after an event":  {resumableRoute, events12, true, whole, true},
		"stream that is reset inside an event": {resumableRoute, events12 + "id: 3\nda", true, whole, true},
		"stream without an event":              {resumableRoute, "", false, whole, true},
		"stream that is reset at its start":    {resumableRoute, "", true, whole, true},
		"answer that ends":                     {plain, "whole", false, "whole", false},
		"answer that is reset":                 {plain, "who", true, whole, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := startUnframedBackend(t, streamHead+"\r\n"+test.body, test.isReset)
			other := startBackend(t, streamHead+"\r\n"+strings.TrimPrefix(whole, eventsOf(test.body)))
			_, body, _, err := send(t, startGateway(t, test.route, first, other), "k")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, body, qt.Equals, test.wantBody)
			qt.Assert(t, other.requests.Load() > 0, qt.Equals, test.wantsOther)
		})
	}
}

// eventsOf returns the whole events at the start of a body.
func eventsOf(body string) string {
	end := strings.LastIndex(body, "\n\n")
	if end < 0 {
		return ""
	}
	return body[:end+2]
}

// TestEndOfResumedStreamMayBeEmpty covers a stream that had all its events when the
// connection was cut: the endpoint that goes on has none to send.
func TestEndOfResumedStreamMayBeEmpty(t *testing.T) {
	first := startUnframedBackend(t, streamHead+"\r\n"+events12, true)
	other := startBackend(t, streamHead+"\r\n")
	_, body, _, err := send(t, startGateway(t, resumableRoute, first, other), "k")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, body, qt.Equals, events12)
}
