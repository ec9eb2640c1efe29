package hitchedge

import (
	"net"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchdigest"
	"citronhitch.example/citronhitch/hitchfleet"
)

// Pauses between two datagrams with news, so that the first hub of a region sends
// at most 2,000 a second.
const (
	newsPerInstance = 500 * time.Microsecond
	leastNewsPause  = 5 * time.Millisecond
)

// newsPause returns the pause between two datagrams with news.
func newsPause(instances int) time.Duration {
	return max(time.Duration(instances)*newsPerInstance, leastNewsPause)
}

// newsRelay holds the news that the first hub has yet to tell everyone. The zero
// value is empty.
type newsRelay struct {
	mu      sync.Mutex
	pending []hitchdigest.Cached
}

// add takes in news to relay.
func (r *newsRelay) add(n hitchdigest.News) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = append(r.pending, n.Cached...)
}

// take returns the news to relay.
func (r *newsRelay) take() []hitchdigest.Cached {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.pending
	r.pending = nil
	return out
}

// maxNewsCached bounds one datagram with news to about a kilobyte.
const maxNewsCached = 48

// shareNews tells the first hub this instance's news, or everyone if this is it.
func (e *Edge) shareNews(socket *net.UDPConn, instances []hitchfleet.Instance) {
	news := e.balancer.News()
	hubs := hitchdigest.Hubs(instances)
	if len(hubs) == 0 {
		return
	}
	if hubs[0].ID != e.Settings.Self.ID {
		if len(news.Cached) > 0 {
			e.send(socket, hitchdigest.Packet{News: &news}, hubs[0])
		}
		return
	}
	e.aggregator.TakeNews(time.Now(), news)
	cached := append(e.newsRelay.take(), news.Cached...)
	for len(cached) > 0 {
		n := min(len(cached), maxNewsCached)
		e.send(socket, hitchdigest.Packet{News: &hitchdigest.News{From: news.From, Cached: cached[:n]}}, instances...)
		cached = cached[n:]
	}
}

// takeNews takes in news, and relays them if this is the hub that does.
func (e *Edge) takeNews(n hitchdigest.News) {
	now := time.Now()
	e.balancer.LearnNews(now, n)
	hubs := hitchdigest.Hubs(e.neighbours(e.gateway.View()))
	if len(hubs) == 0 || hubs[0].ID != e.Settings.Self.ID {
		return
	}
	e.aggregator.TakeNews(now, n)
	e.newsRelay.add(n)
	e.balancer.Hurry()
}
