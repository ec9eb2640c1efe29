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

// TestInvalidStatusLeavesOrderUnknown guards against orders that count as refused, as an engine in trouble has sent a
// status that says nothing.
func TestInvalidStatusLeavesOrderUnknown(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			t.Cleanup(func() { _ = l.Close() })
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(c, "HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\n{}")
				}
			}()
			var client engineClient
			order := hitchorder.Order{Kind: hitchorder.LoadVersion, URL: "http://" + l.Addr().String(), Deadline: time.Now().Add(time.Second)}
			result := client.send(t.Context(), order, "")
			qt.Check(t, result.Kind, qt.Equals, hitchorder.OrderUnknown)
			qt.Check(t, result.err, qt.IsNotNil)
		})
	}
}
