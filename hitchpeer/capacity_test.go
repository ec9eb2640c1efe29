package hitchpeer

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"
)

// BenchmarkLoadsEachSecond measures the age of the load digests that a router has of
// the other routers of its region, and the traffic, if each router shares a digest
// of two endpoints every second. The network is simulated and loses 1% of the
// packets.
//
//	go test -run '^$' -bench LoadsEachSecond -benchtime 1x ./hitchpeer
func BenchmarkLoadsEachSecond(b *testing.B) {
	for _, count := range []int{24, 96, 195, 390} {
		b.Run(fmt.Sprintf("region=%d", count/simRegions), func(b *testing.B) {
			for range b.N {
				measureLoadAges(b, count)
			}
		})
	}
}

// loadBytes is the encoded size of a load digest of two endpoints.
const loadBytes = 67

func measureLoadAges(b *testing.B, count int) {
	s := newSimulation(count).withFullMembership()
	s.loss = 0.01
	s.run(3 * time.Second)
	idleRate, _ := s.sendRate(3 * time.Second)
	for _, id := range s.ids {
		s.schedule(s.random.IntN(1000), func() { s.shareLoad(s.nodes[id]) })
	}
	rate, maxRate := s.sendRate(20 * time.Second)
	known, old, ages := s.loadAges()
	all := float64(count * count / simRegions)
	b.ReportMetric(rate-idleRate, "sentB/s")
	b.ReportMetric(maxRate, "mostB/s")
	b.ReportMetric(100*float64(known)/all, "%known")
	b.ReportMetric(100*float64(old)/float64(known), "%older-than-5s")
	b.ReportMetric(ages.Seconds()/float64(known), "mean-age-s")
}

// shareLoad publishes a digest that contains the current time, and schedules the
// next one a second later.
func (s *simulation) shareLoad(n *simNode) {
	body := make([]byte, loadBytes)
	binary.BigEndian.PutUint64(body, uint64(s.now().UnixMilli()))
	s.updateGossip(n, Publish{Topic: testLoads, Body: body})
	s.schedule(1000, func() { s.shareLoad(n) })
}

// loadAges returns the number of digests that all routers have, the number of those
// older than 5 s, and the sum of the ages of all of them.
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
