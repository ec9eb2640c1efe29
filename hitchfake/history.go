package hitchfake

import (
	"sort"
	"time"
)

// history keeps the latest values of a variable with their times, so that a server
// can report past values. The zero value is empty.
type history[T any] struct {
	values []timedValue[T]
}

type timedValue[T any] struct {
	at    time.Time
	value T
}

const historyLength = 4096

// add records a value. Times must not decrease.
func (h *history[T]) add(at time.Time, value T) {
	if n := len(h.values); n > 0 && h.values[n-1].at.Equal(at) {
		h.values[n-1].value = value
		return
	}
	if len(h.values) >= historyLength {
		h.values = append(h.values[:0], h.values[historyLength/2:]...)
	}
	h.values = append(h.values, timedValue[T]{at: at, value: value})
}

// at returns the newest value recorded at or before a time, or the zero value if
// there is none.
func (h *history[T]) at(at time.Time) T {
	i := sort.Search(len(h.values), func(i int) bool { return h.values[i].at.After(at) })
	if i == 0 {
		var zero T
		return zero
	}
	return h.values[i-1].value
}
