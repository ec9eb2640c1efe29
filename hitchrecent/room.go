package hitchrecent

import "maps"

// HasRoom reports whether a map has room for one more entry, of at most size. If it is full, the entries for which isOld returns
// true are removed first.
func HasRoom[K comparable, V any](m map[K]V, size int, isOld func(K, V) bool) bool {
	if len(m) >= size {
		maps.DeleteFunc(m, isOld)
	}
	return len(m) < size
}
