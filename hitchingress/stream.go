package hitchingress

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"citronhitch.example/citronhitch/hitchbalance"
	"citronhitch.example/citronhitch/hitchforward"
	"citronhitch.example/citronhitch/hitchretry"
)

// stream is what a caller has of a streamed answer.
type stream struct {
	// begun tells that the caller has the head of the answer.
	begun bool
	// last is the ID of the last event that the caller has.
	last int
	// pending are the bytes of an event that isn't whole yet.
	pending []byte
	events  int
	// aborted tells that the answer must not look complete.
	aborted bool
}

// errOrder says that an endpoint's events don't follow what the caller has.
var errOrder = errors.New("an event is missing or comes twice")

// streamSilence bounds the pause between two events of an endpoint, as a
// multiple of the route's longest pause.
const streamSilence = 3

// leastSilence bounds it from below.
const leastSilence = time.Second

// pump passes the events of an endpoint's answer on, whole events only.
func (g *Gateway) pump(ctx context.Context, j *job, x *hitchforward.Exchange, pick hitchbalance.Pick, sent time.Time) attemptEnd {
	j.stream.pending = j.stream.pending[:0]
	buf := make([]byte, 4<<10)
	x.Extend(j.headUntil(sent))
	isFirst := true
	for {
		n, err := x.Read(buf)
		if isFirst && (n > 0 || isSilent(x.Failure(ctx, err))) {
			j.waited(sent)
			isFirst = false
			if n > 0 {
				g.Balancer.Read(time.Now(), pick)
			}
		}
		if n > 0 {
			x.Extend(j.eventUntil(time.Now()))
			if end, ok := g.take(j, x, buf[:n]); !ok {
				return end
			}
		}
		if errors.Is(err, io.EOF) {
			return g.streamEnd(j, pick, x)
		}
		if err != nil {
			return g.failed(j, pick, x.Failure(ctx, err))
		}
	}
}

// eventUntil returns when the next event must have come. A stream that can't go
// on elsewhere isn't given up for a pause.
func (j *job) eventUntil(now time.Time) time.Time {
	silence := max(time.Duration(j.route.GapMilliseconds)*time.Millisecond*streamSilence, leastSilence)
	until := now.Add(silence)
	if until.After(j.until) || !j.retry.MayRunAgain() || !j.learnt.budget.AllowsRetry(now) {
		return j.until
	}
	return until
}

// take adds bytes of an answer and passes the events that are whole on.
func (g *Gateway) take(j *job, x *hitchforward.Exchange, b []byte) (attemptEnd, bool) {
	j.stream.pending = append(j.stream.pending, b...)
	whole := bytes.LastIndex(j.stream.pending, eventEnd)
	if whole < 0 {
		return attemptEnd{}, true
	}
	whole += len(eventEnd)
	last, events, err := scanEvents(j.stream.pending[:whole], j.stream.last)
	if err != nil {
		return attemptEnd{outcome: hitchretry.Lost, result: hitchbalance.ResultFailed, err: err}, false
	}
	if !j.stream.begun {
		copyHeader(j.w.Header(), x.Head.Header)
		j.w.Header().Del("Content-Length")
		j.w.WriteHeader(x.Head.StatusCode)
		j.stream.begun = true
		j.entry.firstEvent(time.Now())
	}
	_, err = j.w.Write(j.stream.pending[:whole])
	if err == nil {
		err = http.NewResponseController(j.w).Flush()
	}
	if err != nil {
		j.entry.finish("CallerGone", http.StatusOK, err)
		return attemptEnd{isFinal: true, result: hitchbalance.ResultAbandoned, err: err}, false
	}
	j.stream.last, j.stream.events = last, j.stream.events+events
	j.stream.pending = append(j.stream.pending[:0], j.stream.pending[whole:]...)
	return attemptEnd{}, true
}

// eventEnd ends an event.
var eventEnd = []byte("\n\n")

// scanEvents checks that events follow the last one that the caller has, and
// returns the new last ID and the number of events.
func scanEvents(b []byte, last int) (_ int, events int, err error) {
	for len(b) > 0 {
		end := bytes.Index(b, eventEnd)
		if end < 0 {
			break
		}
		if id, ok := eventID(b[:end]); ok {
			if id <= last {
				return last, events, errOrder
			}
			last = id
		}
		events++
		b = b[end+len(eventEnd):]
	}
	return last, events, nil
}

// eventID returns the ID of an event, and false if it has none.
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

// streamEnd finishes an answer whose body is whole.
func (g *Gateway) streamEnd(j *job, pick hitchbalance.Pick, x *hitchforward.Exchange) attemptEnd {
	if len(j.stream.pending) > 0 {
		return attemptEnd{outcome: hitchretry.Lost, result: hitchbalance.ResultLost, err: io.ErrUnexpectedEOF}
	}
	if !j.stream.begun {
		copyHeader(j.w.Header(), x.Head.Header)
		j.w.WriteHeader(x.Head.StatusCode)
	}
	j.evidence.Answered()
	j.entry.finish("Answered", http.StatusOK, nil)
	return attemptEnd{isFinal: true, result: hitchbalance.ResultOK}
}

// abort ends a streamed answer that can't be completed, so that it can't look
// complete.
func (j *job) abort(why string) {
	j.entry.finish("Aborted", http.StatusOK, errors.New(why))
	j.stream.aborted = true
}
