package hitchfake

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// etcdBody is a request in the notation of etcd's documentation.
type etcdBody = json.RawMessage

// The messages are taken from etcd's documentation, so that the test fails if this
// server and the project's client share the same misreading of the protocol.
func TestStoreEtcdProtocol(t *testing.T) {
	steps := []struct {
		path string
		body string
		want string
	}{
		{"/v3/kv/put", `{"key": "Zm9v", "value": "YmFy"}`, `{"header":{"revision":"2"}}`},
		{
			"/v3/kv/range", `{"key": "Zm9v"}`,
			`{"header":{"revision":"2"},"kvs":[{"key":"Zm9v","create_revision":"2","mod_revision":"2","version":"1","value":"YmFy"}],"count":"1"}`,
		},
		{
			"/v3/kv/range", `{"key": "Zm9v", "range_end": "Zm9w"}`,
			`{"header":{"revision":"2"},"kvs":[{"key":"Zm9v","create_revision":"2","mod_revision":"2","version":"1","value":"YmFy"}],"count":"1"}`,
		},
		{
			"/v3/kv/txn",
			`{"compare":[{"create_revision":"2","target":"CREATE","key":"Zm9v"}],"success":[{"request_put":{"key":"Zm9v","value":"YmFy"}}]}`,
			`{"header":{"revision":"3"},"succeeded":true,"responses":[{"response_put":{"header":{"revision":"3"}}}]}`,
		},
		{
			"/v3/kv/txn",
			`{"compare":[{"version":"4","result":"EQUAL","target":"VERSION","key":"Zm9v"}],"success":[],"failure":[{"request_range":{"key":"YQ=="}}]}`,
			`{"header":{"revision":"3"},"responses":[{"response_range":{"header":{"revision":"3"}}}]}`,
		},
		{"/v3/kv/deleterange", `{"key": "Zm9v"}`, `{"header":{"revision":"4"},"deleted":"1"}`},
		{"/v3/lease/grant", `{"TTL": "10", "ID": "7"}`, `{"header":{"revision":"4"},"ID":"7","TTL":"10"}`},
		{"/v3/lease/keepalive", `{"ID": "7"}`, `{"result":{"header":{"revision":"4"},"ID":"7","TTL":"10"}}`},
		{"/v3/lease/revoke", `{"ID": "7"}`, `{"header":{"revision":"4"}}`},
		{
			"/v3/lease/revoke", `{"ID": "7"}`,
			`{"error":"etcdserver: requested lease not found","message":"etcdserver: requested lease not found","code":5}`,
		},
	}
	synctest.Test(t, func(t *testing.T) {
		var store Store
		server := newTestServer(t, store.Handler())
		for _, step := range steps {
			got := server.send("POST", step.path, etcdBody(step.body))
			qt.Assert(t, got.err, qt.IsNil)
			qt.Assert(t, strings.TrimSpace(got.body), qt.Equals, step.want, qt.Commentf("%s %s", step.path, step.body))
		}
	})
}

// A watch sends puts, deletes and the deletes of expired leases, and is cancelled
// if its start revision has been compacted.
func TestStoreWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store Store
		server := newTestServer(t, store.Handler())
		server.send("POST", "/v3/lease/grant", etcdBody(`{"TTL":"5","ID":"7"}`))
		server.send("POST", "/v3/kv/put", etcdBody(`{"key":"Zm9v","value":"YmFy","lease":"7"}`))
		watch := `{"create_request":{"key":"Zm9v","range_end":"Zm9w","start_revision":"1"}}`
		response, err := server.network.Client().Post("http://fake/v3/watch", "application/json", bytes.NewBufferString(watch))
		qt.Assert(t, err, qt.IsNil)
		defer response.Body.Close()
		lines := bufio.NewScanner(response.Body)
		start := time.Now()
		for _, want := range []string{
			`{"result":{"header":{"revision":"2"},"created":true,"events":[{"kv":{"key":"Zm9v","create_revision":"2","mod_revision":"2","version":"1","value":"YmFy","lease":"7"}}]}}`,
			`{"result":{"header":{"revision":"3"},"events":[{"type":"DELETE","kv":{"key":"Zm9v","mod_revision":"3"}}]}}`,
		} {
			qt.Assert(t, lines.Scan(), qt.IsTrue)
			qt.Assert(t, lines.Text(), qt.Equals, want)
		}
		qt.Assert(t, time.Since(start), qt.Equals, 5*time.Second)
		store.BreakWatches()
		qt.Assert(t, lines.Scan(), qt.IsFalse)
		store.Compact()
		got := server.send("POST", "/v3/watch", etcdBody(watch))
		qt.Assert(t, strings.TrimSpace(got.body), qt.Equals, `{"result":{"header":{"revision":"3"},"created":true,"canceled":true,"compact_revision":"3"}}`)
		qt.Assert(t, store.Calls(), qt.Equals, StoreCalls{Put: 1, LeaseGrant: 1, Watch: 2})
	})
}

func TestStoreLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := Store{WritesPerSecond: 5, ReadsPerSecond: 10}
		server := newTestServer(t, store.Handler())
		counts := make(map[string]int)
		for range 20 {
			for _, path := range []string{"/v3/kv/put", "/v3/kv/range"} {
				if got := server.send("POST", path, etcdBody(`{"key":"Zm9v"}`)); got.status == http.StatusOK {
					counts[path]++
				}
			}
		}
		qt.Assert(t, counts, qt.DeepEquals, map[string]int{"/v3/kv/put": 5, "/v3/kv/range": 10})
		qt.Assert(t, store.Calls(), qt.Equals, StoreCalls{Range: 20, Put: 20, Refused: 25})
		time.Sleep(time.Second)
		large, err := json.Marshal(etcdPutRequest{Key: []byte("k"), Value: make([]byte, maxValueBytes+1)})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, server.send("POST", "/v3/kv/put", etcdBody(large)).status, qt.Equals, http.StatusBadRequest)
	})
}

// Each fault has its effect on a put, as seen by the client that sends it and by
// reads directly afterwards and 20 s later.
func TestStoreFaults(t *testing.T) {
	tests := map[string]struct {
		fault  Fault
		status int
		before string
		after  string
	}{
		"out":              {Fault{Kind: FaultUnavailable}, 503, "", ""},
		"silent":           {Fault{Kind: FaultHang}, 0, "", ""},
		"slow":             {Fault{Kind: FaultSlow, Millis: 3000}, 200, "YmFy", "YmFy"},
		"too slow":         {Fault{Kind: FaultSlow, Millis: 15000}, 0, "", "YmFy"},
		"dropped response": {Fault{Kind: FaultDropResponses}, 0, "YmFy", "YmFy"},
		"late write":       {Fault{Kind: FaultDelayWrite, Millis: 3000}, 0, "", "YmFy"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var store Store
				server := newTestServer(t, store.Handler())
				test.fault.Times = 1
				store.Faults.Set(test.fault)
				got := server.send("POST", "/v3/kv/put", etcdBody(`{"key":"Zm9v","value":"YmFy"}`))
				qt.Assert(t, got.status, qt.Equals, test.status)
				for _, want := range []string{test.before, test.after} {
					read := server.send("POST", "/v3/kv/range", etcdBody(`{"key":"Zm9v"}`))
					qt.Assert(t, strings.Contains(read.body, "YmFy"), qt.Equals, want != "")
					time.Sleep(20 * time.Second)
				}
			})
		})
	}
}

// The store compacts old events automatically, always whole revisions.
func TestStoreCompactsOldEvents(t *testing.T) {
	var kv keyValues
	kv.init()
	for range maxStoreEvents {
		kv.applyOps([]etcdRequestOp{{Put: &etcdPutRequest{Key: []byte("a")}}, {Put: &etcdPutRequest{Key: []byte("b")}}})
		kv.compactIfFull()
	}
	qt.Assert(t, len(kv.events) <= maxStoreEvents, qt.IsTrue)
	qt.Assert(t, kv.events[0].KV.ModRevision, qt.Equals, kv.compactedRevision+1)
	qt.Assert(t, string(kv.events[0].KV.Key), qt.Equals, "a")
	qt.Assert(t, kv.eventsFrom(kv.revision), qt.HasLen, 2)
}
