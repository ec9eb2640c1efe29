package hitchfake

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
)

func TestListLagsAndErrs(t *testing.T) {
	fleet := hitchfleet.InstanceList{
		Instances: []hitchfleet.Instance{{ID: "router-1"}, {ID: "router-2", Leaving: true}},
		Endpoints: []hitchfleet.Endpoint{{ID: "engine-1", Kind: hitchfleet.KindEngine}},
	}
	synctest.Test(t, func(t *testing.T) {
		var list List
		r, admin := newRig(t, list.Handler()), newRig(t, list.Admin())
		read := func() (got hitchfleet.InstanceList) {
			r.read(r.do("GET", "/instances", nil), &got)
			return got
		}
		settings := ListSettings{LagMillis: 2000}
		qt.Assert(t, admin.do("POST", "/settings", settings).status, qt.Equals, 204)
		qt.Assert(t, admin.do("PUT", "/instances", fleet).status, qt.Equals, 204)
		qt.Assert(t, read().Instances, qt.HasLen, 0)
		time.Sleep(2 * time.Second)
		got := read()
		qt.Assert(t, got.Instances, qt.DeepEquals, fleet.Instances)
		qt.Assert(t, got.Endpoints, qt.DeepEquals, fleet.Endpoints)
		qt.Assert(t, time.Since(got.AsOf), qt.Equals, 2*time.Second)

		list.Put(hitchfleet.InstanceList{})
		time.Sleep(time.Second)
		qt.Assert(t, read().Instances, qt.HasLen, 2)
		list.Set(ListSettings{LagMillis: 2000, Duplicate: true, Missing: []string{"router-1"}})
		qt.Assert(t, read().Instances, qt.DeepEquals, []hitchfleet.Instance{fleet.Instances[1], fleet.Instances[1]})
		time.Sleep(time.Second)
		qt.Assert(t, read().Instances, qt.HasLen, 0)
	})
}

func TestWeightsLimitDownloads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		weights := Weights{PerSecond: 0.1}
		r := newRig(t, weights.Handler())
		qt.Assert(t, r.do("GET", "/weights/guide-llm", nil).body, qt.HasLen, weightBytes)
		refused := r.do("GET", "/weights/guide-llm", nil)
		qt.Assert(t, refused.status, qt.Equals, http.StatusTooManyRequests)
		qt.Assert(t, refused.header.Get("Retry-After"), qt.Equals, "10")
		time.Sleep(10 * time.Second)
		qt.Assert(t, r.do("GET", "/weights/guide-llm", nil).status, qt.Equals, http.StatusOK)
	})
}

func TestFaultsOverHTTP(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var service Service
		r := newRig(t, service.Admin())
		list := FaultList{Faults: []Fault{{Kind: FaultSlow, Millis: 5, Path: "/pay"}}}
		qt.Assert(t, r.do("POST", "/faults", list).status, qt.Equals, 200)
		qt.Assert(t, service.Faults.Active(), qt.DeepEquals, list.Faults)
		wrong := FaultList{Faults: []Fault{{Kind: "Gremlin"}}}
		qt.Assert(t, r.do("POST", "/faults", wrong).status, qt.Equals, 400)
		var got FaultList
		r.read(r.do("GET", "/faults", nil), &got)
		qt.Assert(t, got, qt.DeepEquals, list)
		qt.Assert(t, r.do("DELETE", "/faults", nil).status, qt.Equals, 204)
		qt.Assert(t, service.Faults.Active(), qt.HasLen, 0)
	})
}

// Which requests a share strikes depends on the seed alone.
func TestFaultShareIsSeeded(t *testing.T) {
	draw := func(seed uint64) (struck []bool) {
		faults := Faults{Seed: seed}
		faults.Set(Fault{Kind: FaultCut, Share: 0.5})
		for range 64 {
			_, ok := faults.strike(FaultCut, "/")
			struck = append(struck, ok)
		}
		return struck
	}
	qt.Assert(t, draw(1), qt.DeepEquals, draw(1))
	qt.Assert(t, draw(1), qt.Not(qt.DeepEquals), draw(2))
}

func TestNetworkGoesSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var service Service
		r := newRig(t, service.Handler())
		qt.Assert(t, r.do("GET", "/a", nil).status, qt.Equals, 200)
		r.network.Silence("fake:80")
		start := time.Now()
		qt.Assert(t, r.do("GET", "/a", nil).err, qt.IsNotNil)
		qt.Assert(t, time.Since(start), qt.Equals, 10*time.Second, qt.Commentf("only the caller's timeout ends it"))
		qt.Assert(t, r.do("GET", "/a", nil).status, qt.Equals, 200)
		r.network.Refuse("fake:80", true)
		r.network.Client().CloseIdleConnections()
		qt.Assert(t, r.do("GET", "/a", nil).err, qt.ErrorMatches, ".*connection refused")
	})
}

// echo answers each byte at a TCP address until the test ends.
func echo(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	return listener.Addr().String()
}

func TestRelay(t *testing.T) {
	relay := Relay{Target: echo(t)}
	addr, err := relay.Listen("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { qt.Check(t, relay.Close(), qt.IsNil) }()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", addr)
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	say := func(conn net.Conn) {
		_, err := conn.Write([]byte("x"))
		qt.Assert(t, err, qt.IsNil)
	}
	hear := func(conn net.Conn) error {
		_, err := io.ReadFull(conn, make([]byte, 1))
		return err
	}
	old := dial()
	say(old)
	qt.Assert(t, hear(old), qt.IsNil)
	relay.Silence()
	say(old)
	fresh := dial()
	say(fresh)
	qt.Assert(t, hear(fresh), qt.IsNil)
	relay.Pause()
	say(fresh)
	relay.Resume()
	qt.Assert(t, hear(fresh), qt.IsNil)
	qt.Assert(t, old.SetReadDeadline(time.Now().Add(20*time.Millisecond)), qt.IsNil)
	qt.Assert(t, hear(old), qt.ErrorIs, os.ErrDeadlineExceeded)
}

// The records of an engine are for programs in any language.
func TestEngineAdmin(t *testing.T) {
	var engine Engine
	server := httptest.NewServer(engine.Admin())
	defer server.Close()
	response, err := http.Get(server.URL + "/records")
	qt.Assert(t, err, qt.IsNil)
	defer response.Body.Close()
	var records EngineRecords
	qt.Assert(t, json.NewDecoder(response.Body).Decode(&records), qt.IsNil)
	qt.Assert(t, records, qt.DeepEquals, EngineRecords{})
}
