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

func TestListLagAndErrors(t *testing.T) {
	fleet := hitchfleet.InstanceList{
		Instances: []hitchfleet.Instance{{ID: "router-1"}, {ID: "router-2", Leaving: true}},
		Endpoints: []hitchfleet.Endpoint{{ID: "engine-1", Kind: hitchfleet.KindEngine}},
	}
	synctest.Test(t, func(t *testing.T) {
		var list List
		server, admin := newTestServer(t, list.Handler()), newTestServer(t, list.Admin())
		read := func() (got hitchfleet.InstanceList) {
			server.decode(server.send("GET", "/instances", nil), &got)
			return got
		}
		settings := ListSettings{LagMillis: 2000}
		qt.Assert(t, admin.send("POST", "/settings", settings).status, qt.Equals, 204)
		qt.Assert(t, admin.send("PUT", "/instances", fleet).status, qt.Equals, 204)
		qt.Assert(t, read().Instances, qt.HasLen, 0)
		time.Sleep(2 * time.Second)
		got := read()
		qt.Assert(t, got.Instances, qt.DeepEquals, fleet.Instances)
		qt.Assert(t, got.Endpoints, qt.DeepEquals, fleet.Endpoints)
		qt.Assert(t, time.Since(got.AsOf), qt.Equals, 2*time.Second)

		list.Put(hitchfleet.InstanceList{})
		time.Sleep(time.Second)
		qt.Assert(t, read().Instances, qt.HasLen, 2)
		list.Configure(ListSettings{LagMillis: 2000, Duplicate: true, Missing: []string{"router-1"}})
		qt.Assert(t, read().Instances, qt.DeepEquals, []hitchfleet.Instance{fleet.Instances[1], fleet.Instances[1]})
		time.Sleep(time.Second)
		qt.Assert(t, read().Instances, qt.HasLen, 0)
	})
}

func TestWeightsLimitDownloads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		weights := Weights{PerSecond: 0.1}
		server := newTestServer(t, weights.Handler())
		qt.Assert(t, server.send("GET", "/weights/guide-llm", nil).body, qt.HasLen, weightBytes)
		refused := server.send("GET", "/weights/guide-llm", nil)
		qt.Assert(t, refused.status, qt.Equals, http.StatusTooManyRequests)
		qt.Assert(t, refused.header.Get("Retry-After"), qt.Equals, "10")
		time.Sleep(10 * time.Second)
		qt.Assert(t, server.send("GET", "/weights/guide-llm", nil).status, qt.Equals, http.StatusOK)
	})
}

func TestFaultsOverHTTP(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var service Service
		server := newTestServer(t, service.Admin())
		list := FaultList{Faults: []Fault{{Kind: FaultSlow, Millis: 5, Path: "/pay"}}}
		qt.Assert(t, server.send("POST", "/faults", list).status, qt.Equals, 200)
		qt.Assert(t, service.Faults.Active(), qt.DeepEquals, list.Faults)
		unknown := FaultList{Faults: []Fault{{Kind: "Gremlin"}}}
		qt.Assert(t, server.send("POST", "/faults", unknown).status, qt.Equals, 400)
		var got FaultList
		server.decode(server.send("GET", "/faults", nil), &got)
		qt.Assert(t, got, qt.DeepEquals, list)
		qt.Assert(t, server.send("DELETE", "/faults", nil).status, qt.Equals, 204)
		qt.Assert(t, service.Faults.Active(), qt.HasLen, 0)
	})
}

// The requests to which a fault with a share applies depend only on the seed.
func TestFaultShareIsSeeded(t *testing.T) {
	triggered := func(seed uint64) (results []bool) {
		faults := Faults{Seed: seed}
		faults.Set(Fault{Kind: FaultDisconnect, Share: 0.5})
		for range 64 {
			_, ok := faults.trigger(FaultDisconnect, "/")
			results = append(results, ok)
		}
		return results
	}
	qt.Assert(t, triggered(1), qt.DeepEquals, triggered(1))
	qt.Assert(t, triggered(1), qt.Not(qt.DeepEquals), triggered(2))
}

func TestNetworkStallsAndRefusesConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var service Service
		server := newTestServer(t, service.Handler())
		qt.Assert(t, server.send("GET", "/a", nil).status, qt.Equals, 200)
		server.network.StallConnections("fake:80")
		start := time.Now()
		qt.Assert(t, server.send("GET", "/a", nil).err, qt.IsNotNil)
		qt.Assert(t, time.Since(start), qt.Equals, 10*time.Second, qt.Commentf("only the client's timeout ends the request"))
		qt.Assert(t, server.send("GET", "/a", nil).status, qt.Equals, 200)
		server.network.RefuseConnections("fake:80", true)
		server.network.Client().CloseIdleConnections()
		qt.Assert(t, server.send("GET", "/a", nil).err, qt.ErrorMatches, ".*connection refused")
	})
}

// startEchoServer echoes all data on a TCP address until the test ends.
func startEchoServer(t *testing.T) string {
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
	relay := Relay{Target: startEchoServer(t)}
	addr, err := relay.Listen("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { qt.Check(t, relay.Close(), qt.IsNil) }()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", addr)
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	sendByte := func(conn net.Conn) {
		_, err := conn.Write([]byte("x"))
		qt.Assert(t, err, qt.IsNil)
	}
	receiveByte := func(conn net.Conn) error {
		_, err := io.ReadFull(conn, make([]byte, 1))
		return err
	}
	openConn := dial()
	sendByte(openConn)
	qt.Assert(t, receiveByte(openConn), qt.IsNil)
	relay.StallConnections()
	sendByte(openConn)
	newConn := dial()
	sendByte(newConn)
	qt.Assert(t, receiveByte(newConn), qt.IsNil)
	relay.Pause()
	sendByte(newConn)
	relay.Resume()
	qt.Assert(t, receiveByte(newConn), qt.IsNil)
	qt.Assert(t, openConn.SetReadDeadline(time.Now().Add(20*time.Millisecond)), qt.IsNil)
	qt.Assert(t, receiveByte(openConn), qt.ErrorIs, os.ErrDeadlineExceeded)
}

// The records of an engine are available as JSON, for programs in any language.
func TestEngineRecordsOverHTTP(t *testing.T) {
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
