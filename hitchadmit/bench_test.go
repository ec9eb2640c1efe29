package hitchadmit

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// benchOwners returns one owner of n warm engines of six models, with slots of
// 210 organisations in use.
func benchOwners(n int) *Owners {
	o := &Owners{}
	m := alone(n)
	for i := range m.Endpoints {
		m.Endpoints[i].Route = hitchfleet.RouteID(fmt.Sprintf("model-%d", i%6))
	}
	o.SetMembers(start, m, nil)
	for s := range 20 {
		now := at(float64(s))
		for i := range n {
			o.Report(now, LoadReport{Endpoint: engineID(i), AsOf: now}, nil)
		}
		o.Tick(now, nil)
	}
	for i := range 20 * n {
		o.Ask(at(20), benchAsk(GrantID(i), i%n), nil)
	}
	return o
}

func benchAsk(id GrantID, engine int) Ask {
	a := askFor(id, engine, 500)
	a.Organisation = hitchfleet.OrganisationID(fmt.Sprintf("org-%d", id%210))
	a.SentAt, a.Deadline = at(20), at(30)
	return a
}

func BenchmarkAskAndRelease(b *testing.B) {
	for _, n := range []int{13, 190, 760} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			o := benchOwners(n)
			asks := make([]Ask, 4*n)
			for i := range asks {
				asks[i] = benchAsk(GrantID(1<<20+i), i%n)
				o.Ask(at(20), asks[i], nil)
				o.Release(at(20), Release{ID: asks[i].ID, Endpoint: asks[i].Endpoint}, nil)
			}
			due := make([]Notice, 0, 64)
			now := at(20)
			granted := 0
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				a := &asks[i%len(asks)]
				now = now.Add(time.Microsecond)
				var d Decision
				if d, due = o.Ask(now, *a, due[:0]); d.Verdict == Granted {
					granted++
				}
				due = o.Release(now, Release{ID: a.ID, Endpoint: a.Endpoint}, due[:0])
			}
			b.ReportMetric(float64(granted)/float64(b.N), "granted/op")
		})
	}
}

func BenchmarkAsk(b *testing.B) {
	o := benchOwners(760)
	asks := make([]Ask, 4*760)
	for i := range asks {
		asks[i] = benchAsk(GrantID(1<<20+i), i%760)
	}
	var due []Notice
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		// All but the first round are asks for slots that are held: the whole path
		// of a repeated Ask.
		_, due = o.Ask(at(20), asks[i%len(asks)], due[:0])
	}
}

// BenchmarkMemory prints what an endpoint takes.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{190, 380, 760} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			o := benchOwners(n)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/endpoint")
			runtime.KeepAlive(o)
		})
	}
}

// BenchmarkSetMembers is one change of the members of a region with 130 routers,
// and one call without a change.
func BenchmarkSetMembers(b *testing.B) {
	for _, n := range []int{190, 380, 760} {
		for name, change := range map[string]int{"changed": 1, "same": 0} {
			b.Run(fmt.Sprint(name, "-", n), func(b *testing.B) {
				m := alone(n)
				m.Live, m.Listed = routers(130), 130
				o := &Owners{}
				o.SetMembers(start, m, nil)
				for range b.N {
					m.Listed += change
					o.SetMembers(start, m, nil)
				}
			})
		}
	}
}

// BenchmarkTick is one look at the two endpoints of a router among 760.
func BenchmarkTick(b *testing.B) {
	o := benchOwners(2)
	m := alone(760)
	m.Live, m.Listed = routers(390), 390
	o.SetMembers(at(21), m, nil)
	b.ResetTimer()
	now := at(21)
	for range b.N {
		now = now.Add(100 * time.Millisecond)
		o.Tick(now, nil)
	}
}
