package hitchedge

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Limits of a log sink.
const (
	// maxPendingBytes limits the lines that wait to be written. Further lines are
	// dropped and counted.
	maxPendingBytes = 256 << 10
	flushInterval   = 100 * time.Millisecond
)

// logSink buffers log lines and writes them in the background, so that Write never
// blocks on the output.
type logSink struct {
	out io.Writer

	mu             sync.Mutex
	pending        []byte
	droppedLines   int
	flushScheduled bool

	outMu sync.Mutex // held while the output is written
}

func newLogSink(out io.Writer) *logSink { return &logSink{out: out} }

// Write buffers one line, or drops it if the buffer is full.
func (s *logSink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending)+len(line) > maxPendingBytes {
		s.droppedLines++
		return len(line), nil
	}
	s.pending = append(s.pending, line...)
	if !s.flushScheduled {
		s.flushScheduled = true
		time.AfterFunc(flushInterval, s.flush)
	}
	return len(line), nil
}

// flush writes the buffered lines to the output.
func (s *logSink) flush() {
	s.outMu.Lock()
	defer s.outMu.Unlock()
	s.mu.Lock()
	data, dropped := s.pending, s.droppedLines
	s.pending, s.droppedLines, s.flushScheduled = nil, 0, false
	s.mu.Unlock()
	if dropped > 0 {
		data = fmt.Appendf(data, "%s [WARN]  citronhitch: log lines dropped: Count=%d\n", time.Now().Format(time.RFC3339), dropped)
	}
	// A write error is ignored, as there is no other output to report it to.
	_, _ = s.out.Write(data)
}

// Close writes the buffered lines to the output.
func (s *logSink) Close() { s.flush() }
