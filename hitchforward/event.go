package hitchforward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes limits an event of a streamed response, with the comments before it.
const maxEventBytes = 64 << 10

// doneData is the data of the event that ends a streamed response.
const doneData = "[DONE]"

// errIncompleteStream is returned for a streamed response that ended without its
// final event.
var errIncompleteStream = errors.New("the stream ended without its final event")

// Event is one event of a streamed response (HTML Living Standard, 9.2, Server-sent
// events).
type Event struct {
	// ID is the number of the event in the response, from 1.
	ID   int
	Data []byte
}

// Done reports whether the event ends the response.
func (e Event) Done() bool { return string(e.Data) == doneData }

// AppendTo appends the encoded event to dst.
func (e Event) AppendTo(dst []byte) []byte {
	if !e.Done() {
		dst = append(dst, "id: "...)
		dst = strconv.AppendInt(dst, int64(e.ID), 10)
		dst = append(dst, '\n')
	}
	dst = append(dst, "data: "...)
	dst = append(dst, e.Data...)
	return append(dst, '\n', '\n')
}

// eventReader reads the events of a stream.
type eventReader struct {
	scanner *bufio.Scanner
	// onBlock is called after each event or comment, as these show that the endpoint is
	// alive. It may be nil.
	onBlock func()
}

func newEventReader(r io.Reader) *eventReader {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxEventBytes)
	return &eventReader{scanner: s}
}

// next returns the next event. An event without the blank line that ends it is
// dropped, since the stream ended within it.
func (e *eventReader) next() (Event, error) {
	var event Event
	size := 0
	for e.scanner.Scan() {
		line := e.scanner.Bytes()
		if size += len(line) + 1; size > maxEventBytes {
			return Event{}, errTooLarge
		}
		if len(line) == 0 {
			if e.onBlock != nil {
				e.onBlock()
			}
			if event.Data != nil {
				return event, nil
			}
			continue
		}
		event = event.withField(line)
	}
	if err := e.scanner.Err(); errors.Is(err, bufio.ErrTooLong) {
		return Event{}, errTooLarge
	} else if err != nil {
		return Event{}, err
	}
	return Event{}, errIncompleteStream
}

// withField returns the event with one line of its encoded form applied. Comments
// and unknown fields are ignored.
func (e Event) withField(line []byte) Event {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		if id, err := strconv.Atoi(string(value)); err == nil {
			e.ID = id
		}
	case "data":
		if e.Data != nil {
			e.Data = append(e.Data, '\n')
		}
		e.Data = append(e.Data, value...)
		if e.Data == nil {
			e.Data = []byte{}
		}
	}
	return e
}
