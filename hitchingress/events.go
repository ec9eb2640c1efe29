package hitchingress

import (
	"bytes"
	"errors"
	"fmt"
)

// maxEventBytes limits an event, and what an endpoint sends between two events besides.
// Each stream may hold this much memory.
const maxEventBytes = 64 << 10

// Errors of streams that aren't a series of events.
var (
	errNoEventID    = errors.New("event has no ID")
	errEventTooLong = fmt.Errorf("no complete event in %d bytes", maxEventBytes)
)

// takeEvents adds bytes of a response to the buffer. It returns the length of the buffered
// events that are complete, the last one's ID and their number.
func (s *streamState) takeEvents(b []byte) (length, lastID, count int, err error) {
	// The delimiter may begin with the last byte that was there.
	from := max(len(s.buffered)-len(eventDelimiter)+1, 0)
	s.buffered = append(s.buffered, b...)
	if i := bytes.LastIndex(s.buffered[from:], eventDelimiter); i >= 0 {
		length = from + i + len(eventDelimiter)
	}
	lastID, count, err = scanEvents(s.buffered[:length], s.lastEventID)
	if err != nil {
		return 0, 0, 0, err
	}
	s.bytesSinceEvent += len(b)
	if count > 0 {
		s.bytesSinceEvent = len(s.buffered) - length
	}
	if s.bytesSinceEvent > maxEventBytes {
		return 0, 0, 0, errEventTooLong
	}
	return length, lastID, count, nil
}

// isComment reports whether a block of a stream has comments only (HTML Living Standard,
// 9.2), or nothing.
func isComment(block []byte) bool {
	for line := range bytes.Lines(block) {
		if line[0] != ':' && line[0] != '\n' {
			return false
		}
	}
	return true
}
