package hitchingress

import (
	"errors"
	"net/http"
	"os"
	"time"
)

// Limits of a caller that reads its response slowly.
const (
	// callerReadTimeout is how long a caller may leave callerChunkBytes of its response
	// unread. An endpoint closes the connection of a stream that nobody reads after some
	// seconds; the instance ends the response before that.
	callerReadTimeout = 3 * time.Second
	callerChunkBytes  = 16 << 10
	// minCallerStall is from when on a write counts as delayed by the caller. Shorter
	// delays are those of a busy link.
	minCallerStall = 500 * time.Millisecond
)

// writeBody writes bytes of the response to the caller, and flushes them if isFlushed is set.
// It fails if the caller reads nothing for callerReadTimeout, and slower callers are
// waited for.
//
// Load pattern: many callers read slowly, or stop reading without closing their
// connections. What is held for each of them is one response or the events of two reads.
func (req *proxyRequest) writeBody(b []byte, isFlushed bool) (err error) {
	controller := http.NewResponseController(req.writer)
	defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	for len(b) > 0 && err == nil {
		chunk := b[:min(len(b), callerChunkBytes)]
		b = b[len(chunk):]
		startedAt := time.Now()
		_ = controller.SetWriteDeadline(startedAt.Add(callerReadTimeout))
		if _, err = req.writer.Write(chunk); err == nil && isFlushed {
			err = controller.Flush()
		}
		if now := time.Now(); now.Sub(startedAt) >= minCallerStall {
			req.stalledUntil = now
		}
	}
	return err
}

// writeEnd returns how a request has ended whose caller didn't take the response.
func writeEnd(err error) string {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return "CallerStalled"
	}
	return "CallerGone"
}

// limitFinalWrite sets the deadline of what the server still writes after the handler: the
// buffered part of a short response, or the end of a chunked one.
func (req *proxyRequest) limitFinalWrite() {
	_ = http.NewResponseController(req.writer).SetWriteDeadline(time.Now().Add(callerReadTimeout))
}

// removeWriteLimit removes the deadline that the request before on the connection has left.
func (req *proxyRequest) removeWriteLimit() {
	_ = http.NewResponseController(req.writer).SetWriteDeadline(time.Time{})
}

// wasStalled reports whether the caller delayed the response so recently that the endpoint
// may have closed its connection for that.
func (req *proxyRequest) wasStalled(now time.Time) bool {
	return !req.stalledUntil.IsZero() && now.Sub(req.stalledUntil) < minCallerStall
}
