package hitchserver

import (
	"errors"
	"io"
	"sync/atomic"
)

// Sizes of request bodies.
const (
	// freeBodyBytes is the size up to which a body is always read. A longer one draws on the budget.
	freeBodyBytes = 32 << 10
	// minBodyBytes is how much of a body of unknown length is read at first, and bodyReadBytes how much of a longer one at a time.
	minBodyBytes  = 512
	bodyReadBytes = 32 << 10
)

// ErrBodyMemory is returned if long bodies use up the memory for them.
var ErrBodyMemory = errors.New("no memory is left for long request bodies")

// BodyBudget bounds the memory of the request bodies that are longer than 32 KiB. The zero value has no bound.
//
// Load pattern: many callers send long bodies at the same time, and slowly. Without a bound
// the instance runs out of memory, and all its requests with it.
type BodyBudget struct {
	// Bytes is the bound in bytes.
	Bytes int64

	used atomic.Int64
}

// Used returns how many bytes are drawn on the budget.
func (b *BodyBudget) Used() int64 { return b.used.Load() }

// reserve takes n bytes, and reports whether there were as many left.
func (b *BodyBudget) reserve(n int64) bool {
	if b.used.Add(n) <= b.Bytes || b.Bytes <= 0 {
		return true
	}
	b.used.Add(-n)
	return false
}

// Release gives back the n bytes that ReadBody has drawn.
func (b *BodyBudget) Release(n int64) { b.used.Add(-n) }

// ReadBody reads a body to its end from r; length is its length in bytes, or -1 if it isn't known. Memory is drawn on the
// budget before it is used. The caller gives back what was drawn, also after an error, which is ErrBodyMemory if nothing is left.
func (b *BodyBudget) ReadBody(r io.Reader, length int64) (body []byte, drawn int64, err error) {
	body = make([]byte, 0, max(min(length+1, freeBodyBytes), minBodyBytes))
	for {
		if len(body) == cap(body) {
			grown := max(2*cap(body), bodyReadBytes)
			if grown > freeBodyBytes && !b.reserve(int64(grown)-drawn) {
				return nil, drawn, ErrBodyMemory
			}
			if grown > freeBodyBytes {
				drawn = int64(grown)
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, drawn, nil
		}
		if err != nil {
			return nil, drawn, err
		}
	}
}
