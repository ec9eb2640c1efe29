package hitchburn

import (
	"encoding/json"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// findSeries returns a series of a summary, or an empty one if there is none.
func (s Summary) findSeries(d Dimension, name string, l Level) Series {
	for _, x := range s.Series {
		if x.key() == (seriesKey{d, name, l}) {
			return x
		}
	}
	return Series{}
}

func TestWindowsExcludeOlderEvents(t *testing.T) {
	for name, test := range map[string]struct {
		after time.Duration
		want  [windowCount]uint64
	}{
		"now":                  {0, [windowCount]uint64{1, 1, 1, 1, 1}},
		"just under 5 minutes": {5*time.Minute - time.Second, [windowCount]uint64{1, 1, 1, 1, 1}},
		"over 5 minutes":       {5*time.Minute + 15*time.Second, [windowCount]uint64{0, 1, 1, 1, 1}},
		"over 30 minutes":      {31 * time.Minute, [windowCount]uint64{0, 0, 1, 1, 1}},
		"over 1 hour":          {61 * time.Minute, [windowCount]uint64{0, 0, 0, 1, 1}},
		"over 6 hours":         {6*time.Hour + 10*time.Minute, [windowCount]uint64{0, 0, 0, 0, 1}},
		"over 3 days":          {75 * time.Hour, [windowCount]uint64{}},
		"clock 1 minute behind: only the 3 h bucket has begun": {-time.Minute, [windowCount]uint64{0, 0, 0, 0, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			var r Recorder
			r.Record(start, refusedEvent(hitchoutcome.ReasonOverloaded, hitchoutcome.NotRun, 0))
			s := r.Summary(start.Add(test.after)).findSeries(ByRoute, "guide-llm", Availability)
			var got [windowCount]uint64
			for w := range got {
				c := s.Count(start.Add(test.after), Window(w))
				qt.Assert(t, c.Bad, qt.Equals, c.Total)
				got[w] = c.Total
			}
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}

// TestWindowCountsMatchEventList compares the windows' counts with a list of events:
// a window counts all events within its length, and none older than its length plus
// one bucket.
func TestWindowCountsMatchEventList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Recorder
		var all []time.Time
		now := start
		for _, step := range rapid.SliceOfN(rapid.Int64Range(0, 7200), 1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(step) * time.Second)
			r.Record(now, streamEvent(0, 0))
			all = append(all, now)
		}
		s := r.Summary(now).findSeries(ByZone, "se-south-a", Availability)
		for w := range windowCount {
			length := w.length()
			bucket := time.Duration(resolutions[windowSpans[w].ring].seconds) * time.Second
			var minCount, maxCount uint64
			for _, at := range all {
				if now.Sub(at) < length {
					minCount++
				}
				if now.Sub(at) < length+bucket {
					maxCount++
				}
			}
			got := s.Count(now, w).Total
			if got < minCount || got > maxCount {
				t.Fatalf("window %s has %d events, want %d to %d", w, got, minCount, maxCount)
			}
		}
	})
}

func TestRecorderLimitsNames(t *testing.T) {
	var r Recorder
	const names = 3 * MaxOrganisations
	for n := range names {
		e := streamEvent(0, 0)
		e.Organisation = hitchfleet.OrganisationID(fmt.Sprint("organisation-", n))
		r.Record(start, e)
	}
	var named, total uint64
	s := r.Summary(start)
	for _, x := range s.Series {
		if x.Dimension == ByOrganisation && x.Level == Availability {
			named++
			total += x.Count(start, Minutes5).Total
		}
	}
	qt.Assert(t, named, qt.Equals, uint64(MaxOrganisations+1))
	qt.Assert(t, total, qt.Equals, uint64(names))
	qt.Assert(t, s.findSeries(ByOrganisation, Other, Availability).Count(start, Minutes5).Total, qt.Equals, uint64(names-MaxOrganisations))
}

func TestNewNamesEvictExpiredNames(t *testing.T) {
	var r Recorder
	record := func(now time.Time, prefix string) {
		for n := range MaxOrganisations {
			e := streamEvent(0, 0)
			e.Organisation = hitchfleet.OrganisationID(fmt.Sprint(prefix, n))
			r.Record(now, e)
		}
	}
	record(start, "old-")
	later := start.Add(4 * 24 * time.Hour)
	record(later, "new-")
	var named int
	for _, x := range r.Summary(later).Series {
		if x.Dimension == ByOrganisation && x.Level == Availability && x.Name != Other && x.Count(later, Minutes5).Total == 1 {
			named++
		}
	}
	// A new name can only evict an old one from its own shard, so a few are counted as
	// Other.
	qt.Assert(t, named > MaxOrganisations*8/10, qt.IsTrue, qt.Commentf("%d names have their own series", named))
}

func TestEvictionStaysWithinItsDimension(t *testing.T) {
	var r Recorder
	old := start.Add(-4 * 24 * time.Hour)
	for n := range MaxOrganisations {
		e := streamEvent(0, 0)
		e.Route = hitchfleet.RouteID(fmt.Sprint("route-", n%MaxRoutes))
		e.Organisation = hitchfleet.OrganisationID(fmt.Sprint("old-", n))
		r.Record(old, e)
	}
	for n := range 3 * MaxOrganisations {
		e := streamEvent(0, 0)
		e.Organisation = hitchfleet.OrganisationID(fmt.Sprint("new-", n))
		r.Record(start, e)
	}
	names := 0
	for _, x := range r.Summary(start).Series {
		if x.Dimension == ByOrganisation && x.Level == Availability && x.Name != Other {
			names++
		}
	}
	qt.Assert(t, names, qt.Equals, MaxOrganisations)
}

func TestLateEventsSkipFineRings(t *testing.T) {
	var r Recorder
	r.Record(start, streamEvent(0, 0))
	r.Record(start.Add(-2*time.Hour), streamEvent(0, 0))
	s := r.Summary(start).findSeries(ByRoute, "guide-llm", Availability)
	for w, want := range [windowCount]uint64{1, 1, 1, 2, 2} {
		qt.Assert(t, s.Count(start, Window(w)).Total, qt.Equals, want, qt.Commentf("window %s", Window(w)))
	}
}

func TestRecordDoesNotAllocate(t *testing.T) {
	var r Recorder
	e := streamEvent(time.Second, 30*time.Millisecond)
	r.Record(start, e)
	qt.Assert(t, testing.AllocsPerRun(1000, func() { r.Record(start, e) }), qt.Equals, 0.0)
}

func TestRecorderIsSafeForConcurrentUse(t *testing.T) {
	var r Recorder
	var group sync.WaitGroup
	const workers, events = 8, 500
	for range workers {
		group.Go(func() {
			for n := range events {
				r.Record(start.Add(time.Duration(n)*time.Second), streamEvent(0, 0))
				if n%100 == 0 {
					_ = r.Summary(start)
				}
			}
		})
	}
	group.Wait()
	now := start.Add(events * time.Second)
	qt.Assert(t, r.Summary(now).findSeries(ByRoute, "guide-llm", TokenGap).Count(now, Hour1).Total, qt.Equals, uint64(workers*events))
}

// drawEvents draws up to 80 events of two routes, each up to 50 minutes after the
// previous one.
func drawEvents(t *rapid.T) (times []time.Time, events []Event) {
	now := start
	for range rapid.IntRange(1, 80).Draw(t, "events") {
		now = now.Add(time.Duration(rapid.Int64Range(0, 3000).Draw(t, "seconds")) * time.Second)
		e := streamEvent(time.Duration(rapid.Int64Range(1, 3000).Draw(t, "first"))*time.Millisecond, TokenGapLimit)
		e.Route = hitchfleet.RouteID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "route"))
		times, events = append(times, now), append(events, e)
	}
	return times, events
}

// TestMergeEqualsSingleRecorder checks that the merged summaries of several routers
// equal the summary of one router with all events, in any merge order.
func TestMergeEqualsSingleRecorder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		times, events := drawEvents(t)
		var one Recorder
		var many [3]Recorder
		for i, e := range events {
			one.Record(times[i], e)
			many[rapid.IntRange(0, len(many)-1).Draw(t, "router")].Record(times[i], e)
		}
		now := times[len(times)-1]
		a, b, c := many[0].Summary(now).WithRouter("r1"), many[1].Summary(now).WithRouter("r2"), many[2].Summary(now).WithRouter("r3")
		want := NewReport(now, one.Summary(now).WithRouter("r1"), Objectives{})
		left := NewReport(now, Merge(Merge(a, b), c), Objectives{})
		right := NewReport(now, Merge(c, Merge(b, a)), Objectives{})
		if got, want := left.Text(), right.Text(); got != want {
			t.Fatalf("the result depends on the merge order:\n%s\n%s", got, want)
		}
		if got, want := fmt.Sprint(left.Levels, left.Latencies, left.Findings), fmt.Sprint(want.Levels, want.Latencies, want.Findings); got != want {
			t.Fatalf("got  %s\nwant %s", got, want)
		}
	})
}

func BenchmarkRecord(b *testing.B) {
	var r Recorder
	e := streamEvent(time.Second, 30*time.Millisecond)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r.Record(start.Add(time.Duration(i)*time.Millisecond), e)
	}
}

// fleetSize holds the number of names of each dimension.
type fleetSize struct {
	organisations, routes, zones int
}

// BenchmarkMemory measures the heap of a recorder and the size of its summary, with
// all levels in use.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []fleetSize{{10, 2, 3}, {100, 4, 6}, {210, 8, 9}, {MaxOrganisations, MaxRoutes, MaxZones}} {
		b.Run(fmt.Sprint("organisations=", size.organisations), func(b *testing.B) {
			var bytes, perSeries, summary float64
			for b.Loop() {
				before := heapBytes()
				r := filledRecorder(size)
				bytes = heapBytes() - before
				s := r.Summary(start)
				perSeries = bytes / float64(len(s.Series))
				data, err := json.Marshal(s)
				qt.Assert(b, err, qt.IsNil)
				summary = float64(len(data))
				runtime.KeepAlive(r)
			}
			b.ReportMetric(bytes, "heap-bytes")
			b.ReportMetric(perSeries, "bytes/series")
			b.ReportMetric(summary, "summary-bytes")
		})
	}
}

func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// filledRecorder returns a recorder with an event every 5 minutes over three days.
func filledRecorder(size fleetSize) *Recorder {
	r := &Recorder{}
	const step = 5 * time.Minute
	for now := start.Add(-72 * time.Hour); !now.After(start); now = now.Add(step) {
		for n := range size.organisations {
			e := streamEvent(time.Duration(n+1)*time.Millisecond, 30*time.Millisecond)
			e.Organisation = hitchfleet.OrganisationID(fmt.Sprint("organisation-", n))
			e.Route = hitchfleet.RouteID(fmt.Sprint("route-", n%size.routes))
			e.Zone = hitchfleet.AvailabilityZone(fmt.Sprint("zone-", n%size.zones))
			r.Record(now, e)
			e.Kind, e.Tokens, e.FirstToken = KindBooking, 0, time.Time{}
			r.Record(now, e)
		}
	}
	return r
}

// BenchmarkMerge merges one more router's summary of a fleet of 210 organisations.
func BenchmarkMerge(b *testing.B) {
	one := filledRecorder(fleetSize{210, 8, 9}).Summary(start).WithRouter("router-1")
	sum := one
	for b.Loop() {
		sum = Merge(sum, one)
	}
}
