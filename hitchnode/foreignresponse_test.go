package hitchnode

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchorder"
)

// TestOrderIsNotAnsweredByEarlierResponse guards against orders that count as carried out, refused or not
// begun, as bytes that belong to an earlier call to the engine arrive in place of their response.
func TestOrderIsNotAnsweredByEarlierResponse(t *testing.T) {
	const (
		report   = "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n{\"Versions\":[]}"
		accepted = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
		busy     = "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\n{}"
		fenced   = "HTTP/1.1 409 Conflict\r\nContent-Length: 12\r\n\r\n{\"Newest\":7}"
	)
	responses := []string{report, accepted, fenced, report, busy, accepted}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	var calls atomic.Int64
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		br := bufio.NewReader(c)
		for earlier := ""; ; {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			own := responses[calls.Add(1)-1]
			_, _ = io.WriteString(c, earlier+own)
			earlier = own
		}
	}
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go serve(c)
		}
	}()
	url := "http://" + l.Addr().String()
	var client engineClient
	order := func() hitchorder.ResultKind {
		return client.send(t.Context(), hitchorder.Order{Kind: hitchorder.LoadVersion, URL: url, Deadline: time.Now().Add(time.Second)}, "").Kind
	}
	observe := func() bool {
		_, ok, err := client.observe(t.Context(), hitchfleet.Endpoint{URL: url}, time.Now())
		return ok && err == nil
	}
	qt.Check(t, observe(), qt.IsTrue)
	qt.Check(t, order(), qt.Equals, hitchorder.OrderAccepted)
	qt.Check(t, order(), qt.Equals, hitchorder.OrderFenced)
	qt.Check(t, observe(), qt.IsTrue)
	qt.Check(t, order(), qt.Equals, hitchorder.OrderDeferred)
	qt.Check(t, order(), qt.Equals, hitchorder.OrderAccepted)
}
