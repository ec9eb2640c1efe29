package hitchedge

import (
	"net"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchdigest"
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
func (e *Edge) shareNews(socket *net.UDPConn, r *region) {
	news := e.balancer.News()
	switch {
	case r.isFirstHub(e.Settings.Self.ID):
		e.aggregator.TakeNews(time.Now(), news)
		e.relayNews(socket, r, append(e.newsRelay.take(), news.Cached...))
	case len(r.hubs) > 0 && len(news.Cached) > 0:
		e.send(socket, hitchdigest.Packet{News: &news}, r.hubs[0])
	}
}

// relayNews tells everyone.
func (e *Edge) relayNews(socket *net.UDPConn, r *region, cached []hitchdigest.Cached) {
	for len(cached) > 0 {
		n := min(len(cached), maxNewsCached)
		e.send(socket, hitchdigest.Packet{News: &hitchdigest.News{From: e.Settings.Self.ID, Cached: cached[:n]}}, r.instances...)
		cached = cached[n:]
	}
}

// takeNews takes in news, and relays them if this is the hub that does.
func (e *Edge) takeNews(n hitchdigest.News) {
	now := time.Now()
	e.balancer.LearnNews(now, n)
	if !e.neighbours().isFirstHub(e.Settings.Self.ID) {
		return
	}
	e.aggregator.TakeNews(now, n)
	e.newsRelay.add(n)
	e.balancer.Hurry()
}
