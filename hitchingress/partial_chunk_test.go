package hitchingress

import (
	"fmt"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestEventsBeforeAPartOfAChunk covers an endpoint that falls silent in the middle of a chunk. The
// events before that reach the caller at once, and no other endpoint is asked for them.
func TestEventsBeforeAPartOfAChunk(t *testing.T) {
	size := fmt.Sprintf("%x\r\n", len(events34))
	first := startScriptedBackend(t, chunkedHead+chunk(events12)+size+events34[:5], pause(900*time.Millisecond), events34[5:]+"\r\n"+chunkedEnd)
	second := startScriptedBackend(t, hang{})
	start := time.Now()
	res, err := startRequest(t, startGateway(t, resumableRoute, &first.backend, &second.backend))
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = res.Body.Close() }()
	b := make([]byte, len(events12))
	_, err = io.ReadFull(res.Body, b)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(b), qt.Equals, events12)
	qt.Assert(t, time.Since(start) < 450*time.Millisecond, qt.IsTrue, qt.Commentf("%s", time.Since(start)))
	rest, err := io.ReadAll(res.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(rest), qt.Equals, events34)
	qt.Assert(t, second.requests.Load(), qt.Equals, int64(0))
}
