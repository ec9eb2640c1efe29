package hitchplace

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestLRUMatchesModel compares an lru with a list of its keys in order of last use.
func TestLRUMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l lru[int, int]
		var order []int
		limit := rapid.IntRange(1, 6).Draw(t, "limit")
		key := rapid.IntRange(0, 9)
		touch := func(k int) {
			order = slices.DeleteFunc(order, func(o int) bool { return o == k })
			order = slices.Insert(order, 0, k)
		}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				k := key.Draw(t, "key")
				l.put(limit, k, 10*k)
				touch(k)
				order = order[:min(len(order), limit)]
			},
			"get": func(t *rapid.T) {
				k := key.Draw(t, "key")
				value, ok := l.get(k)
				if ok != slices.Contains(order, k) || (ok && value != 10*k) {
					t.Fatalf("get %d: %d, %t; want one of %v", k, value, ok, order)
				}
				if ok {
					touch(k)
				}
			},
			"remove": func(t *rapid.T) {
				k := key.Draw(t, "key")
				l.remove(k)
				order = slices.DeleteFunc(order, func(o int) bool { return o == k })
			},
			"": func(t *rapid.T) {
				var got []int
				l.each(func(k, _ int) bool { got = append(got, k); return true })
				if !slices.Equal(got, order) || l.len() != len(order) {
					t.Fatalf("%v of %d, want %v", got, l.len(), order)
				}
			},
		})
	})
}
