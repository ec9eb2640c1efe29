package hitchingress

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"citronhitch.example/citronhitch/hitchbalance"
	"citronhitch.example/citronhitch/hitchretry"
)

// streamState tracks how much of a streamed response the caller has received.
type streamState struct {
	// headerSent reports whether the response header was sent to the caller.
	headerSent bool
	// lastEventID is the ID of the last event that was sent to the caller.
	lastEventID int
	// buffered holds bytes that weren't sent yet, as their event is incomplete.
	buffered []byte
	// bytesSinceEvent counts what the endpoint has sent since its last event.
	bytesSinceEvent int
	eventCount      int
	// isAborted reports whether the connection must be aborted, so that the caller sees
	// that the response is incomplete.
	isAborted bool
}

// errSilent is the error of an attempt that another one has replaced, as its endpoint sent
// nothing for too long.
var errSilent = errors.New("the endpoint is silent")

// errEventOrder is returned if an endpoint's event doesn't follow the last event that
// was sent to the caller.
var errEventOrder = errors.New("event ID isn't greater than the previous one")

// handleStreamData handles bytes of a stream, and its end if err is io.EOF. It returns true
// and a result if the attempt has ended.
func (g *Gateway) handleStreamData(req *proxyRequest, a *attempt, data []byte, err error) (attemptResult, bool) {
	if len(data) > 0 {
		g.observeFirstData(req, a)
		if result, ok := g.forwardEvents(req, a, data); !ok {
			return result, true
		}
	}
	switch {
	case errors.Is(err, io.EOF):
		return req.finishStream(a), true
	case err != nil:
		return g.failedAttempt(req, a, err), true
	default:
		return attemptResult{}, false
	}
}

// forwardEvents buffers bytes of a response and sends the complete events to the
// caller. It returns false and a result if the attempt has ended.
func (g *Gateway) forwardEvents(req *proxyRequest, a *attempt, b []byte) (attemptResult, bool) {
	completeLength, lastID, count, err := req.stream.takeEvents(b)
	if err != nil {
		return attemptResult{outcome: hitchretry.Lost, balancerResult: hitchbalance.ResultConnectionLost, err: err}, false
	}
	if completeLength == 0 {
		return attemptResult{}, true
	}
	if count > 0 {
		g.observeAnswer(req, a)
	}
	if !req.stream.headerSent {
		g.beginStream(req, a.pick)
		copyHeader(req.writer.Header(), a.response.Header)
		req.writer.Header().Del("Content-Length")
		req.writer.WriteHeader(a.response.StatusCode)
		req.stream.headerSent = true
		req.logEntry.setFirstEventTime(time.Now())
	}
	if err = req.writeBody(req.stream.buffered[:completeLength], true); err != nil {
		req.logEntry.setEnd(writeEnd(err), http.StatusOK, err)
		req.stream.isAborted = true
		return attemptResult{isFinal: true, balancerResult: hitchbalance.ResultAbandoned, err: err}, false
	}
	req.stream.lastEventID, req.stream.eventCount = lastID, req.stream.eventCount+count
	req.stream.buffered = append(req.stream.buffered[:0], req.stream.buffered[completeLength:]...)
	return attemptResult{}, true
}

// eventDelimiter separates the events of a stream.
var eventDelimiter = []byte("\n\n")

// scanEvents checks that complete events have IDs that increase from lastID on. It
// returns the last ID and the number of events. Comments aren't counted.
func scanEvents(b []byte, lastID int) (_ int, count int, err error) {
	for len(b) > 0 {
		end := bytes.Index(b, eventDelimiter)
		if end < 0 {
			break
		}
		if id, ok := eventID(b[:end]); ok {
			if id <= lastID {
				return lastID, count, errEventOrder
			}
			lastID = id
			count++
		} else if !isComment(b[:end]) {
			return lastID, count, errNoEventID
		}
		b = b[end+len(eventDelimiter):]
	}
	return lastID, count, nil
}

// eventID returns the ID of an event, and false if it has no valid ID.
func eventID(event []byte) (int, bool) {
	for line := range bytes.Lines(event) {
		name, value, ok := bytes.Cut(line, []byte(":"))
		if ok && string(name) == "id" {
			id, err := strconv.Atoi(string(bytes.TrimSpace(value)))
			return id, err == nil
		}
	}
	return 0, false
}

// isBrokenOff reports whether a stream that has ended with its connection isn't whole, as it
// ended inside an event, or before the first one.
func (req *proxyRequest) isBrokenOff(a *attempt, rest []byte) bool {
	isEmpty := req.stream.lastEventID == 0 && isUnframed(a.response)
	return len(rest) > 0 || isEmpty
}

// isUnframed reports whether a response has neither a length nor chunks, so that nothing but
// the end of its connection says that it is whole.
func isUnframed(r *http.Response) bool { return r.ContentLength < 0 && len(r.TransferEncoding) == 0 }

// finishStream ends an attempt whose stream was read to its end. The attempt has failed
// if the stream was broken off.
func (req *proxyRequest) finishStream(a *attempt) attemptResult {
	if req.isBrokenOff(a, req.stream.buffered) {
		return attemptResult{outcome: hitchretry.Lost, balancerResult: hitchbalance.ResultConnectionLost, err: io.ErrUnexpectedEOF}
	}
	if !req.stream.headerSent {
		copyHeader(req.writer.Header(), a.response.Header)
		req.writer.WriteHeader(a.response.StatusCode)
	}
	req.dispatchTracker.MarkAnswered()
	req.logEntry.setEnd("Answered", http.StatusOK, nil)
	return attemptResult{isFinal: true, balancerResult: hitchbalance.ResultOK}
}

// abortStream marks a streamed response that can't be completed, so that the
// connection to the caller is aborted.
func (req *proxyRequest) abortStream(reason string) {
	req.logEntry.setEnd("Aborted", http.StatusOK, errors.New(reason))
	req.stream.isAborted = true
}
