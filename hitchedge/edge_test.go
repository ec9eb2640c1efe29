package hitchedge

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"citronhitch.example/citronhitch/hitchdigest"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchroute"
	"citronhitch.example/citronhitch/hitchview"
	hitchplatform "citronhitch.example/citronhitch/platform"
	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

// edge returns an instance that knows a configuration and other instances.
func edge(others ...hitchfleet.Instance) *Edge {
	e := &Edge{
		Settings: hitchplatform.Settings{Self: hitchfleet.Instance{ID: "self", Addr: "10.0.0.1:80", PeerAddr: "10.0.0.1:81", Zone: "a"}},
		Log:      hclog.NewNullLogger(),
	}
	e.Settings.Bounds.AnswerTTLSeconds = 5
	e.build()
	v := hitchview.View{}.Update(hitchview.TableMsg{Revision: 1, Table: hitchroute.NewTable(hitchroute.Config{Version: 1})})
	for _, i := range others {
		v = v.Update(hitchview.InstanceMsg{Revision: 2, Instance: i})
	}
	e.gateway.SetView(time.Now(), v)
	return e
}

func TestTheDirectoryNamesLivingInstancesOfTheCallersZoneFirst(t *testing.T) {
	e := edge(
		hitchfleet.Instance{ID: "r1", Addr: "10.0.0.2:80", Zone: "a"},
		hitchfleet.Instance{ID: "r2", Addr: "10.0.0.3:80", Zone: "b"},
		hitchfleet.Instance{ID: "r3", Addr: "10.0.0.4:80", Zone: "b", Leaving: true},
	)
	addrs, ttl := e.instancesFor("", "b")
	qt.Assert(t, addrs, qt.DeepEquals, []string{"10.0.0.3:80", "10.0.0.2:80", "10.0.0.1:80"})
	qt.Assert(t, ttl, qt.Equals, answerSeconds)
	e.gateway.StartDraining()
	addrs, _ = e.instancesFor("", "b")
	qt.Assert(t, addrs, qt.DeepEquals, []string{"10.0.0.3:80", "10.0.0.2:80"})
}

// TestTheDirectoryNamesAllInstancesOfALargeFleet: callers take 64 addresses, so
// each answer names others.
func TestTheDirectoryNamesAllInstancesOfALargeFleet(t *testing.T) {
	const n, answers = 300, 400
	var others []hitchfleet.Instance
	for i := range n - 1 {
		others = append(others, hitchfleet.Instance{ID: hitchfleet.InstanceID(fmt.Sprint("r", i)), Addr: fmt.Sprint("10.0.1.", i), Zone: hitchfleet.AvailabilityZone(fmt.Sprint(i % 3))})
	}
	e := edge(others...)
	named := map[string]int{}
	for range answers {
		addrs, _ := e.instancesFor("", "0")
		qt.Assert(t, addrs, qt.HasLen, hitchplatform.MaxAddresses)
		for _, addr := range addrs {
			named[addr]++
		}
	}
	qt.Assert(t, named, qt.HasLen, n)
	for addr, times := range named {
		qt.Assert(t, times < 3*answers*hitchplatform.MaxAddresses/n, qt.IsTrue, qt.Commentf("%s: %d times", addr, times))
	}
}

// TestTheDirectoryLeavesSilentInstancesOut replays an instance that freezes: its
// lease has seconds left, but the hubs don't hear it.
func TestTheDirectoryLeavesSilentInstancesOut(t *testing.T) {
	e := edge(
		hitchfleet.Instance{ID: "r1", Addr: "10.0.0.2:80", Zone: "a"},
		hitchfleet.Instance{ID: "r2", Addr: "10.0.0.3:80", Zone: "b"},
	)
	e.liveness.Learn(time.Now(), hitchdigest.Head{From: "r1", Silent: []hitchfleet.InstanceID{"r2", "self"}})
	addrs, _ := e.instancesFor("", "b")
	qt.Assert(t, addrs, qt.DeepEquals, []string{"10.0.0.2:80", "10.0.0.1:80"})
}

func TestAnInstanceThatKnowsNothingNamesNobody(t *testing.T) {
	e := edge()
	e.gateway.SetView(time.Now(), hitchview.View{})
	w := httptest.NewRecorder()
	hitchplatform.Directory{Instances: e.instancesFor}.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/resolve?zone=a", nil))
	qt.Assert(t, w.Code, qt.Equals, http.StatusServiceUnavailable)
	w = httptest.NewRecorder()
	hitchplatform.Readiness{IsReady: e.gateway.IsReady}.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/readiness", nil))
	qt.Assert(t, w.Code, qt.Equals, http.StatusServiceUnavailable)
}

func TestAViewIsPulledFromAnotherInstance(t *testing.T) {
	sender := edge()
	sender.follower.Snapshot = func(context.Context) (hitchview.Batch, error) {
		return hitchview.Batch{Revision: 7, IsSnapshot: true, Messages: []hitchview.Msg{
			hitchview.TableMsg{Revision: 6, Table: hitchroute.NewTable(hitchroute.Config{Version: 9})},
			hitchview.InstanceMsg{Revision: 7, Instance: hitchfleet.Instance{ID: "r9"}},
		}}, nil
	}
	sender.follower.Next = func(ctx context.Context, _ int64) (hitchview.Batch, error) {
		<-ctx.Done()
		return hitchview.Batch{}, ctx.Err()
	}
	ready := make(chan struct{})
	sender.follower.Changed = func(v hitchview.View) { sender.gateway.SetView(time.Now(), v); close(ready) }
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); sender.follower.Run(ctx) }()
	defer func() { cancel(); <-done }()
	<-ready
	server := httptest.NewServer(http.HandlerFunc(sender.serveView))
	defer server.Close()

	receiver := edge()
	addr := strings.TrimPrefix(server.URL, "http://")
	b, err := receiver.pullView(t.Context(), addr, hitchview.View{})
	qt.Assert(t, err, qt.IsNil)
	v := hitchview.View{}.Apply(b)
	qt.Assert(t, v.Revision, qt.Equals, int64(7))
	qt.Assert(t, v.Table.Version(), qt.Equals, int64(9))
	qt.Assert(t, v.Instances(), qt.HasLen, 1)
	b, err = receiver.pullView(t.Context(), addr, v)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, b.Revision, qt.Equals, int64(0))
}

func TestAReloadTakesOverSeeds(t *testing.T) {
	e := edge()
	path := filepath.Join(t.TempDir(), "node.toml")
	text := hitchstandin.Settings("self", "10.0.0.1", "a", "10.0.0.9:1", []string{"10.0.0.7:81"})
	qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	e.reload(path)
	qt.Assert(t, e.others(hitchview.View{}), qt.DeepEquals, []string{"10.0.0.7:81"})
	e.reload(path + ".missing")
	qt.Assert(t, e.others(hitchview.View{}), qt.DeepEquals, []string{"10.0.0.7:81"})
}

// stuckWriter is an output that takes nothing until it is released.
type stuckWriter struct {
	mu       sync.Mutex
	released chan struct{}
	text     strings.Builder
}

func (w *stuckWriter) Write(b []byte) (int, error) {
	<-w.released
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(b)
}

func TestALogNeverBlocksAndCountsWhatItDrops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stuckWriter{released: make(chan struct{})}
		s := newLogSink(out)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		_, _ = s.Write(line)
		time.Sleep(2 * flushEvery) // the output is stuck with the first line
		const lines = 2 * maxPendingBytes / 1024
		for range lines {
			n, err := s.Write(line)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, n, qt.Equals, len(line))
		}
		close(out.released)
		time.Sleep(2 * flushEvery)
		s.Close()
		qt.Assert(t, out.text.String(), qt.Contains, "log lines dropped: Count=256")
	})
}

func TestRelaysAreEncodedOnceForAllThatLackTheSame(t *testing.T) {
	var c relayCache
	calls := 0
	relay := func(int64, int64) hitchview.Relay { calls++; return hitchview.Relay{Revision: 9} }
	for range 87 {
		_, err := c.body(9, 5, 5, relay)
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, calls, qt.Equals, 1)
	_, _ = c.body(9, 4, 4, relay)
	_, _ = c.body(10, 5, 5, relay)
	qt.Assert(t, calls, qt.Equals, 3)
}

// TestAnInstanceThatCannotListenEnds has one address that can't be had: the
// process must end, so that it is started again, and not hang half alive.
func TestAnInstanceThatCannotListenEnds(t *testing.T) {
	tests := map[string]func(*hitchplatform.Settings){
		"callers":   func(s *hitchplatform.Settings) { s.Self.Addr = "256.0.0.1:1" },
		"directory": func(s *hitchplatform.Settings) { s.DirectoryAddr = "256.0.0.1:1" },
		"datagrams": func(s *hitchplatform.Settings) { s.Self.DatagramAddr = "256.0.0.1:1" },
	}
	for name, breakIt := range tests {
		t.Run(name, func(t *testing.T) {
			e := edge()
			s := &e.Settings
			s.Self.Addr, s.Self.PeerAddr, s.Self.DatagramAddr = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
			s.DirectoryAddr, s.ReadyAddr, s.MetricsAddr, s.StoreAddr = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:1"
			breakIt(s)
			qt.Assert(t, e.Run(t.Context()), qt.Not(qt.IsNil))
		})
	}
}

func TestAServerThatCannotListenSaysSo(t *testing.T) {
	err := listen(&http.Server{}, "256.0.0.1:1")
	qt.Assert(t, err, qt.Not(qt.IsNil))
	qt.Assert(t, errors.Is(err, http.ErrServerClosed), qt.IsFalse)
}
