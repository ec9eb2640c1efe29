package hitchforward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes bounds one line of a streamed answer.
const maxEventBytes = 1 << 20

// doneData is the data of the event that ends a streamed answer.
const doneData = "[DONE]"

// errNoDone says that a streamed answer ended without its end mark.
var errNoDone = errors.New("the stream ended without its end mark")

// Event is one event of a streamed answer (HTML Living Standard, 9.2,
// Server-sent events).
type Event struct {
	// ID counts the events of an answer from 1.
	ID   int
	Data []byte
}

// Done tells whether the event ends the answer.
func (e Event) Done() bool { return string(e.Data) == doneData }

// AppendTo appends the event in its wire form.
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

// eventReader reads events of a stream.
type eventReader struct {
	scanner *bufio.Scanner
}

func newEventReader(r io.Reader) *eventReader {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxEventBytes)
	return &eventReader{scanner: s}
}

// next returns the next event. An event without its closing blank line doesn't
// count: the stream was cut in it.
func (e *eventReader) next() (Event, error) {
	var event Event
	for e.scanner.Scan() {
		line := e.scanner.Bytes()
		if len(line) == 0 {
			if event.Data != nil {
				return event, nil
			}
			continue
		}
		event = event.withField(line)
	}
	if err := e.scanner.Err(); err != nil {
		return Event{}, err
	}
	return Event{}, errNoDone
}

// withField returns the event with one line of its wire form. Comments and
// unknown fields change nothing.
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
