package hitchforward

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// Limits of response bodies that are read as a whole.
const (
	// firstBodyBytes is the size of the first buffer for a body. Most are smaller.
	firstBodyBytes = 1 << 10
	// freeBodyBytes is the size up to which a body is always read. A longer one draws on
	// the memory that all of them share, maxBodyMemoryBytes.
	freeBodyBytes      = 32 << 10
	maxBodyMemoryBytes = 16 << 20
	// maxDrainBytes and maxDrainTime limit a body that isn't needed. Waiting longer would
	// cost more than a new connection.
	maxDrainBytes = 16 << 10
	maxDrainTime  = 50 * time.Millisecond
)

// bodyMemory counts the memory of the bodies that are longer than freeBodyBytes, so that
// endpoints that send bytes without end use up a bounded part of the memory, and leave
// the short bodies of the others alone. The zero value is ready to use.
type bodyMemory struct {
	used atomic.Int64
}

// reserve takes n bytes, and reports whether there were as many left.
func (m *bodyMemory) reserve(n int64) bool {
	if m.used.Add(n) <= maxBodyMemoryBytes {
		return true
	}
	m.used.Add(-n)
	return false
}

// bodyReader reads one body as a whole.
type bodyReader struct {
	memory *bodyMemory
	// reservedBytes is the part of the memory that the body uses.
	reservedBytes int64
}

// readAll reads the complete body of a response from r. It fails if the body is longer than
// the limit, at once if its declared length is, or if long bodies use up the memory for
// them.
func (b *bodyReader) readAll(r io.Reader, response *http.Response, limit int64) ([]byte, error) {
	if response.Body != http.NoBody && response.ContentLength > limit {
		return nil, errTooLarge
	}
	body := make([]byte, 0, firstBodyBytes)
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if int64(len(body)) > limit {
			return nil, errTooLarge
		}
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
		if len(body) == cap(body) {
			if body, err = b.grow(body, limit); err != nil {
				return nil, err
			}
		}
	}
}

// grow returns the body in a buffer of twice the size, one byte beyond the limit at most.
func (b *bodyReader) grow(body []byte, limit int64) ([]byte, error) {
	size := min(2*int64(cap(body)), limit+1)
	if n := min(size, limit) - b.reservedBytes; size > freeBodyBytes && n > 0 {
		if !b.memory.reserve(n) {
			return nil, errTooLarge
		}
		b.reservedBytes += n
	}
	return append(make([]byte, 0, size), body...), nil
}

// release returns the memory of the body.
func (b *bodyReader) release() {
	b.memory.used.Add(-b.reservedBytes)
	b.reservedBytes = 0
}

// ReadAll reads the complete body, which may be used until Close. It fails if the body is
// longer than the limit.
func (x *Exchange) ReadAll(limit int64) ([]byte, error) {
	return x.body.readAll(x, x.Response, limit)
}

// Drain reads a body that isn't needed, so that the connection can be used again. It fails
// if the body is too long, or isn't complete soon.
func (x *Exchange) Drain() error {
	x.SetReadDeadline(time.Now().Add(maxDrainTime))
	_, err := x.ReadAll(maxDrainBytes)
	return err
}
