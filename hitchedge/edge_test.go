package hitchedge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"citronhitch.example/citronhitch/hitchdigest"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchingress"
	"citronhitch.example/citronhitch/hitchroute"
	"citronhitch.example/citronhitch/hitchserver"
	"citronhitch.example/citronhitch/hitchview"
	hitchplatform "citronhitch.example/citronhitch/platform"
	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

// newEdge returns an instance with a configuration and a view of other instances.
func newEdge(others ...hitchfleet.Instance) *Edge {
	e := newStartingEdge()
	e.gateway.SetView(time.Now(), newView(others...))
	return e
}

// newView returns a view with a configuration and instances.
func newView(instances ...hitchfleet.Instance) hitchview.View {
	view := hitchview.View{}.Update(hitchview.TableMsg{Revision: 1, Table: hitchroute.NewTable(hitchroute.Config{Version: 1})})
	for _, i := range instances {
		view = view.Update(hitchview.InstanceMsg{Revision: 2, Instance: i})
	}
	return view
}

// silentRefs returns the sorted references of instances.
func silentRefs(ids ...hitchfleet.InstanceID) (out []hitchdigest.InstanceRef) {
	for _, id := range ids {
		out = append(out, hitchdigest.InstanceRefOf(id))
	}
	slices.Sort(out)
	return out
}

// newStartingEdge returns an instance without a view.
func newStartingEdge() *Edge {
	e := &Edge{
		Settings: hitchplatform.Settings{Self: hitchfleet.Instance{ID: "self", Addr: "10.0.0.1:80", PeerAddr: "10.0.0.1:81", Zone: "a"}},
		Log:      hclog.NewNullLogger(),
	}
	e.Settings.Bounds.DirectoryTTLSeconds = 5
	e.initialize()
	return e
}

func TestDirectoryListsCallersZoneFirst(t *testing.T) {
	e := newEdge(
		hitchfleet.Instance{ID: "r1", Addr: "10.0.0.2:80", Zone: "a"},
		hitchfleet.Instance{ID: "r2", Addr: "10.0.0.3:80", Zone: "b"},
		hitchfleet.Instance{ID: "r3", Addr: "10.0.0.4:80", Zone: "b", Leaving: true},
	)
	addrs, ttl := e.directoryAddrs("", "b")
	qt.Assert(t, addrs, qt.DeepEquals, []string{"10.0.0.3:80", "10.0.0.2:80", "10.0.0.1:80"})
	qt.Assert(t, ttl, qt.Equals, directoryTTLSeconds)
	e.gateway.StartDraining(hitchingress.Drain{})
	addrs, _ = e.directoryAddrs("", "b")
	qt.Assert(t, addrs, qt.DeepEquals, []string{"10.0.0.3:80", "10.0.0.2:80"})
}

// TestDirectoryCoversLargeFleet checks that all instances of a large fleet get about
// as many callers, although a directory response holds only 64 addresses.
func TestDirectoryCoversLargeFleet(t *testing.T) {
	const n, queries = 300, 400
	var others []hitchfleet.Instance
	for i := range n - 1 {
		others = append(others, hitchfleet.Instance{ID: hitchfleet.InstanceID(fmt.Sprint("r", i)), Addr: fmt.Sprint("10.0.1.", i), Zone: hitchfleet.AvailabilityZone(fmt.Sprint(i % 3))})
	}
	e := newEdge(others...)
	counts := map[string]int{}
	for range queries {
		addrs, _ := e.directoryAddrs("", "0")
		qt.Assert(t, addrs, qt.HasLen, hitchplatform.MaxAddresses)
		for _, addr := range addrs {
			counts[addr]++
		}
	}
	qt.Assert(t, counts, qt.HasLen, n)
	for addr, count := range counts {
		qt.Assert(t, count < 3*queries*hitchplatform.MaxAddresses/n, qt.IsTrue, qt.Commentf("%s: %d times", addr, count))
	}
}

// TestDirectoryOmitsSilentInstances covers an instance that freezes: its lease is
// valid for seconds more, but the hubs receive no reports from it.
func TestDirectoryOmitsSilentInstances(t *testing.T) {
	e := newEdge(
		hitchfleet.Instance{ID: "r1", Addr: "10.0.0.2:80", Zone: "a"},
		hitchfleet.Instance{ID: "r2", Addr: "10.0.0.3:80", Zone: "b"},
	)
	e.liveness.RecordHubStatus(time.Now(), hitchdigest.HubStatus{From: "r1", Silence: hitchdigest.Silence{Instances: silentRefs("r2", "self"), IsSettled: true}})
	addrs, _ := e.directoryAddrs("", "b")
	qt.Assert(t, addrs, qt.DeepEquals, []string{"10.0.0.2:80", "10.0.0.1:80"})
}

func TestDirectoryUnavailableWithoutConfiguration(t *testing.T) {
	e := newEdge()
	e.gateway.SetView(time.Now(), hitchview.View{})
	w := httptest.NewRecorder()
	hitchplatform.Directory{Addrs: e.directoryAddrs}.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/resolve?zone=a", nil))
	qt.Assert(t, w.Code, qt.Equals, http.StatusServiceUnavailable)
	w = httptest.NewRecorder()
	hitchplatform.Readiness{IsReady: e.gateway.IsReady}.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/readiness", nil))
	qt.Assert(t, w.Code, qt.Equals, http.StatusServiceUnavailable)
}

func TestFetchViewFromPeer(t *testing.T) {
	sender := newEdge()
	sender.follower.Snapshot = func(context.Context) (hitchview.Batch, error) {
		return hitchview.Batch{Revision: 7, IsSnapshot: true, Messages: []hitchview.Msg{
			hitchview.TableMsg{Revision: 6, Table: hitchroute.NewTable(hitchroute.Config{Version: 9})},
			hitchview.InstanceMsg{Revision: 7, Instance: hitchfleet.Instance{ID: "r9"}},
		}}, nil
	}
	sender.follower.Watch = func(ctx context.Context, _ hitchfleet.Revision) (hitchview.Batch, error) {
		<-ctx.Done()
		return hitchview.Batch{}, ctx.Err()
	}
	ready := make(chan struct{})
	sender.follower.OnChange = func(v hitchview.View) { sender.gateway.SetView(time.Now(), v); close(ready) }
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); sender.follower.Run(ctx) }()
	defer func() { cancel(); <-done }()
	<-ready
	server := httptest.NewServer(http.HandlerFunc(sender.serveView))
	defer server.Close()

	receiver := newEdge()
	receiver.peerClient = http.Client{}
	addr := strings.TrimPrefix(server.URL, "http://")
	b, err := receiver.fetchView(t.Context(), addr, hitchview.View{})
	qt.Assert(t, err, qt.IsNil)
	v := hitchview.View{}.Apply(b)
	qt.Assert(t, v.Revision, qt.Equals, hitchfleet.Revision(7))
	qt.Assert(t, v.Table.Version(), qt.Equals, int64(9))
	qt.Assert(t, v.Instances(), qt.HasLen, 1)
	b, err = receiver.fetchView(t.Context(), addr, v)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, b.Revision, qt.Equals, hitchfleet.Revision(0))
}

// TestInstanceWithoutCurrentViewStartsNoOthers covers an instance that is cut off from
// the store and the hubs: what it knows may be old.
func TestInstanceWithoutCurrentViewStartsNoOthers(t *testing.T) {
	sender := newEdge()
	server := httptest.NewServer(http.HandlerFunc(sender.serveView))
	defer server.Close()
	receiver := newEdge()
	receiver.peerClient = http.Client{}
	_, err := receiver.fetchView(t.Context(), strings.TrimPrefix(server.URL, "http://"), hitchview.View{})
	qt.Assert(t, err, qt.ErrorIs, hitchview.ErrNoView)
}

// TestViewIsSentOnceItIsKnown covers a fleet that starts: many instances ask a seed that
// has no view yet, and get it with their first request.
func TestViewIsSentOnceItIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		seed := newStartingEdge()
		read := make(chan struct{})
		seed.follower.StartPeers = nil
		seed.follower.Snapshot = func(context.Context) (hitchview.Batch, error) {
			<-read
			return hitchview.Batch{Revision: 7, IsSnapshot: true, Messages: []hitchview.Msg{
				hitchview.TableMsg{Revision: 6, Table: hitchroute.NewTable(hitchroute.Config{Version: 9})},
			}}, nil
		}
		seed.follower.Watch = func(ctx context.Context, _ hitchfleet.Revision) (hitchview.Batch, error) {
			<-ctx.Done()
			return hitchview.Batch{}, ctx.Err()
		}
		seed.follower.Probe = func(context.Context) (hitchfleet.Revision, error) { return 7, nil }
		ctx, cancel := context.WithCancel(t.Context())
		var running, asking sync.WaitGroup
		running.Go(func() { seed.follower.Run(ctx) })
		defer running.Wait()
		defer cancel()
		for range 20 {
			asking.Go(func() {
				w := httptest.NewRecorder()
				seed.serveView(w, httptest.NewRequest(http.MethodGet, viewPath+"?Revision=0&TableRevision=0", nil))
				qt.Check(t, w.Code, qt.Equals, http.StatusOK)
				qt.Check(t, w.Body.Len() > 0, qt.IsTrue)
			})
		}
		time.Sleep(maxViewWait / 2)
		close(read)
		asking.Wait()
	})
}

func TestSeedsReadTheStoreThemselves(t *testing.T) {
	e := newEdge()
	e.seeds.Store(&[]string{"10.0.0.7:81"})
	qt.Assert(t, e.startPeers(), qt.DeepEquals, []string{"10.0.0.7:81"})
	e.seeds.Store(&[]string{"10.0.0.7:81", e.Settings.Self.PeerAddr})
	qt.Assert(t, e.startPeers(), qt.HasLen, 0)
}

// TestDigestOfOtherThanHubCountsAsStatusOnly covers an instance that considers itself a
// hub because it is cut off from the real ones: its sums lack most instances.
func TestDigestOfOtherThanHubCountsAsStatusOnly(t *testing.T) {
	hub := hitchfleet.Instance{ID: "hub", PeerAddr: "10.0.0.2:81", LinkMegabits: 10}
	other := hitchfleet.Instance{ID: "other", PeerAddr: "10.0.0.3:81", LinkMegabits: 1}
	e := newEdge(hub, other)
	e.updateRegion(e.gateway.View())
	e.Settings.Self.LinkMegabits = 0
	silence := hitchdigest.Silence{Instances: silentRefs("x"), IsSettled: true}
	for _, from := range []hitchfleet.InstanceID{"stranger", "hub"} {
		status := hitchdigest.HubStatus{From: from, Silence: silence}
		e.handlePacket(hitchdigest.Packet{Digest: &hitchdigest.Digest{From: from, HubStatus: &status}}, "10.0.0.2:82")
		qt.Assert(t, e.liveness.IsSilent(time.Now(), "x"), qt.Equals, from == "hub")
	}
}

func TestReloadUpdatesSeeds(t *testing.T) {
	e := newEdge()
	path := filepath.Join(t.TempDir(), "node.toml")
	text := hitchstandin.Settings("self", "10.0.0.1", "a", "10.0.0.9:1", []string{"10.0.0.7:81"})
	qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	e.reload(path)
	qt.Assert(t, e.peerAddrs(hitchview.View{}), qt.DeepEquals, []string{"10.0.0.7:81"})
	e.reload(path + ".missing")
	qt.Assert(t, e.peerAddrs(hitchview.View{}), qt.DeepEquals, []string{"10.0.0.7:81"})
}

// blockingWriter blocks every write until it is released.
type blockingWriter struct {
	mu       sync.Mutex
	released chan struct{}
	text     strings.Builder
}

func (w *blockingWriter) Write(b []byte) (int, error) {
	<-w.released
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(b)
}

func TestLogSinkDropsLinesInsteadOfBlocking(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockingWriter{released: make(chan struct{})}
		s := newLogSink(out)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		_, _ = s.Write(line)
		time.Sleep(2 * flushInterval) // the output blocks on the first line
		const lines = 2 * maxPendingBytes / 1024
		for range lines {
			n, err := s.Write(line)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, n, qt.Equals, len(line))
		}
		close(out.released)
		time.Sleep(2 * flushInterval)
		s.Close()
		qt.Assert(t, out.text.String(), qt.Contains, "log lines dropped: Count=256")
	})
}

func TestPeerUpdateIsEncodedOnce(t *testing.T) {
	synctest.Test(t, testPeerUpdateIsEncodedOnce)
}

func testPeerUpdateIsEncodedOnce(t *testing.T) {
	var cache peerUpdateCache
	calls := 0
	newUpdate := func(hitchfleet.Revision, hitchfleet.Revision) hitchview.PeerUpdate {
		calls++
		return hitchview.PeerUpdate{Revision: 9}
	}
	for range 87 {
		_, err := cache.get(9, 5, 5, newUpdate)
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, calls, qt.Equals, 1)
	_, _ = cache.get(9, 4, 4, newUpdate)
	_, _ = cache.get(10, 5, 5, newUpdate)
	qt.Assert(t, calls, qt.Equals, 3)
}

// TestRunFailsIfAnAddressIsUnavailable checks that Run returns an error if one address
// can't be listened on, so that the process is restarted and doesn't keep running
// with only a part of its servers.
func TestRunFailsIfAnAddressIsUnavailable(t *testing.T) {
	tests := map[string]func(*hitchplatform.Settings){
		"callers":   func(settings *hitchplatform.Settings) { settings.Self.Addr = "256.0.0.1:1" },
		"directory": func(settings *hitchplatform.Settings) { settings.DirectoryAddr = "256.0.0.1:1" },
		"datagrams": func(settings *hitchplatform.Settings) { settings.Self.DatagramAddr = "256.0.0.1:1" },
	}
	for name, setBadAddr := range tests {
		t.Run(name, func(t *testing.T) {
			e := newEdge()
			settings := &e.Settings
			settings.Self.Addr, settings.Self.PeerAddr, settings.Self.DatagramAddr = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
			settings.DirectoryAddr, settings.ReadyAddr, settings.MetricsAddr, settings.StoreAddr = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:1"
			setBadAddr(settings)
			qt.Assert(t, e.Run(t.Context()), qt.Not(qt.IsNil))
		})
	}
}

func TestListenAndServeReturnsListenError(t *testing.T) {
	err := listenAndServe(&hitchserver.Server{}, "256.0.0.1:1")
	qt.Assert(t, err, qt.Not(qt.IsNil))
	qt.Assert(t, errors.Is(err, http.ErrServerClosed), qt.IsFalse)
}

// TestDirectoryRequestInFlightIsAnsweredAtStop covers a caller that asks for addresses
// while the instance ends.
func TestDirectoryRequestInFlightIsAnsweredAtStop(t *testing.T) {
	// An address of its own, so that no other listener gets the port.
	pid := os.Getpid()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:0", 64+pid%64, pid/64%256))
	qt.Assert(t, err, qt.IsNil)
	addr := l.Addr().String()
	qt.Assert(t, l.Close(), qt.IsNil)
	ctx, stop := context.WithCancel(t.Context())
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		stop()
		for c, err := net.Dial("tcp", addr); err == nil; c, err = net.Dial("tcp", addr) {
			_ = c.Close() // the shutdown hasn't begun yet
		}
		w.WriteHeader(http.StatusNoContent)
	})
	served := make(chan error, 1)
	go func() { served <- serveUntil(ctx, addr, &hitchserver.Server{HTTP: http.Server{Handler: handler}}) }()
	for {
		res, err := http.Get("http://" + addr)
		if errors.Is(err, syscall.ECONNREFUSED) && ctx.Err() == nil {
			continue // not listening yet
		}
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, res.Body.Close(), qt.IsNil)
		qt.Assert(t, res.StatusCode, qt.Equals, http.StatusNoContent)
		break
	}
	qt.Assert(t, <-served, qt.IsNil)
}

// TestDrainOutlastsDirectoryResponses checks that callers are accepted until a response
// of a directory that still named the instance has expired.
func TestDrainOutlastsDirectoryResponses(t *testing.T) {
	qt.Assert(t, drainDelay.Seconds() >= directoryTTLSeconds+directoryDelay.Seconds(), qt.IsTrue)
}

// TestCallersAreAcceptedWhileInstanceIsListed covers a planned stop whose removal of the
// entry gets no response from the store at first.
func TestCallersAreAcceptedWhileInstanceIsListed(t *testing.T) {
	const tick = 100 * time.Millisecond
	tests := map[string]struct {
		removedAfter time.Duration
		want         time.Duration
	}{
		"at once":         {0, drainDelay},
		"second attempt":  {1200 * time.Millisecond, 1200*time.Millisecond + drainDelay},
		"store is silent": {time.Hour, 7500 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			deadline := start.Add(7500 * time.Millisecond)
			until := acceptUntil(start, start, deadline, true)
			for now := start; now.Before(until); now = now.Add(tick) {
				until = acceptUntil(now, until, deadline, now.Sub(start) < test.removedAfter)
			}
			got := until.Sub(start)
			qt.Assert(t, got <= test.want && got > test.want-2*tick, qt.IsTrue, qt.Commentf("%s", got))
		})
	}
}

// TestStoppingInstanceIsListedUntilHubsHear covers a store that accepts the removal of the
// entry and then goes away, so that the hubs continue to name the instance.
func TestStoppingInstanceIsListedUntilHubsHear(t *testing.T) {
	e := newEdge()
	end, stop := context.WithCancel(t.Context())
	e.registration.Remove = func(context.Context, hitchfleet.InstanceID) (hitchfleet.Revision, error) {
		stop()
		return 4, nil
	}
	left, leave := context.WithCancel(t.Context())
	leave()
	qt.Assert(t, e.isListed(), qt.IsTrue)
	e.registration.Run(end, left)
	qt.Assert(t, e.registration.HasLeft(), qt.IsTrue)
	listed := e.gateway.View().Update(hitchview.InstanceMsg{Revision: 3, Instance: e.Settings.Self})
	e.gateway.SetView(time.Now(), listed)
	qt.Assert(t, e.isListed(), qt.IsTrue)
	lost := hitchview.Batch{Revision: 4, IsSnapshot: true, KeepExpiredUntil: time.Now().Add(time.Minute)}
	e.gateway.SetView(time.Now(), listed.Apply(lost)) // others keep the entry for a while
	qt.Assert(t, e.isListed(), qt.IsTrue)
	e.gateway.SetView(time.Now(), listed.Update(hitchview.InstanceRemovedMsg{Revision: 4, ID: "self"}))
	qt.Assert(t, e.isListed(), qt.IsFalse)
}

// TestMetricsShowTheEra covers the era of the store after it came back from an older copy.
func TestMetricsShowTheEra(t *testing.T) {
	e := newEdge()
	e.gateway.SetView(time.Now(), hitchview.View{Revision: hitchfleet.NewRevision(3, 12)})
	w := httptest.NewRecorder()
	e.serveMetrics(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	qt.Assert(t, w.Body.String(), qt.Contains, "citronhitch_store_era 3\ncitronhitch_store_revision 12\n")
}

// TestLostRemovalIsWrittenAgain covers an instance that has stopped, and a store that comes
// back from a copy which still has its entry.
func TestLostRemovalIsWrittenAgain(t *testing.T) {
	e := newEdge()
	stopped := hitchfleet.Instance{ID: "stopped", Addr: "10.0.0.9:80"}
	view := e.gateway.View().
		Update(hitchview.InstanceMsg{Revision: 3, Instance: stopped}).
		Update(hitchview.InstanceRemovedMsg{Revision: 4, ID: "stopped"})
	listed := hitchfleet.NewRevision(1, 3)
	e.gateway.SetView(time.Now(), view.Update(hitchview.InstanceMsg{Revision: listed, Instance: stopped}))
	want := []hitchplatform.InstanceEntry{{ID: "stopped", Revision: listed}}
	qt.Assert(t, e.dueEntries(time.Now(), e.currentRegion()), qt.DeepEquals, want)
	addrs, _ := e.directoryAddrs("", "a")
	qt.Assert(t, addrs, qt.DeepEquals, []string{"10.0.0.1:80"})
}
