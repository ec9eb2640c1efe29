package hitchdispatch

import "container/heap"

// heapOf is a binary heap whose items know their positions, so that any of them can be removed
// or moved in logarithmic time. isLess and position are set before the first item is added.
type heapOf[T any] struct {
	items  []T
	isLess func(a, b T) bool
	// position returns where an item's position is kept: its index and one, or 0 if it isn't in
	// the heap.
	position func(T) *int
}

// Len implements heap.Interface.
func (h *heapOf[T]) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *heapOf[T]) Less(i, j int) bool { return h.isLess(h.items[i], h.items[j]) }

// Swap implements heap.Interface.
func (h *heapOf[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.position(h.items[i]), *h.position(h.items[j]) = i+1, j+1
}

// Push implements heap.Interface.
func (h *heapOf[T]) Push(x any) {
	item := x.(T)
	h.items = append(h.items, item)
	*h.position(item) = len(h.items)
}

// Pop implements heap.Interface.
func (h *heapOf[T]) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.position(item) = 0
	return item
}

// first returns the least item, and false if there is none.
func (h *heapOf[T]) first() (item T, ok bool) {
	if len(h.items) == 0 {
		return item, false
	}
	return h.items[0], true
}

// set adds an item, or moves it after a change.
func (h *heapOf[T]) set(item T) {
	if p := *h.position(item); p > 0 {
		heap.Fix(h, p-1)
		return
	}
	heap.Push(h, item)
}

// remove removes an item if it is in the heap.
func (h *heapOf[T]) remove(item T) {
	if len(h.items) == 0 {
		return
	}
	if p := *h.position(item); p > 0 {
		heap.Remove(h, p-1)
	}
}
