package hitchconn_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchclient"
	"citronhitch.example/citronhitch/hitchconn"
	"citronhitch.example/citronhitch/hitchstore"
)

// invalidStatuses are those that no response has: what a server in trouble may send.
var invalidStatuses = []string{"000", "001", "099", "101", "600", "999"}

// startResponder answers each request by a response, and counts them.
func startResponder(t *testing.T, response string) (addr string, requests *atomic.Int64) {
	requests = new(atomic.Int64)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	respond := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		requests.Add(1)
		_, _ = io.WriteString(c, response)
	}
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go respond(c)
		}
	}()
	return l.Addr().String(), requests
}

// TestInvalidStatusIsNoResponse guards against callers of the own API that take a response with a status such as 000 for
// an answer, and instances that take it for the store's word that a write wasn't carried out (rule MIXED).
func TestInvalidStatusIsNoResponse(t *testing.T) {
	client := func(addr string) *hitchclient.Client {
		return &hitchclient.Client{Routers: []string{addr}, Key: "k", MaxAttempts: 1}
	}
	tests := map[string]func(ctx context.Context, addr string) error{
		"booking": func(ctx context.Context, addr string) error {
			_, err := client(addr).BookWithKey(ctx, addr, "key", "/shop/x", []byte("{}"))
			return err
		},
		"lookup": func(ctx context.Context, addr string) error {
			_, err := client(addr).Lookup(ctx, "/shop/x")
			return err
		},
		"store": func(ctx context.Context, addr string) error {
			store := hitchstore.Client{Endpoints: []string{"http://" + addr}, Writer: "w"}
			_, err := store.Get(ctx, "k")
			return err
		},
	}
	for name, send := range tests {
		for _, status := range invalidStatuses {
			t.Run(name+" "+status, func(t *testing.T) {
				t.Parallel()
				addr, requests := startResponder(t, "HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}")
				err := send(t.Context(), addr)
				qt.Check(t, errors.Is(err, hitchconn.ErrInvalidStatus), qt.IsTrue, qt.Commentf("%v", err))
				if strings.HasPrefix(name, "store") {
					qt.Check(t, requests.Load() > 1, qt.IsTrue) // it isn't the store's last word
				}
			})
		}
	}
}
