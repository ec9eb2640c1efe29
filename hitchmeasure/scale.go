package hitchmeasure

import (
	"context"
	"fmt"
	"math"
	"runtime"
	"syscall"
	"time"

	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchdev"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchnode"
)

// Bounds of what control may cost.
const (
	controlBound    = 20_000 // bytes a second and router, sent and received
	growthBound     = 1.0    // exponent of the store's calls over the routers
	detectionBound  = 5.0    // seconds until a killed router gets no new work
	controlCoreMost = 0.012  // of a core
	controlHeapMost = 32     // MB
)

// Times of the scale measurements.
const (
	settleTime   = 3 * time.Second
	detectStep   = 10 * time.Millisecond
	detectLimit  = 20 * time.Second
	bytesPerMega = 1 << 20
)

// scaleFactors are the sizes measured, as multiples of the settings' routers.
var scaleFactors = []int{1, 2, 4}

// controlShape is a light load, of which each router has the same share whatever
// their number.
var controlShape = shape{perEngine: 0, answerTokens: 20, tokensPerSecond: 1000, prefillPerSecond: 100_000}

// requestsPerRouter is the turns a second and router of the control measurement:
// the 3,000 a second of the design size over 390 nodes.
const requestsPerRouter = 8

// sample is what a fleet spent between two readings.
type sample struct {
	routers  int
	seconds  float64
	sent     float64 // bytes a second and router
	received float64
	packets  float64 // sent, a second and router
	calls    float64 // of the key-value service, a second
	core     float64 // of a core, for each router
	heap     float64 // MB for each router
	links    float64 // open connections of a router
}

// reading is the counters of a fleet at a time.
type reading struct {
	at       time.Time
	sent     uint64
	received uint64
	packets  uint64
	links    int
	calls    int
	cpu      time.Duration
}

func read(f *hitchdev.Fleet) reading {
	r := reading{at: time.Now(), calls: storeCalls(f.Store().Calls()), cpu: processorTime()}
	for _, node := range f.Routers() {
		t := node.Peers().Traffic()
		r.sent += t.WireSent
		r.received += t.WireReceived
		r.packets += t.PacketsSent
		r.links += t.Connections
	}
	return r
}

// processorTime returns what the process has used, in all threads.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// between returns what was spent between two readings.
func between(a, b reading, routers int, heap float64) sample {
	seconds := b.at.Sub(a.at).Seconds()
	each := seconds * float64(routers)
	return sample{
		routers: routers, seconds: seconds,
		sent: float64(b.sent-a.sent) / each, received: float64(b.received-a.received) / each,
		packets: float64(b.packets-a.packets) / each, calls: float64(b.calls-a.calls) / seconds,
		core: (b.cpu - a.cpu).Seconds() / each, heap: heap, links: float64(b.links) / float64(routers),
	}
}

// scaled runs a fleet of a number of routers and measures it, first idle and then
// with a share of requests for each router.
func scaled(ctx context.Context, s Settings, routers int) (idle, busy sample, err error) {
	s.Routers = routers
	d := controlShape.apply(s.deployment())
	before := heapBytes()
	fleet, err := s.startFleet(ctx, d)
	if err != nil {
		return idle, busy, err
	}
	defer stopFleet(ctx, fleet)
	pauseFor(ctx, settleTime)
	heap := float64(heapBytes()-before) / bytesPerMega / float64(routers)
	first := read(fleet)
	pauseFor(ctx, time.Duration(s.Seconds)*time.Second/2)
	second := read(fleet)
	idle = between(first, second, routers, heap)
	sh := controlShape
	sh.perEngine = requestsPerRouter * float64(routers) / float64(s.Engines)
	load := s
	load.Seconds = s.Seconds / 2
	newWorkload(load, workloadModel, sh).run(ctx, fleetSend(fleet, s.Organisations), newTally())
	busy = between(second, read(fleet), routers, heap)
	return idle, busy, nil
}

var scaleColumns = []string{
	"Routers", "Load", "SentBytesPerSecond", "ReceivedBytesPerSecond", "PacketsPerSecond", "Connections", "CorePerRouter", "HeapMBPerRouter", "StoreCallsPerSecond",
}

func (t Table) withSample(load string, m sample) Table {
	return t.With(m.routers, load, m.sent, m.received, m.packets, m.links, m.core, m.heap, m.calls)
}

// Control measures the control traffic of a router at several sizes of the fleet.
// Value is the most bytes a second, sent and received, of one router.
func Control(ctx context.Context, s Settings) (r Result, err error) {
	s = s.WithDefaults()
	r = Result{Measure: "Control", Bound: controlBound, Table: Table{Columns: scaleColumns}}
	for _, factor := range scaleFactors {
		idle, busy, err := scaled(ctx, s, factor*s.Routers)
		if err != nil {
			return r, err
		}
		r.Table = r.Table.withSample("Idle", idle).withSample(fmt.Sprintf("%d/s", requestsPerRouter), busy)
		r.Value = max(r.Value, idle.sent+idle.received, busy.sent+busy.received)
	}
	r.Met = r.Value <= r.Bound
	r.Notes = append(r.Notes, fmt.Sprintf("Bounds of a node at the design size: %d bytes a second, %.3f of a core, %d MB.", controlBound, controlCoreMost, controlHeapMost),
		"CorePerRouter and HeapMBPerRouter include the stand-ins and, under load, the callers of the same process.")
	return r, nil
}

// StoreCalls measures the calls of the key-value service at several sizes of the
// fleet. Value is the exponent by which they grow with the routers.
func StoreCalls(ctx context.Context, s Settings) (r Result, err error) {
	s = s.WithDefaults()
	r = Result{Measure: "StoreCalls", Bound: growthBound, Table: Table{Columns: scaleColumns}}
	var samples []sample
	for _, factor := range scaleFactors {
		idle, _, err := scaled(ctx, s, factor*s.Routers)
		if err != nil {
			return r, err
		}
		samples = append(samples, idle)
		r.Table = r.Table.withSample("Idle", idle)
	}
	least, most := samples[0], samples[len(samples)-1]
	r.Value = math.Log(most.calls/least.calls) / math.Log(float64(most.routers)/float64(least.routers))
	r.Met = r.Value < r.Bound
	return r, nil
}

// Membership measures how long after its death a router is still counted as live
// by another, and whether any living one is given up, at several sizes. Value is
// the longest, in seconds.
func Membership(ctx context.Context, s Settings) (r Result, err error) {
	s = s.WithDefaults()
	r = Result{Measure: "Membership", Bound: detectionBound, Table: Table{Columns: []string{"Routers", "DetectedSeconds", "JoinedSeconds", "FalseDeaths"}}}
	falseDeaths := 0
	for _, factor := range scaleFactors {
		one := s
		one.Routers = factor * s.Routers
		detected, joined, wrong, err := oneDeath(ctx, one)
		if err != nil {
			return r, err
		}
		r.Table = r.Table.With(one.Routers, detected, joined, wrong)
		r.Value = max(r.Value, detected, joined)
		falseDeaths += wrong
	}
	r.Met = r.Value <= r.Bound && falseDeaths == 0
	return r, nil
}

// oneDeath kills a router, waits until no other counts it as live, and starts one
// more.
func oneDeath(ctx context.Context, s Settings) (detected, joined float64, falseDeaths int, err error) {
	fleet, err := s.startFleet(ctx, s.deployment())
	if err != nil {
		return 0, 0, 0, err
	}
	defer stopFleet(ctx, fleet)
	pauseFor(ctx, settleTime)
	dead := fleet.Routers()[0]
	id := dead.Instance().ID
	start := time.Now()
	fleet.KillRouter(dead)
	detected, wrong := awaitLive(ctx, fleet, start, func(live []hitchfleet.Instance) bool { return !hasInstance(live, id) }, s.Routers-1)
	start = time.Now()
	node, err := fleet.AddRouter(ctx)
	if err != nil {
		return detected, 0, wrong, err
	}
	id = node.Instance().ID
	joined, more := awaitLive(ctx, fleet, start, func(live []hitchfleet.Instance) bool { return hasInstance(live, id) }, s.Routers-1)
	return detected, joined, wrong + more, nil
}

func hasInstance(live []hitchfleet.Instance, id hitchfleet.InstanceID) bool {
	return lo.ContainsBy(live, func(i hitchfleet.Instance) bool { return i.ID == id })
}

// awaitLive waits until all routers' lists of live ones are as wanted, and counts
// lists that are too short.
func awaitLive(ctx context.Context, f *hitchdev.Fleet, start time.Time, isWanted func([]hitchfleet.Instance) bool, least int) (seconds float64, tooShort int) {
	for time.Since(start) < detectLimit {
		lists := lo.Map(f.Routers(), func(n *hitchnode.Node, _ int) []hitchfleet.Instance { return n.Peers().LiveRouters() })
		if lo.EveryBy(lists, isWanted) {
			return time.Since(start).Seconds(), lo.CountBy(lists, func(l []hitchfleet.Instance) bool { return len(l) < least })
		}
		pauseFor(ctx, detectStep)
	}
	return time.Since(start).Seconds(), 0
}
