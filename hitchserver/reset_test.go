package hitchserver

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// resetTest is a server that ends the connection of a caller in some phase.
type resetTest struct {
	handled atomic.Int64
	server  Server
	// act is what the handler does.
	act func(w http.ResponseWriter, r *http.Request)
}

func (s *resetTest) start(t *testing.T) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s.server.HTTP.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.handled.Add(1)
		s.act(w, r)
	})
	go func() { _ = s.server.Serve(l) }()
	t.Cleanup(func() { _ = s.server.Close() })
	return l.Addr().String()
}

// TestResetWithoutResponseMeansNotRead guards against callers that send a request again which has run, as its connection
// was reset without a byte of a response: that says that the request wasn't read (rule TWICE).
func TestResetWithoutResponseMeansNotRead(t *testing.T) {
	wait := func(http.ResponseWriter, *http.Request) { time.Sleep(100 * time.Millisecond) }
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	abortLater := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	tests := map[string]struct {
		act func(w http.ResponseWriter, r *http.Request)
		// end ends the connection while the request is handled.
		end func(s *Server)
	}{
		"handler aborts":             {abort, nil},
		"handler aborts in response": {abortLater, nil},
		"server is closed":           {wait, func(s *Server) { _ = s.Close() }},
		"shutdown ends":              {wait, func(s *Server) { endAtOnce(s) }},
	}
	for name, test := range tests {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(name+", "+version, func(t *testing.T) {
				s := &resetTest{act: test.act}
				addr := s.start(t)
				if test.end != nil {
					time.AfterFunc(30*time.Millisecond, func() { test.end(&s.server) })
				}
				got, err := sendRequest(t, addr, "POST /x "+version+"\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
				qt.Check(t, s.handled.Load(), qt.Equals, int64(1))
				isReset := errors.Is(err, syscall.ECONNRESET) && got == ""
				qt.Check(t, isReset, qt.IsFalse, qt.Commentf("%q, %v", got, err))
			})
		}
	}
	t.Run("idle timeout", func(t *testing.T) {
		s := &resetTest{act: func(http.ResponseWriter, *http.Request) {}}
		s.server.HTTP.IdleTimeout = 20 * time.Millisecond
		addr := s.start(t)
		for n := range 60 { // the next request crosses the end of the connection
			conn, err := net.Dial("tcp", addr)
			qt.Assert(t, err, qt.IsNil)
			before := s.handled.Load()
			answers := 0
			for i := range 2 {
				_, _ = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
				b := make([]byte, 1<<10)
				if count, _ := conn.Read(b); count > 0 {
					answers++
				}
				if i == 0 {
					time.Sleep(20*time.Millisecond + time.Duration(n-30)*20*time.Microsecond)
				}
			}
			_ = conn.Close()
			time.Sleep(2 * time.Millisecond)
			qt.Check(t, s.handled.Load()-before, qt.Equals, int64(answers))
		}
	})
}

// endAtOnce shuts a server down without time for its requests.
func endAtOnce(s *Server) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = s.Shutdown(ctx)
	_ = s.Close()
}

// sendRequest sends a request on a new connection and returns all that arrives, and the error that ends it.
func sendRequest(t *testing.T, addr, request string) (string, error) {
	conn, err := net.Dial("tcp", addr)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, request)
	qt.Assert(t, err, qt.IsNil)
	got, err := io.ReadAll(conn)
	return string(got), err
}
