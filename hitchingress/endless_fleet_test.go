package hitchingress

import (
	"net/http"
	"runtime"
	"runtime/metrics"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchroute"
)

// maxFleetHeapBytes is by how much the heap may grow while many requests meet endpoints
// whose responses have no end. The heap is also that of the endpoints and the callers.
const maxFleetHeapBytes = 64 << 20

// heapBytes returns the size of the objects in the heap, of which some may be unreachable.
func heapBytes() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// startHeapWatch samples the size of the heap until the returned function is called, which
// returns the largest growth.
func startHeapWatch() (stop func() uint64) {
	runtime.GC()
	base, peak := heapBytes(), uint64(0)
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				peak = max(peak, heapBytes())
			case <-done:
				return
			}
		}
	}()
	return func() uint64 {
		close(done)
		<-stopped
		return max(peak, base) - base
	}
}

// TestEndlessEndpointsBesideSoundOnes sends many requests at once to a fleet of which most
// endpoints send without end. Each request must get the response of a sound one, and
// the heap must not grow with what the others send.
func TestEndlessEndpointsBesideSoundOnes(t *testing.T) {
	const callers, calls, sound = 48, 8, 3
	const head = "HTTP/1.1 200 OK\r\nId: {id}\r\nDigest: s\r\n"
	heads := []endlessResponse{
		{"HTTP/1.1 200 ", "a", 0},
		{"HTTP/1.1 200 OK\r\n", "A: a\r\n", 0},
		{"", "HTTP/1.1 103 Early Hints\r\nA: a\r\n\r\n", 0},
		{"HTTP/1.1 503 Full\r\nId: {id}\r\nNot-Run: 1\r\n\r\n", "a", 0},
	}
	tests := map[string]struct {
		kind     hitchroute.Kind
		endless  []endlessResponse
		newSound func() *backend
		want     string
	}{
		"whole responses": {hitchroute.Idempotent, []endlessResponse{
			{head + "\r\n", "a", 0},
			{head + "Transfer-Encoding: chunked\r\n\r\nffffffff\r\n", "a", 0},
			{head + "Transfer-Encoding: chunked\r\n\r\n", "40;a=a\r\n0123456789012345678901234567890123456789012345678901234567890123\r\n", 0},
		}, func() *backend { return startBackend(t, okResponse) }, "ok"},
		"streams": {hitchroute.Streaming, []endlessResponse{
			{head + "\r\nid: 1\ndata: ", "a", 0},
			{head + "\r\n" + events12 + "id: 3\n", "data: a\n", 0},
			{head + "\r\n" + events12, "data: a\n\n", 0},
		}, func() *backend { return startStreamBackend(t) }, events12 + events34},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var backends []*backend
			for _, response := range append(heads, test.endless...) {
				backends = append(backends, startEndlessBackend(t, response))
			}
			for range sound {
				backends = append(backends, test.newSound())
			}
			server := startGateway(t, hitchroute.Route{Kind: test.kind, IsResumable: true, MaxAttempts: len(backends), GapMilliseconds: 400}, backends...)
			server.Config.Handler.(*Gateway).updateRetrySlack(time.Now(), 1)
			stop, startedAt := startHeapWatch(), time.Now()
			var all sync.WaitGroup
			for range callers {
				all.Go(func() {
					for range calls {
						status, body, _, err := send(t, server, "k")
						qt.Check(t, err, qt.IsNil)
						qt.Check(t, status, qt.Equals, http.StatusOK)
						qt.Check(t, withoutComments(body) == test.want || body == test.want, qt.IsTrue, qt.Commentf("%.200q", body))
					}
				})
			}
			all.Wait()
			growth, took := stop(), time.Since(startedAt)
			t.Logf("%d requests in %s, heap grew by up to %d bytes", callers*calls, took, growth)
			met := int64(0)
			for _, b := range backends[:len(backends)-sound] {
				met += b.requests.Load()
			}
			qt.Assert(t, met > 0, qt.IsTrue)
			qt.Assert(t, growth < maxFleetHeapBytes, qt.IsTrue, qt.Commentf("%d bytes", growth))
		})
	}
}
