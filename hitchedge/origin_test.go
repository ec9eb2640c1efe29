package hitchedge

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchorigin"
	"citronhitch.example/citronhitch/hitchroute"
	"citronhitch.example/citronhitch/hitchview"
	hitchplatform "citronhitch.example/citronhitch/platform"
	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

// region of instances that share origins by datagrams and ask each other over HTTP, and
// of stand-ins for endpoints. Their views are set by the test.
type originFleet struct {
	edges   []*Edge
	callers []*httptest.Server
	stops   []func() // ends an instance as a kill does
	runLog  hitchstandin.RunLog
	version map[string]string // of the endpoints
	view    hitchview.View
}

// newOriginFleet starts n instances in three zones and an endpoint for each version.
func newOriginFleet(t *testing.T, n int, versions ...string) *originFleet {
	f := &originFleet{version: make(map[string]string)}
	route := hitchroute.Route{
		Name: "r", Host: "h.example", PathPrefix: "/", Kind: hitchroute.Streaming, IsResumable: true, MaxAttempts: 2,
		TimeoutMilliseconds: 20_000, GapMilliseconds: 400, Splits: []hitchroute.Split{{Service: "s", Weight: 1}},
	}
	f.view = f.view.Update(hitchview.TableMsg{Revision: 1, Table: hitchroute.NewTable(hitchroute.Config{Version: 1, Routes: []hitchroute.Route{route}})})
	for i := range n {
		f.addInstance(t, i)
	}
	for _, version := range versions {
		f.addEndpoint(t, version)
	}
	f.setView()
	return f
}

func (f *originFleet) addInstance(t *testing.T, n int) {
	pid := os.Getpid() // addresses of its own, so that no other test gets the ports
	ip := fmt.Sprintf("127.%d.%d.%d", 128+pid%64, pid/64%256, 10+n)
	e := &Edge{Log: hclog.NewNullLogger(), Settings: hitchplatform.Settings{Self: hitchfleet.Instance{
		ID: hitchfleet.InstanceID(fmt.Sprint("n", n)), Zone: hitchfleet.AvailabilityZone(fmt.Sprint(n % 3)), DatagramAddr: ip + ":7355",
	}}}
	e.initialize()
	e.gateway.OriginExchange.IsViewCurrent = func() bool { return true }
	peers, callers := httptest.NewServer(http.HandlerFunc(e.servePeers)), httptest.NewServer(e.gateway)
	e.Settings.Self.PeerAddr = strings.TrimPrefix(peers.URL, "http://")
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() { defer close(stopped); _ = e.exchangeDatagrams(ctx) }()
	for e.socket.Load() == nil && ctx.Err() == nil {
		tick(t)
	}
	stop := func() {
		cancel()
		<-stopped
		callers.CloseClientConnections()
		callers.Close()
		peers.CloseClientConnections()
		peers.Close()
	}
	t.Cleanup(stop)
	f.view = f.view.Update(hitchview.InstanceMsg{Revision: 2, Instance: e.Settings.Self})
	f.edges, f.callers, f.stops = append(f.edges, e), append(f.callers, callers), append(f.stops, stop)
}

// tick waits a moment for other goroutines.
func tick(t *testing.T) {
	select {
	case <-time.After(time.Millisecond):
	case <-t.Context().Done():
		t.Fatal("the test has ended")
	}
}

func (f *originFleet) addEndpoint(t *testing.T, version string) {
	e := &hitchstandin.Endpoint{ID: fmt.Sprint("e", len(f.version)), Service: "s", RunLog: &f.runLog}
	server := httptest.NewServer(e)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	f.version[e.ID] = version
	f.view = f.view.Update(hitchview.EndpointMsg{Revision: 3, Endpoint: hitchfleet.Endpoint{
		ID: hitchfleet.EndpointID(e.ID), Service: "s", Addr: strings.TrimPrefix(server.URL, "http://"), Version: version,
	}})
}

// setView gives all instances the present view. It has their own entry, as they have been
// there for long.
func (f *originFleet) setView() {
	for _, e := range f.edges {
		if e.gateway.View().Table == nil {
			e.setView(hitchview.View{}.Update(hitchview.TableMsg{Revision: 1, Table: f.view.Table}))
		}
		e.setView(f.view)
	}
}

// stream requests a stream from an instance and returns the status, and a function that
// ends the response. The first event has been read.
func (f *originFleet) stream(t *testing.T, instance int, id, resumes string) (status int, end func()) {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.callers[instance].URL+"/stream/400x20/x", strings.NewReader("b"))
	qt.Assert(t, err, qt.IsNil)
	r.Host = "h.example"
	r.Header.Set("X-Attempt-Id", id)
	if resumes != "" {
		r.Header.Set("Resumes", resumes)
		r.Header.Set("Last-Event-Id", "1")
	}
	res, err := f.callers[instance].Client().Do(r)
	qt.Assert(t, err, qt.IsNil)
	_, err = bufio.NewReader(res.Body).ReadString('\n')
	qt.Assert(t, err, qt.IsNil)
	return res.StatusCode, func() { _ = res.Body.Close() }
}

// versionOf returns the version of the endpoint that ran an attempt.
func (f *originFleet) versionOf(id string) string {
	if runs := f.runLog.Runs(id); len(runs) > 0 {
		return f.version[runs[0].Endpoint]
	}
	return ""
}

// homesWith returns how many other instances than the first have the origin of a stream.
func (f *originFleet) homesWith(stream hitchfleet.Key) (n int) {
	for _, e := range f.edges[1:] {
		if _, source := e.gateway.Origins.Find(stream); source != hitchorigin.SourceUnknown {
			n++
		}
	}
	return n
}

// TestOriginOutlivesItsInstance covers a caller whose stream an instance began that has
// been killed: it goes on at its version, whichever instance the caller returns to.
func TestOriginOutlivesItsInstance(t *testing.T) {
	const instances = 6
	tests := map[string]struct {
		versions []string
		later    []string // versions that start while the stream runs
		homes    int
		killed   []int
		status   int
	}{
		"mixed":                        {[]string{"v1", "v2", "v1", "v2"}, nil, 3, []int{0}, 200},
		"mixed, two instances killed":  {[]string{"v1", "v2", "v1", "v2"}, nil, 3, []int{0, 3}, 200},
		"mixed while the stream runs":  {[]string{"v1", "v1"}, []string{"v2", "v2"}, 3, []int{0}, 200},
		"one version, nothing is sent": {[]string{"v1", "v1"}, nil, 0, []int{0}, 200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newOriginFleet(t, instances, test.versions...)
			status, end := f.stream(t, 0, "first", "")
			defer end()
			qt.Assert(t, status, qt.Equals, http.StatusOK)
			for _, version := range test.later {
				f.addEndpoint(t, version)
			}
			f.setView()
			for begun := time.Now(); f.homesWith(hitchorigin.StreamKey("first")) < test.homes && time.Since(begun) < 5*time.Second; {
				tick(t)
			}
			qt.Assert(t, f.homesWith(hitchorigin.StreamKey("first")), qt.Equals, test.homes)
			for _, n := range test.killed {
				f.stops[n]()
			}
			for n := range instances {
				if n == 0 || n == test.killed[len(test.killed)-1] {
					continue
				}
				id := fmt.Sprint("return-", n)
				status, end := f.stream(t, n, id, "first")
				end()
				qt.Assert(t, status, qt.Equals, test.status)
				qt.Assert(t, f.versionOf(id), qt.Equals, f.versionOf("first"))
			}
		})
	}
}

// TestUnknownOriginIsRefused covers a caller whose stream none of the instances knows,
// while two versions serve.
func TestUnknownOriginIsRefused(t *testing.T) {
	f := newOriginFleet(t, 4, "v1", "v2")
	for n := range f.edges {
		status, end := f.stream(t, n, fmt.Sprint("return-", n), "unknown")
		end()
		qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
		qt.Assert(t, f.runLog.Runs(fmt.Sprint("return-", n)), qt.HasLen, 0)
	}
}

// TestInstanceOutOfTouchSaysOnlyWhatItHasRecorded covers a home that is cut off.
func TestInstanceOutOfTouchSaysOnlyWhatItHasRecorded(t *testing.T) {
	f := newOriginFleet(t, 2, "v1")
	asking, home := f.edges[0], f.edges[1]
	home.gateway.ReceiveOrigins(time.Now(), []hitchorigin.Origin{{Stream: 7, Service: "s", Version: "v1"}})
	tests := map[string]struct {
		stream    hitchfleet.Key
		isCurrent bool
		want      hitchorigin.Knowledge
	}{
		"recorded":                 {7, true, hitchorigin.KnowsRecord},
		"recorded, out of touch":   {7, false, hitchorigin.KnowsRecord},
		"unrecorded":               {8, true, hitchorigin.KnowsOnly},
		"unrecorded, out of touch": {8, false, hitchorigin.KnowsNothing},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			home.gateway.OriginExchange.IsViewCurrent = func() bool { return test.isCurrent }
			answers, silent := asking.askOrigin(t.Context(), test.stream, "r")
			qt.Assert(t, answers, qt.HasLen, 1)
			qt.Assert(t, silent, qt.Equals, 0)
			qt.Assert(t, answers[0].Knowledge, qt.Equals, test.want)
		})
	}
}

// TestCurrencyAfterPause covers a process that is frozen and continued, by readings of
// both clocks and of the time of day alone.
func TestCurrencyAfterPause(t *testing.T) {
	tests := map[string]struct {
		pause   time.Duration
		isLater bool // checked once the view has settled
		settled bool
		hasGap  bool
	}{
		"no pause":                  {100 * time.Millisecond, false, true, false},
		"a busy moment":             {maxPause, false, true, false},
		"frozen":                    {2 * time.Second, false, false, false},
		"frozen, and settled since": {2 * time.Second, true, true, true},
		"frozen for long":           {time.Minute, true, true, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for _, start := range []time.Time{time.Now(), time.Now().Round(0)} {
				var c currency
				qt.Assert(t, c.isSettled(start), qt.IsTrue)
				qt.Assert(t, c.record(start, true), qt.IsFalse)
				now := start.Add(test.pause)
				qt.Assert(t, c.isSettled(now), qt.Equals, test.pause <= maxPause) // before it is recorded
				hasGap := c.record(now, true)
				for test.isLater && now.Sub(start) < test.pause+settleTime {
					now = now.Add(currencyInterval)
					hasGap = c.record(now, true) || hasGap
				}
				qt.Assert(t, c.isSettled(now), qt.Equals, test.settled)
				qt.Assert(t, hasGap, qt.Equals, test.hasGap)
			}
		})
	}
}

// TestGapWhileCutOff covers an instance that runs, but is cut off from the hubs and the
// store.
func TestGapWhileCutOff(t *testing.T) {
	for cut, want := range map[time.Duration]bool{time.Second: false, maxMissedTime + 2*currencyInterval: true} {
		var c currency
		start := time.Now()
		now := start
		qt.Assert(t, c.record(now, true), qt.IsFalse)
		for ; now.Sub(start) < cut; now = now.Add(currencyInterval) {
			qt.Assert(t, c.record(now, false), qt.IsFalse)
		}
		qt.Assert(t, c.record(now, true), qt.Equals, want)
		qt.Assert(t, c.record(now.Add(currencyInterval), true), qt.IsFalse)
	}
}

// TestReturnsInRunningFleet covers returns to instances that run as they do on the
// platform, with views from the store and the hubs.
func TestReturnsInRunningFleet(t *testing.T) {
	const instances = 4
	var store hitchstandin.Store
	var runLog hitchstandin.RunLog
	versions := map[string]string{"e0": "v1", "e1": "v2", "e2": "v1", "e3": "v2"}
	storeServer := httptest.NewServer(&store)
	defer storeServer.CloseClientConnections() // the test's last watches
	store.Put("op/config", hitchstandin.Config(1, nil, hitchstandin.Variation{}))
	for id, version := range versions {
		e := &hitchstandin.Endpoint{ID: id, Service: "engines", Zone: "a", Version: version, RunLog: &runLog}
		server := httptest.NewServer(e)
		t.Cleanup(server.Close)
		e.Addr = strings.TrimPrefix(server.URL, "http://")
		store.Put(e.Key(), e.Entry("ready"))
	}
	pid := os.Getpid()
	ip := func(n int) string { return fmt.Sprintf("127.%d.%d.%d", 192+pid%32, pid/32%256, 10+n) }
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	var edges []*Edge
	for n := range instances {
		path := filepath.Join(t.TempDir(), "node.toml")
		text := hitchstandin.Settings(fmt.Sprint("n", n), ip(n), "a", strings.TrimPrefix(storeServer.URL, "http://"), []string{hitchstandin.ControlAddr(ip(0))})
		qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
		settings, err := hitchplatform.ReadSettings(path)
		qt.Assert(t, err, qt.IsNil)
		e := &Edge{Settings: settings, Log: hclog.NewNullLogger()}
		e.initialize()
		edges = append(edges, e)
		running.Go(func() { qt.Check(t, e.Run(ctx), qt.IsNil) })
	}
	isReady := func(e *Edge) bool {
		view := e.gateway.View()
		return len(view.Instances()) == instances && len(view.Endpoints()) == len(versions) && e.isViewCurrent()
	}
	awaitReady := func(e *Edge) {
		for startedAt := time.Now(); !isReady(e) && time.Since(startedAt) < 20*time.Second; {
			tick(t)
		}
		qt.Assert(t, isReady(e), qt.IsTrue)
	}
	for _, e := range edges {
		awaitReady(e)
	}
	request := func(n int, id, resumes string) int {
		awaitReady(edges[n]) // a busy machine may pause it
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+hitchstandin.FrontAddr(ip(n))+"/stream/100x20/x", strings.NewReader("b"))
		qt.Assert(t, err, qt.IsNil)
		r.Host, r.Close = "soak.example", true
		r.Header.Set("X-Attempt-Id", id)
		if resumes != "" {
			r.Header.Set("Resumes", resumes)
			r.Header.Set("Last-Event-Id", "1")
		}
		res, err := http.DefaultClient.Do(r)
		qt.Assert(t, err, qt.IsNil)
		_, err = bufio.NewReader(res.Body).ReadString('\n')
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, res.Body.Close(), qt.IsNil) // the caller loses its connection
		return res.StatusCode
	}
	for n := range instances {
		first := fmt.Sprint("first-", n)
		qt.Assert(t, request(n, first, ""), qt.Equals, http.StatusOK)
		begun := versions[runLog.Runs(first)[0].Endpoint]
		for m := range instances {
			id := fmt.Sprint("return-", n, "-", m)
			qt.Assert(t, request(m, id, first), qt.Equals, http.StatusOK)
			qt.Assert(t, versions[runLog.Runs(id)[0].Endpoint], qt.Equals, begun)
		}
	}
}
