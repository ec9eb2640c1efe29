package hitchforward

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// startEarlyEndpoint starts an endpoint that answers each request at once without a length, sends a part
// and resets the connection while the body is still written. It returns its address.
func startEarlyEndpoint(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	respond := func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+AttemptHeader+": "+r.Header.Get(AttemptHeader)+"\r\n\r\n{\"Part\":1}")
		time.Sleep(2 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go respond(c)
		}
	}()
	return l.Addr().String()
}

// TestPartBeforeResetIsNoWholeResponse guards against parts of responses that pass for whole ones in the own API and in
// calls of instances, as the reset was reported to the write of the request only (rule MIXED).
func TestPartBeforeResetIsNoWholeResponse(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 8<<20)
	tests := map[string]func(client *Client, addr string) error{
		"call": func(client *Client, addr string) error {
			call := Call{Method: http.MethodPost, Path: "/x", Body: body}
			_, err := client.Do(t.Context(), call, hitchfleet.Endpoint{ID: "e", URL: "http://" + addr}, &hitchoutcome.DispatchTracker{})
			return err
		},
		"idempotent call": func(client *Client, addr string) error {
			call := Call{Method: http.MethodPost, Path: "/x", Body: body, Idempotent: true}
			_, err := client.Do(t.Context(), call, hitchfleet.Endpoint{ID: "e", URL: "http://" + addr}, &hitchoutcome.DispatchTracker{})
			return err
		},
		"call of an instance": func(_ *Client, addr string) error {
			client := http.Client{Transport: NewTransport()}
			res, err := client.Post("http://"+addr, "text/plain", bytes.NewReader(body))
			if err != nil {
				return err
			}
			defer func() { _ = res.Body.Close() }()
			_, err = io.ReadAll(res.Body)
			return err
		},
	}
	for name, send := range tests {
		t.Run(name, func(t *testing.T) {
			addr := startEarlyEndpoint(t)
			var client Client
			for range 40 {
				qt.Check(t, send(&client, addr), qt.IsNotNil)
			}
		})
	}
}
