package hitchsoak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchdigest"
	"citronhitch.example/citronhitch/hitchfake"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchpath"
	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

const (
	// machineMegabytes is the memory of the smallest machines.
	machineMegabytes = 184
	// endlessTime is how long a case lasts.
	endlessTime = 2 * time.Second
	// endlessConns is the number of callers at once.
	endlessConns = 64
	// impostor is the name of an instance that sends bytes without end, and impostorPort that of its datagrams.
	impostor     = "router-impostor"
	impostorPort = 7355
)

const okHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\n"

// floods are the kinds of bytes without end.
var floods = map[string]hitchfake.Flood{
	"header lines":  {Start: "HTTP/1.1 200 OK\r\n", Unit: "A: a\r\n"},
	"one line":      {Start: "HTTP/1.1 200 OK\r\nA: ", Unit: "a"},
	"interim":       {Start: "", Unit: "HTTP/1.1 103 Early Hints\r\nA: a\r\n\r\n"},
	"body":          {Start: okHead + "\r\n" + `{"A":"`, Unit: "a", IDHeader: "X-Attempt-Id"},
	"chunks":        {Start: okHead + "Transfer-Encoding: chunked\r\n\r\n", Unit: "40\r\n" + strings.Repeat(" ", 64) + "\r\n", IDHeader: "X-Attempt-Id"},
	"error":         {Start: "HTTP/1.1 503 Busy\r\nX-Attempt-Id: {id}\r\n\r\n", Unit: "a", IDHeader: "X-Attempt-Id"},
	"events":        {Start: okHead + "Content-Type: text/event-stream\r\n\r\n", Unit: "data: a\n", IDHeader: "X-Attempt-Id"},
	"slow header":   {Start: "HTTP/1.1 200 OK\r\n", Unit: "A: a\r\n", IsSlow: true},
	"slow body":     {Start: okHead + "\r\n", Unit: "a", IDHeader: "X-Attempt-Id", IsSlow: true},
	"slow comments": {Start: okHead + "Content-Type: text/event-stream\r\n\r\n", Unit: ": a\n\n", IDHeader: "X-Attempt-Id", IsSlow: true},
	"no HTTP":       {Start: "", Unit: "\x00\xff"},
}

// listenEach calls serve for each connection to a loopback address, which it returns.
func listenEach(t *testing.T, serve func(net.Conn)) string {
	addr, stop, err := hitchfake.ServeEach(serve)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(stop)
	return addr
}

// endlessFleet is a fleet of three processes on machines of machineMegabytes, whose path to the store can be replaced with
// bytes without end.
type endlessFleet struct {
	*killedFleet
	stores []*hitchfake.FloodablePath
	hits   hitchfake.FloodHits
}

// floodStore replaces the paths to the store with bytes without end, or restores them if kind is nil.
func (f *endlessFleet) floodStore(kind *hitchfake.Flood) {
	for _, path := range f.stores {
		path.SetFlood(kind)
	}
}

func startEndlessFleet(t *testing.T, seed uint64, program string) *endlessFleet {
	f := &endlessFleet{killedFleet: &killedFleet{fleet: &fleet{dir: t.TempDir()}, t: t}}
	t.Cleanup(f.killInstances)
	qt.Assert(t, f.start(t.Context(), &Soak{Seed: seed, Program: program, Instances: 3}), qt.IsNil)
	for _, i := range f.instances {
		i.signal(syscall.SIGKILL)
		_ = i.cmd.Wait()
		path := &hitchfake.FloodablePath{Target: i.storeAddr, Hits: &f.hits}
		f.stores = append(f.stores, path)
		addr := listenEach(t, path.Serve)
		text, err := os.ReadFile(i.settings)
		qt.Assert(t, err, qt.IsNil)
		changed := strings.Replace(strings.Replace(string(text), i.storeAddr, addr, 1), "linkMbps", fmt.Sprintf("memoryMb = %d\nlinkMbps", machineMegabytes), 1)
		qt.Assert(t, os.WriteFile(i.settings, []byte(changed), 0o600), qt.IsNil)
		qt.Assert(t, i.start(), qt.IsNil)
	}
	f.awaitServing("ready")
	return f
}

// awaitServing waits until all instances serve.
func (f *endlessFleet) awaitServing(name string) {
	for n, addr := range f.addrs() {
		qt.Check(f.t, f.await(20*time.Second, func() bool {
			return f.request(&killedStream{}, addr, fmt.Sprintf("%s-%d-%d", name, n, time.Now().UnixNano()), "/stream/2x10/x") == http.StatusOK
		}), qt.IsTrue, qt.Commentf("%s: instance %d doesn't serve", name, n))
	}
}

// callAll sends requests to all instances for endlessTime, and returns how many got an answer.
func (f *endlessFleet) callAll(name string) (answered int64) {
	var served atomic.Int64
	var group sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: endlessConns}}
	start := time.Now()
	for n := range endlessConns {
		group.Go(func() {
			for i := 0; time.Since(start) < endlessTime; i++ {
				path := []string{"/lookup/x", "/stream/4x20/x", "/booking/x"}[i%3]
				x := f.sendTo(client, n%len(f.instances), path, fmt.Sprintf("%s-%d-%d", strings.ReplaceAll(name, " ", "-"), n, i), start)
				if x.Err == nil && x.Status == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	group.Wait()
	return served.Load()
}

var peakMemory = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// checkMemory checks that no process has ended, nor used more memory than its machine has.
func (f *endlessFleet) checkMemory(t *testing.T) (largestMegabytes int) {
	for _, i := range f.instances {
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.cmd.Process.Pid))
		qt.Assert(t, err, qt.IsNil)
		m := peakMemory.FindSubmatch(status)
		qt.Assert(t, m, qt.HasLen, 2, qt.Commentf("%s has ended", i.name))
		kilobytes, _ := strconv.Atoi(string(m[1]))
		largestMegabytes = max(largestMegabytes, kilobytes>>10)
	}
	qt.Check(t, largestMegabytes < machineMegabytes, qt.IsTrue, qt.Commentf("%d MB", largestMegabytes))
	return largestMegabytes
}

// putEndless adds endpoints that send bytes without end, and returns the function that removes them.
func (f *endlessFleet) putEndless(t *testing.T, kinds map[string]hitchfake.Flood) (remove func()) {
	var keys []string
	for name, kind := range kinds {
		e := hitchstandin.Endpoint{ID: "endless-" + strings.ReplaceAll(name, " ", "-"), Service: "engines", Zone: zoneOf(len(keys)), Addr: listenEach(t, func(c net.Conn) { kind.Serve(c, &f.hits) })}
		if len(keys)%2 == 1 {
			e.Service = "shop"
		}
		keys = append(keys, e.Key())
		f.store.Put(e.Key(), e.Entry("ready"))
	}
	return func() {
		for _, key := range keys {
			f.store.Delete(key)
		}
	}
}

// addImpostor adds an instance that is alive by its datagrams and that says to be a hub with the newest revision, while what it
// serves has no end. It returns the function that removes it.
func (f *endlessFleet) addImpostor(t *testing.T, kind hitchfake.Flood) (remove func()) {
	addr := listenEach(t, func(c net.Conn) { kind.Serve(c, &f.hits) })
	ip := strings.TrimSuffix(f.instances[0].ip, "1") + "9"
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(ip), Port: impostorPort})
	qt.Assert(t, err, qt.IsNil)
	self := hitchfleet.Instance{Incarnation: 1, Addr: addr, PeerAddr: addr, DatagramAddr: socket.LocalAddr().String(), LinkMegabits: 1000, Region: "r", Zone: "a"}
	entry, _ := json.Marshal(self)
	f.store.Put("citronhitch/instances/"+impostor, entry)
	send := func(p hitchdigest.Packet, to *net.UDPAddr) {
		data, _ := p.Encode()
		_, _ = socket.WriteToUDP(data, to)
	}
	go f.answerPaths(socket, send)
	ended := make(chan struct{})
	go func() {
		for {
			select {
			case <-ended:
				return
			case <-time.After(100 * time.Millisecond):
			}
			status := hitchdigest.HubStatus{From: impostor, Zone: "a", Revision: 1 << 40, IsStoreReachable: true, ViewAddr: addr}
			for _, i := range f.instances {
				to := &net.UDPAddr{IP: net.ParseIP(i.ip), Port: impostorPort}
				send(hitchdigest.Packet{Report: &hitchdigest.Report{From: impostor}}, to)
				send(hitchdigest.Packet{Digest: &hitchdigest.Digest{From: impostor, HubStatus: &status}}, to)
			}
		}
	}()
	return func() {
		close(ended)
		_ = socket.Close()
		f.store.Delete("citronhitch/instances/" + impostor)
	}
}

// answerPaths says that the impostor reaches endpoints, so that requests are relayed to it.
func (f *endlessFleet) answerPaths(socket *net.UDPConn, send func(hitchdigest.Packet, *net.UDPAddr)) {
	buf := make([]byte, 16<<10)
	for {
		n, from, err := socket.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if p, err := hitchdigest.Decode(buf[:n]); err == nil && p.PathRequest != nil {
			send(hitchdigest.Packet{PathReply: &hitchpath.ReplyMsg{ID: p.PathRequest.ID, From: impostor, ReachesEndpoints: true}}, from)
		}
	}
}

// floodCallers opens connections to all instances whose requests have no end, and returns the function that closes them.
func (f *endlessFleet) floodCallers(t *testing.T) (end func()) {
	head := "POST /lookup/x HTTP/1.1\r\nHost: soak.example\r\nApi-Key: " + f.keys[0] + "\r\nX-Attempt-Id: endless\r\n"
	kinds := []hitchfake.Flood{
		{Start: head, Unit: "A: a\r\n"}, {Start: head, Unit: "A: a\r\n", IsSlow: true}, {Start: head + "A: ", Unit: "a"},
		{Start: head + "Content-Length: 1000000000000\r\n\r\n", Unit: "a"}, {Start: head + "Transfer-Encoding: chunked\r\n\r\n", Unit: "1\r\na\r\n"},
		{Start: head + "Content-Length: 900000\r\n\r\n", Unit: "a", IsSlow: true}, {Start: head + "Transfer-Encoding: chunked\r\n\r\n40;a=", Unit: "a"}, {Start: "", Unit: "\x00\xff"},
	}
	var conns []net.Conn
	for n := range 3 * endlessConns {
		c, err := net.Dial("tcp", f.addrs()[n%len(f.instances)])
		qt.Assert(t, err, qt.IsNil)
		conns = append(conns, c)
		go kinds[n/3%len(kinds)].Send(c)
	}
	return func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}
}

// buildProgram builds the program without the race detector, which takes several times the memory.
func buildProgram(t *testing.T) (path string) {
	path = filepath.Join(t.TempDir(), "citronhitch")
	out, err := exec.Command("go", "build", "-o", path, "../cmd/citronhitch").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return path
}

// TestEndlessBytesKeepNoMemory guards against instances that keep bytes without end until they run out of memory, and
// whose other requests end with them (rule LOST): of endpoints, of other instances (views, origins, relayed requests), of
// the store and of callers. Processes that other machines would run are real ones.
func TestEndlessBytesKeepNoMemory(t *testing.T) {
	f := startEndlessFleet(t, 360, buildProgram(t))

	t.Run("endpoints", func(t *testing.T) {
		remove := f.putEndless(t, floods)
		served := f.callAll("endpoints")
		remove()
		hits := f.hits.Take()
		t.Log(served, "served,", hits, f.checkMemory(t), "MB")
		qt.Check(t, hits["/lookup/x"] > 0 && hits["/stream/4x20/x"] > 0, qt.IsTrue)
		f.awaitServing("after-endpoints")
	})
	t.Run("callers", func(t *testing.T) {
		end := f.floodCallers(t)
		served := f.callAll("callers")
		end()
		t.Log(served, "served,", f.checkMemory(t), "MB")
		f.awaitServing("after-callers")
	})
	for _, name := range []string{"body", "header lines", "error", "slow body"} {
		t.Run("instance, "+name, func(t *testing.T) {
			remove := f.addImpostor(t, floods[name])
			served := f.callAll("instance-" + name)
			for _, e := range f.endpoints { // requests are relayed
				e.relay.Pause()
			}
			relayed := f.callAll("cut-"+name) + f.callAll("relay-"+name) // it takes a while until the instances say that they are cut off
			for _, e := range f.endpoints {
				e.relay.Resume()
			}
			remove()
			hits := f.hits.Take()
			t.Log(served, "served,", relayed, "while no endpoint answered,", hits, f.checkMemory(t), "MB")
			qt.Check(t, hits["/v1/view"] > 0 && hits["/lookup/x"]+hits["/stream/4x20/x"] > 0, qt.IsTrue)
			f.awaitServing("after-instance")
		})
		t.Run("store, "+name, func(t *testing.T) {
			kind := floods[name]
			f.floodStore(&kind)
			served := f.callAll("store-" + name)
			f.floodStore(nil)
			hits := f.hits.Take()
			t.Log(served, "served,", hits, f.checkMemory(t), "MB")
			qt.Check(t, hits["/v1/kv-watch"] > 0, qt.IsTrue)
			f.awaitServing("after-store")
		})
	}
}
