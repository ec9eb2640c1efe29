package hitchplace

import (
	"fmt"
	"runtime"
	"testing"

	"citronhitch.example/citronhitch/hitchfleet"
)

// benchRequests returns requests of n chats of 210 organisations.
func benchRequests(n int) []Request {
	all := make([]Request, n)
	for i := range all {
		all[i] = chat(fmt.Sprint("org-", i%210), i)
	}
	return all
}

func BenchmarkPlaceByDirectory(b *testing.B) { benchPlace(b, true) }

func BenchmarkPlaceByRank(b *testing.B) { benchPlace(b, false) }

// benchPlace places chats on pools of n endpoints. 760 replicas of six models in
// three regions make pools of 42 endpoints.
func benchPlace(b *testing.B, hasEntries bool) {
	for _, n := range []int{42, 127, 760} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			pool := NewPool(targets(n), []VersionWeight{{"v1", 9}, {"v2", 1}}, nil)
			requests := benchRequests(DefaultMaxChats * 9 / 10) // below capacity, as the shards fill unevenly
			var d Directory
			for i := range requests {
				d.Put(start, requests[i].Chat, engineID(i%n), 1000)
			}
			var evictions EvictionTracker
			for i := range n {
				evictions.Observe(CacheEvent{Endpoint: engineID(i), At: start, Kind: CacheStored, Tokens: 100})
			}
			dst := make([]Candidate, 0, 8)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				request := requests[i%len(requests)]
				request.Evictions = &evictions
				if hasEntries {
					request.Entry, _ = d.Get(start, request.Chat)
				}
				dst = pool.Choose(dst[:0], request, start)
				d.Put(start, request.Chat, dst[0].Endpoint, 1000)
			}
		})
	}
}

func BenchmarkAddresses(b *testing.B) {
	for _, n := range []int{8, 130, 390} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := NewRouters(routers(n), nil)
			dst := make([]hitchfleet.Instance, 0, 4)
			b.ReportAllocs()
			for i := range b.N {
				r.Addresses(dst, hitchfleet.Key(i), "se-south", "", start)
			}
		})
	}
}

// BenchmarkDirectoryMemory reports the memory per directory entry.
func BenchmarkDirectoryMemory(b *testing.B) {
	for _, n := range []int{5_000, 20_000, 80_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			requests := benchRequests(n)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			d := Directory{MaxChats: n}
			for i := range requests {
				d.Put(start, requests[i].Chat, "guide-llm-1", 1000)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/chat")
			runtime.KeepAlive(&d)
			runtime.KeepAlive(requests)
		})
	}
}
