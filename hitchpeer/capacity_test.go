package hitchpeer

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"
)

// BenchmarkLoadsEachSecond prints how old the loads are that a router knows of the
// others of its region, if each router shares a digest of two endpoints every
// second, and what that costs. The fleets are driven as plain values over a
// simulated network with 1% loss.
//
//	go test -run '^$' -bench LoadsEachSecond -benchtime 1x ./hitchpeer
func BenchmarkLoadsEachSecond(b *testing.B) {
	for _, count := range []int{24, 96, 195, 390} {
		b.Run(fmt.Sprintf("region=%d", count/simRegions), func(b *testing.B) {
			for range b.N {
				shareLoadsEachSecond(b, count)
			}
		})
	}
}

// digestBytes is a digest of two endpoints on the wire.
const digestBytes = 67

func shareLoadsEachSecond(b *testing.B, count int) {
	s := newSimulation(count).acquaint()
	s.loss = 0.01
	s.run(3 * time.Second)
	quiet, _ := s.rate(3 * time.Second)
	for _, id := range s.order {
		s.after(s.random.IntN(1000), func() { s.shareLoad(s.nodes[id]) })
	}
	rate, most := s.rate(20 * time.Second)
	known, old, ages := s.loadAges()
	all := float64(count * count / simRegions)
	b.ReportMetric(rate-quiet, "sentB/s")
	b.ReportMetric(most, "mostB/s")
	b.ReportMetric(100*float64(known)/all, "%known")
	b.ReportMetric(100*float64(old)/float64(known), "%older-than-5s")
	b.ReportMetric(ages.Seconds()/float64(known), "mean-age-s")
}

// shareLoad publishes a digest that carries its time, and the next one a second
// later.
func (s *simulation) shareLoad(n *simNode) {
	body := make([]byte, digestBytes)
	binary.BigEndian.PutUint64(body, uint64(s.now().UnixMilli()))
	s.stepGossip(n, Publish{Topic: testLoads, Body: body})
	s.after(1000, func() { s.shareLoad(n) })
}

// loadAges counts the loads that all routers know, those older than 5 s, and the
// sum of their ages.
func (s *simulation) loadAges() (known, old int, ages time.Duration) {
	for _, n := range s.nodes {
		for _, value := range n.gossip.Values(testLoads) {
			age := s.now().Sub(time.UnixMilli(int64(binary.BigEndian.Uint64(value.Body))))
			known++
			ages += age
			if age > 5*time.Second {
				old++
			}
		}
	}
	return known, old, ages
}
