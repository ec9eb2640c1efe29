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

// ReadAll reads the complete body. It fails if the body is longer than the limit, at once
// if its declared length is, or if long bodies use up the memory for them. The body may
// be used until Close.
func (x *Exchange) ReadAll(limit int64) ([]byte, error) {
	if x.Response.Body != http.NoBody && x.Response.ContentLength > limit {
		return nil, errTooLarge
	}
	body := make([]byte, 0, firstBodyBytes)
	for {
		n, err := x.Read(body[len(body):cap(body)])
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
			if body, err = x.growBody(body, limit); err != nil {
				return nil, err
			}
		}
	}
}

// growBody returns the body in a buffer of twice the size, one byte beyond the limit at
// most.
func (x *Exchange) growBody(body []byte, limit int64) ([]byte, error) {
	size := min(2*int64(cap(body)), limit+1)
	if n := min(size, limit) - x.reservedBytes; size > freeBodyBytes && n > 0 {
		if !x.pool.bodyMemory.reserve(n) {
			return nil, errTooLarge
		}
		x.reservedBytes += n
	}
	return append(make([]byte, 0, size), body...), nil
}

// Drain reads a body that isn't needed, so that the connection can be used again. It fails
// if the body is too long, or isn't complete soon.
func (x *Exchange) Drain() error {
	x.SetReadDeadline(time.Now().Add(maxDrainTime))
	_, err := x.ReadAll(maxDrainBytes)
	return err
}
