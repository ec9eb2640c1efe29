package hitchpeer

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"syscall"
	"testing"
	"time"
)

// BenchmarkCost measures the processor time, memory and traffic of a router over real
// QUIC on the loopback interface, for several fleet sizes in one process. The cost
// per additional router is in docs/design/membership.md.
//
//	go test -run '^$' -bench Cost -benchtime 1x ./hitchpeer
func BenchmarkCost(b *testing.B) {
	sizes := []int{7, 14, 28, 56}
	if size, err := strconv.Atoi(os.Getenv("CITRONHITCH_COST_SIZE")); err == nil {
		sizes = []int{size}
	}
	for _, size := range sizes {
		b.Run(fmt.Sprintf("routers=%d", size), func(b *testing.B) {
			for range b.N {
				measureFleet(b, size)
			}
		})
	}
}

func measureFleet(b *testing.B, size int) {
	base := heapBytes()
	f := newFleet(b)
	all := f.startAll(size)
	waitFor(b, 3*time.Second)
	idleHeap := heapBytes() - base
	before, cpu := totalTraffic(all), cpuTime(b)
	const window = 10 * time.Second
	waitFor(b, window)
	after := totalTraffic(all)
	coreShare := (cpuTime(b) - cpu).Seconds() / window.Seconds() / float64(size)
	perNode := func(n uint64) float64 { return float64(n) / float64(size) / window.Seconds() }
	b.ReportMetric(100*coreShare, "%core/router")
	b.ReportMetric(perNode(after.WireSent-before.WireSent), "sentB/s")
	b.ReportMetric(perNode(after.PacketsSent-before.PacketsSent), "packets/s")
	b.ReportMetric(perNode(after.Sent.Probe-before.Sent.Probe), "probeB/s")
	b.ReportMetric(float64(after.Connections)/float64(size), "conns")
	b.ReportMetric(float64(idleHeap)/float64(size)/1024, "KiB/router")
	for _, n := range all {
		n.Handle("Echo", echoHandler)
	}
	dialed := totalTraffic(all)
	first := callAll(b, all)
	connected := totalTraffic(all)
	opened := float64(max(connected.Connections-dialed.Connections, 1))
	b.ReportMetric(float64(heapBytes()-base-idleHeap)/opened/1024, "KiB/conn-end")
	second := callAll(b, all)
	calls, dials := float64(size*size), float64(max(connected.Dials-dialed.Dials, 1))
	b.ReportMetric(1000*second.Seconds()/calls, "ms/call")
	b.ReportMetric(1000*(first-second).Seconds()/dials, "ms/dial")
	b.ReportMetric(float64(connected.WireSent-dialed.WireSent)/dials, "B/dial")
	detected, rejoined := pauseNode(f, all[size-1])
	b.ReportMetric(float64(detected.Milliseconds()), "ms-to-find-paused")
	b.ReportMetric(float64(rejoined.Milliseconds()), "ms-to-return")
}

// callAll calls every router from every router, itself included, and returns the
// processor time.
func callAll(b *testing.B, all []*Node) time.Duration {
	start := cpuTime(b)
	for _, n := range all {
		for _, peer := range all {
			if _, err := n.Call(b.Context(), peer.Self.ID, "Echo", nil); err != nil {
				b.Fatal(err)
			}
		}
	}
	return cpuTime(b) - start
}

func waitFor(b *testing.B, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-b.Context().Done():
	}
}

func totalTraffic(all []*Node) (sum Traffic) {
	for _, n := range all {
		t := n.Traffic()
		sum.WireSent += t.WireSent
		sum.PacketsSent += t.PacketsSent
		sum.Sent.Probe += t.Sent.Probe
		sum.Connections += t.Connections
		sum.Dials += t.Dials
	}
	return sum
}

// heapBytes returns the heap and stack memory in use.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
