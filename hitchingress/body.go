package hitchingress

import (
	"errors"
	"net/http"
	"os"
	"time"

	"citronhitch.example/citronhitch/hitchoutcome"
	"citronhitch.example/citronhitch/hitchserver"
)

// defaultBodyBytes limits a request body if the configuration sets no limit.
const defaultBodyBytes = 4 << 20

// readBody reads the body of a request, which may have limit bytes, by the end of its
// route's timeout.
func (g *Gateway) readBody(req *proxyRequest, limit int64) *hitchoutcome.Refusal {
	if req.original.Body == nil || req.original.Body == http.NoBody {
		return nil
	}
	controller := http.NewResponseController(req.writer)
	_ = controller.SetReadDeadline(req.bodyDeadline())
	var err error
	body := http.MaxBytesReader(req.writer, req.original.Body, limit)
	if req.body, req.reservedBytes, err = g.Bodies.ReadBody(body, req.original.ContentLength); err != nil {
		return bodyRefusal(err) // the deadline stays, as the server reads what is left of the body
	}
	_ = controller.SetReadDeadline(time.Time{})
	return nil
}

// bodyDeadline returns by when the whole body must have arrived.
func (req *proxyRequest) bodyDeadline() time.Time {
	if req.route.TimeoutMilliseconds <= 0 {
		return req.receivedAt.Add(defaultTimeout)
	}
	return req.receivedAt.Add(time.Duration(req.route.TimeoutMilliseconds) * time.Millisecond)
}

// releaseBody gives the memory of the body back.
func (g *Gateway) releaseBody(req *proxyRequest) {
	if req.reservedBytes > 0 {
		g.Bodies.Release(req.reservedBytes)
	}
}

// bodyRefusal returns the refusal of a request whose body couldn't be read.
func bodyRefusal(err error) *hitchoutcome.Refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonTooLarge, time.Time{}, "the body is larger than %d bytes", tooLarge.Limit)
	case errors.Is(err, hitchserver.ErrBodyMemory):
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonOverloaded, jitteredRetryTime(time.Now(), meanRetryAfter), "%v", err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonTimeout, time.Time{}, "the body didn't arrive in time")
	default:
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonBadRequest, time.Time{}, "the body can't be read")
	}
}
