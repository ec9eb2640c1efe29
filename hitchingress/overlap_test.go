package hitchingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchserver"
	"citronhitch.example/citronhitch/hitchview"
)

// maxOverlap is how long an endpoint may still work on a stream that goes on at another one.
const maxOverlap = 400 * time.Millisecond

// work is what one endpoint does for a stream.
type work struct {
	firstEventAt, endedAt time.Time
}

// workLog has the work of all endpoints for one stream, in the order in which it began.
type workLog struct {
	mu  sync.Mutex
	all []*work
	// firstIsSilent is set if the first endpoint falls silent after two events.
	firstIsSilent bool
}

func (l *workLog) begin() (w *work, isFirst bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w = &work{}
	l.all = append(l.all, w)
	return w, len(l.all) == 1
}

func (l *workLog) note(at *time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.IsZero() {
		*at = time.Now()
	}
}

// handle works on a stream until it has sent its events, or its connection is closed.
func (l *workLog) handle(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	closed := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, conn)
		close(closed)
	}()
	w, isFirst := l.begin()
	defer l.note(&w.endedAt)
	_, _ = io.WriteString(conn, strings.ReplaceAll(chunkedHead, "{id}", r.Header.Get("Id")))
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for id := last + 1; id <= last+200; id++ {
		if isFirst && l.firstIsSilent && id > 2 {
			<-closed
			return
		}
		_, _ = io.WriteString(conn, chunk(fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("x", 1<<10))))
		l.note(&w.firstEventAt)
		select {
		case <-time.After(20 * time.Millisecond):
		case <-closed:
			return
		}
	}
	_, _ = io.WriteString(conn, chunkedEnd)
}

// checkOverlap checks that the stream has gone on at a second endpoint, and how long the first one worked on.
func (l *workLog) checkOverlap(t *testing.T) {
	for begun := time.Now(); time.Since(begun) < 6*time.Second; time.Sleep(10 * time.Millisecond) {
		l.mu.Lock()
		isOver := len(l.all) > 1 && !l.all[0].endedAt.IsZero() && !l.all[1].firstEventAt.IsZero()
		l.mu.Unlock()
		if isOver {
			break
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	qt.Assert(t, len(l.all) > 1, qt.IsTrue)
	qt.Assert(t, l.all[0].endedAt.IsZero(), qt.IsFalse, qt.Commentf("the first endpoint still works"))
	overlap := l.all[0].endedAt.Sub(l.all[1].firstEventAt)
	qt.Check(t, overlap <= maxOverlap, qt.IsTrue, qt.Commentf("%s", overlap))
	t.Logf("overlap %s", overlap)
}

// smallBufferDialer opens connections that take few bytes which nobody reads.
var smallBufferDialer = net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
}}

// networkPath passes connections on to an address. Those that are cut stay open, and nothing passes any more.
type networkPath struct {
	target string
	mu     sync.Mutex
	cuts   []*atomic.Bool
}

func (p *networkPath) handle(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	other, err := smallBufferDialer.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = other.Close() }()
	isCut := &atomic.Bool{}
	p.mu.Lock()
	p.cuts = append(p.cuts, isCut)
	p.mu.Unlock()
	go passOn(conn, other, isCut, func() { _ = other.(*net.TCPConn).CloseWrite() })
	passOn(other, conn, isCut, func() {})
}

// passOn copies bytes, and the end, until the path is cut.
func passOn(from, to net.Conn, isCut *atomic.Bool, end func()) {
	b := make([]byte, 4<<10)
	for {
		for isCut.Load() {
			time.Sleep(100 * time.Millisecond)
		}
		n, err := from.Read(b)
		for isCut.Load() {
			time.Sleep(100 * time.Millisecond)
		}
		_, _ = to.Write(b[:n])
		if err != nil {
			end()
			return
		}
	}
}

// cut cuts all connections that are open.
func (p *networkPath) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, isCut := range p.cuts {
		isCut.Store(true)
	}
}

// streamOverPaths is a fleet of an instance that is cut off from the endpoints, and two relays behind paths.
type streamOverPaths struct {
	sender *httptest.Server
	paths  []*networkPath
}

func startStreamOverPaths(t *testing.T, backends ...*backend) *streamOverPaths {
	f := &streamOverPaths{}
	view := viewOf(resumableRoute, backends...)
	view = view.Update(hitchview.InstanceMsg{Revision: 90, Instance: hitchfleet.Instance{ID: "sender"}})
	var relays []hitchfleet.Instance
	for n := range 2 {
		g := newRelayGateway(fmt.Sprint("relay-", n), 20)
		g.SetView(time.Now(), view)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		server := &hitchserver.Server{HTTP: http.Server{Handler: http.HandlerFunc(g.ServeRelayed)}}
		go func() { _ = server.Serve(l) }()
		t.Cleanup(func() { _ = server.Close() })
		path := &networkPath{target: l.Addr().String()}
		f.paths = append(f.paths, path)
		relays = append(relays, hitchfleet.Instance{ID: g.Self.ID, PeerAddr: listen(t, path.handle)})
	}
	sender := newRelayGateway("sender", 20)
	sender.SetView(time.Now(), view)
	cutOff(t, sender, relays...)
	f.sender = httptest.NewServer(sender)
	t.Cleanup(f.sender.Close)
	return f
}

// beginStream requests a stream and returns once its first event has arrived. The rest is read until ctx ends.
func beginStream(ctx context.Context, t *testing.T, url, id string, lastEventID int) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/x", strings.NewReader("body"))
	qt.Assert(t, err, qt.IsNil)
	r.Host, r.Header = "h.example", http.Header{"Id": {id}, "Key": {"k"}, "Last-Event-Id": {fmt.Sprint(lastEventID)}}
	res, err := http.DefaultClient.Do(r)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, res.StatusCode, qt.Equals, http.StatusOK)
	_, err = io.ReadFull(res.Body, make([]byte, 16))
	qt.Assert(t, err, qt.IsNil)
	go func() {
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
	}()
}

// TestEndpointStopsOnceStreamGoesOnElsewhere guards against two endpoints that work on one stream for longer than 400 ms,
// while a standby, a relay or another instance goes on (rule TWICE).
func TestEndpointStopsOnceStreamGoesOnElsewhere(t *testing.T) {
	tests := map[string]struct {
		firstIsSilent bool
		run           func(ctx context.Context, t *testing.T, backends []*backend)
	}{
		"standby": {true, func(ctx context.Context, t *testing.T, backends []*backend) {
			beginStream(ctx, t, startGateway(t, resumableRoute, backends...).URL, "id-1", 0)
		}},
		"standby of a relay": {true, func(ctx context.Context, t *testing.T, backends []*backend) {
			beginStream(ctx, t, startStreamOverPaths(t, backends...).sender.URL, "id-1", 0)
		}},
		"relay after the path is cut off": {true, func(ctx context.Context, t *testing.T, backends []*backend) {
			server := startGateway(t, resumableRoute, backends...)
			g := server.Config.Handler.(*Gateway)
			f := startStreamOverPaths(t, backends...)
			var relays []hitchfleet.Instance
			for n, path := range f.paths {
				relays = append(relays, hitchfleet.Instance{ID: hitchfleet.InstanceID(fmt.Sprint("relay-", n)), PeerAddr: path.target})
			}
			g.Self.ID = "sender"
			beginStream(ctx, t, server.URL, "id-1", 0)
			cutOff(t, g, relays...)
		}},
		"another instance, path to the relay is cut": {false, func(ctx context.Context, t *testing.T, backends []*backend) {
			f := startStreamOverPaths(t, backends...)
			first, leave := context.WithCancel(ctx)
			beginStream(first, t, f.sender.URL, "id-1", 0)
			for _, path := range f.paths {
				path.cut()
			}
			time.Sleep(2400 * time.Millisecond) // callers bear a gap of four times the objective
			leave()
			beginStream(ctx, t, startGateway(t, resumableRoute, backends...).URL, "id-2", 1)
		}},
		"another instance, caller has left": {false, func(ctx context.Context, t *testing.T, backends []*backend) {
			first, leave := context.WithCancel(ctx)
			beginStream(first, t, startGateway(t, resumableRoute, backends...).URL, "id-1", 0)
			leave()
			beginStream(ctx, t, startGateway(t, resumableRoute, backends...).URL, "id-2", 1)
		}},
		"another instance, caller of a relayed stream has left": {true, func(ctx context.Context, t *testing.T, backends []*backend) {
			first, leave := context.WithCancel(ctx)
			beginStream(first, t, startStreamOverPaths(t, backends...).sender.URL, "id-1", 0)
			leave()
			beginStream(ctx, t, startGateway(t, resumableRoute, backends...).URL, "id-2", 1)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			log := &workLog{firstIsSilent: test.firstIsSilent}
			var backends []*backend
			for range 3 {
				backends = append(backends, &backend{addr: listen(t, log.handle)})
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			test.run(ctx, t, backends)
			log.checkOverlap(t)
		})
	}
}
