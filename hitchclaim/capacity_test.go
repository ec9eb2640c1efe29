package hitchclaim

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkHomeMemory reports the memory that a finished key takes at its home.
//
//	go test -run '^$' -bench HomeMemory -benchtime 1x ./hitchclaim
func BenchmarkHomeMemory(b *testing.B) {
	for _, keys := range []int{4_000, 8_000, 16_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				h := homeWithFinishedKeys(b, keys)
				b.ReportMetric(float64(heapBytes()-before)/float64(keys), "B/key")
				runtime.KeepAlive(h)
			}
		})
	}
}

// homeWithFinishedKeys returns a home with the given number of finished keys, each with
// a small response.
func homeWithFinishedKeys(b *testing.B, keys int) *Home {
	h := &Home{Self: homeA}
	call := newCall(b, 0, JournalRequired)
	for i := range keys {
		call.Key = keyWithNonce(call.Key, i)
		d := h.BeginCall(start, call)
		d = h.AuthorizeDispatch(start, d.Run, true)
		h.FinishRun(start, d.Run, ticketResult())
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
