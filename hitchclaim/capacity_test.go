package hitchclaim

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkHomeMemory prints what a finished key takes at its home.
//
//	go test -run '^$' -bench HomeMemory -benchtime 1x ./hitchclaim
func BenchmarkHomeMemory(b *testing.B) {
	for _, keys := range []int{4_000, 8_000, 16_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				h := homeOf(b, keys)
				b.ReportMetric(float64(heapBytes()-before)/float64(keys), "B/key")
				runtime.KeepAlive(h)
			}
		})
	}
}

// homeOf returns a home with so many finished keys, each with a small answer.
func homeOf(b *testing.B, keys int) *Home {
	h := &Home{Self: homeA}
	call := callOf(b, 0, JournalRequired)
	for n := range keys {
		call.Key = benchKey(call.Key, n)
		d := h.Begin(start, call)
		d = h.Journaled(start, d.Run, true)
		h.Finish(start, d.Run, ticket())
	}
	return h
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
