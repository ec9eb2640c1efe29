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

// Bounds of the cost of control traffic and of the detection of killed routers.
const (
	controlTrafficBound  = 20_000 // bytes per second and router, sent and received
	storeCallGrowthBound = 1.0    // exponent of the number of store calls as a function of the routers
	detectionBound       = 5.0    // seconds until a killed router gets no new requests
	maxControlCores      = 0.012  // cores per node
	maxControlHeapMB     = 32     // MB
)

// Waiting times and units of the scale measurements.
const (
	settleTime            = 3 * time.Second
	detectionPollInterval = 10 * time.Millisecond
	detectionTimeout      = 20 * time.Second
	bytesPerMB            = 1 << 20
)

// scaleFactors are the measured fleet sizes, as multiples of Settings.Routers.
var scaleFactors = []int{1, 2, 4}

// controlShape is a light load. Its arrival rate is set so that each router gets the
// same rate for any number of routers.
var controlShape = shape{turnsPerEngine: 0, responseTokens: 20, tokensPerSecond: 1000, prefillPerSecond: 100_000}

// requestsPerRouter is the number of turns per second and router in the control
// measurement: the design size's 3,000 per second divided by 390 nodes.
const requestsPerRouter = 8

// sample holds the resources that a fleet used between two readings of its counters.
type sample struct {
	routers     int
	seconds     float64
	sent        float64 // bytes per second and router
	received    float64
	packets     float64 // sent, per second and router
	storeCalls  float64 // to the key-value service, per second
	cpuCores    float64 // cores per router
	heapMB      float64 // MB per router
	connections float64 // open connections per router
}

// counters holds the counters of a fleet at one point in time.
type counters struct {
	at          time.Time
	sent        uint64
	received    uint64
	packets     uint64
	connections int
	storeCalls  int
	cpu         time.Duration
}

func readCounters(f *hitchdev.Fleet) counters {
	r := counters{at: time.Now(), storeCalls: storeCalls(f.Store().Calls()), cpu: processCPUTime()}
	for _, node := range f.Routers() {
		t := node.Peers().Traffic()
		r.sent += t.WireSent
		r.received += t.WireReceived
		r.packets += t.PacketsSent
		r.connections += t.Connections
	}
	return r
}

// processCPUTime returns the CPU time used by all threads of the process.
func processCPUTime() time.Duration {
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

// sampleBetween returns the resources used between two readings.
func sampleBetween(a, b counters, routers int, heap float64) sample {
	seconds := b.at.Sub(a.at).Seconds()
	routerSeconds := seconds * float64(routers)
	return sample{
		routers: routers, seconds: seconds,
		sent: float64(b.sent-a.sent) / routerSeconds, received: float64(b.received-a.received) / routerSeconds,
		packets: float64(b.packets-a.packets) / routerSeconds, storeCalls: float64(b.storeCalls-a.storeCalls) / seconds,
		cpuCores: (b.cpu - a.cpu).Seconds() / routerSeconds, heapMB: heap, connections: float64(b.connections) / float64(routers),
	}
}

// measureSize starts a fleet with the given number of routers and measures it, first
// idle and then under a load proportional to the number of routers.
func measureSize(ctx context.Context, s Settings, routers int) (idle, busy sample, err error) {
	s.Routers = routers
	d := controlShape.apply(s.deployment())
	before := heapBytes()
	fleet, err := s.startFleet(ctx, d)
	if err != nil {
		return idle, busy, err
	}
	defer stopFleet(ctx, fleet)
	sleepFor(ctx, settleTime)
	heap := float64(heapBytes()-before) / bytesPerMB / float64(routers)
	first := readCounters(fleet)
	sleepFor(ctx, time.Duration(s.Seconds)*time.Second/2)
	second := readCounters(fleet)
	idle = sampleBetween(first, second, routers, heap)
	sh := controlShape
	sh.turnsPerEngine = requestsPerRouter * float64(routers) / float64(s.Engines)
	load := s
	load.Seconds = s.Seconds / 2
	newWorkload(load, workloadModel, sh).run(ctx, newFleetSender(fleet, s.Organisations), newTally())
	busy = sampleBetween(second, readCounters(fleet), routers, heap)
	return idle, busy, nil
}

var scaleColumns = []string{
	"Routers", "Load", "SentBytesPerSecond", "ReceivedBytesPerSecond", "PacketsPerSecond", "Connections", "CorePerRouter", "HeapMBPerRouter", "StoreCallsPerSecond",
}

func (t Table) withSample(load string, m sample) Table {
	return t.With(m.routers, load, m.sent, m.received, m.packets, m.connections, m.cpuCores, m.heapMB, m.storeCalls)
}

// Control measures the control traffic per router at several fleet sizes. Value is
// the maximum number of bytes per second and router, sent and received.
func Control(ctx context.Context, s Settings) (r Result, err error) {
	s = s.WithDefaults()
	r = Result{Measure: "Control", Bound: controlTrafficBound, Table: Table{Columns: scaleColumns}}
	for _, factor := range scaleFactors {
		idle, busy, err := measureSize(ctx, s, factor*s.Routers)
		if err != nil {
			return r, err
		}
		r.Table = r.Table.withSample("Idle", idle).withSample(fmt.Sprintf("%d/s", requestsPerRouter), busy)
		r.Value = max(r.Value, idle.sent+idle.received, busy.sent+busy.received)
	}
	r.Met = r.Value <= r.Bound
	r.Notes = append(r.Notes, fmt.Sprintf("Bounds of a node at the design size: %d bytes per second, %.3f cores, %d MB.", controlTrafficBound, maxControlCores, maxControlHeapMB),
		"CorePerRouter and HeapMBPerRouter include the stand-ins and, under load, the clients, as they run in the same process.")
	return r, nil
}

// StoreCalls measures the rate of calls to the key-value service at several fleet
// sizes. Value is the exponent of its growth with the number of routers.
func StoreCalls(ctx context.Context, s Settings) (r Result, err error) {
	s = s.WithDefaults()
	r = Result{Measure: "StoreCalls", Bound: storeCallGrowthBound, Table: Table{Columns: scaleColumns}}
	var samples []sample
	for _, factor := range scaleFactors {
		idle, _, err := measureSize(ctx, s, factor*s.Routers)
		if err != nil {
			return r, err
		}
		samples = append(samples, idle)
		r.Table = r.Table.withSample("Idle", idle)
	}
	smallest, largest := samples[0], samples[len(samples)-1]
	r.Value = math.Log(largest.storeCalls/smallest.storeCalls) / math.Log(float64(largest.routers)/float64(smallest.routers))
	r.Met = r.Value < r.Bound
	return r, nil
}

// Membership measures, at several fleet sizes, how long it takes until all routers
// have detected a killed router and a new one, and whether live routers are missing
// from a list. Value is the longest time, in seconds.
func Membership(ctx context.Context, s Settings) (r Result, err error) {
	s = s.WithDefaults()
	r = Result{Measure: "Membership", Bound: detectionBound, Table: Table{Columns: []string{"Routers", "DetectedSeconds", "JoinedSeconds", "FalseDeaths"}}}
	falseRemovals := 0
	for _, factor := range scaleFactors {
		one := s
		one.Routers = factor * s.Routers
		detected, joined, removals, err := measureRouterLoss(ctx, one)
		if err != nil {
			return r, err
		}
		r.Table = r.Table.With(one.Routers, detected, joined, removals)
		r.Value = max(r.Value, detected, joined)
		falseRemovals += removals
	}
	r.Met = r.Value <= r.Bound && falseRemovals == 0
	return r, nil
}

// measureRouterLoss kills a router, waits until all others have removed it from their
// lists of live routers, then starts a new one and waits until all lists contain it.
func measureRouterLoss(ctx context.Context, s Settings) (detected, joined float64, falseRemovals int, err error) {
	fleet, err := s.startFleet(ctx, s.deployment())
	if err != nil {
		return 0, 0, 0, err
	}
	defer stopFleet(ctx, fleet)
	sleepFor(ctx, settleTime)
	killed := fleet.Routers()[0]
	id := killed.Instance().ID
	start := time.Now()
	fleet.KillRouter(killed)
	detected, tooShort := awaitLive(ctx, fleet, start, func(live []hitchfleet.Instance) bool { return !hasInstance(live, id) }, s.Routers-1)
	start = time.Now()
	node, err := fleet.AddRouter(ctx)
	if err != nil {
		return detected, 0, tooShort, err
	}
	id = node.Instance().ID
	joined, moreTooShort := awaitLive(ctx, fleet, start, func(live []hitchfleet.Instance) bool { return hasInstance(live, id) }, s.Routers-1)
	return detected, joined, tooShort + moreTooShort, nil
}

func hasInstance(live []hitchfleet.Instance, id hitchfleet.InstanceID) bool {
	return lo.ContainsBy(live, func(i hitchfleet.Instance) bool { return i.ID == id })
}

// awaitLive waits until the lists of live routers of all routers satisfy isWanted, and
// counts the lists that then have less than minLive routers.
func awaitLive(ctx context.Context, f *hitchdev.Fleet, start time.Time, isWanted func([]hitchfleet.Instance) bool, minLive int) (seconds float64, tooShort int) {
	for time.Since(start) < detectionTimeout {
		lists := lo.Map(f.Routers(), func(n *hitchnode.Node, _ int) []hitchfleet.Instance { return n.Peers().LiveRouters() })
		if lo.EveryBy(lists, isWanted) {
			return time.Since(start).Seconds(), lo.CountBy(lists, func(l []hitchfleet.Instance) bool { return len(l) < minLive })
		}
		sleepFor(ctx, detectionPollInterval)
	}
	return time.Since(start).Seconds(), 0
}
