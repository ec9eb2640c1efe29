package hitchedge

import (
	"net"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchdigest"
)

// Limits of news.
const (
	// leastNewsPause lies between two datagrams with news.
	leastNewsPause = 5 * time.Millisecond
	// Each prefix adds to the pause, the more the larger the region: the first hub
	// sends at most about 200 KB of news a second, and in regions of more than 40
	// instances each gets at most 5 KB.
	newsPausePerInstance = 100 * time.Microsecond
	mostNewsEntryPause   = 4 * time.Millisecond
	// maxNewsCached bounds one datagram with news to about a kilobyte.
	maxNewsCached = 48
)

// newsPause returns the pause after a datagram with news to the instances of a
// region.
func newsPause(entries, instances int) time.Duration {
	each := min(time.Duration(instances)*newsPausePerInstance, mostNewsEntryPause)
	return max(time.Duration(entries)*each, leastNewsPause)
}

// newsRelay holds the news that the first hub has yet to tell everyone, the newest
// as many as a datagram holds: what is older has likely been read by now. The zero
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
	r.pending = r.pending[max(len(r.pending)-maxNewsCached, 0):]
}

// take returns the news to relay.
func (r *newsRelay) take() []hitchdigest.Cached {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.pending
	r.pending = nil
	return out
}

// shareNews tells the first hub this instance's news, or everyone if this is it,
// and returns how long to wait before more.
func (e *Edge) shareNews(socket *net.UDPConn, r *region) time.Duration {
	news := e.balancer.News()
	if !r.isFirstHub(e.Settings.Self.ID) {
		if len(r.hubs) > 0 && len(news.Cached) > 0 {
			e.send(socket, hitchdigest.Packet{News: &news}, r.hubs[0])
		}
		return leastNewsPause
	}
	e.aggregator.TakeNews(time.Now(), news)
	e.newsRelay.add(news)
	news.Cached = e.newsRelay.take()
	if len(news.Cached) > 0 {
		e.send(socket, hitchdigest.Packet{News: &news}, r.instances...)
	}
	return newsPause(len(news.Cached), len(r.instances))
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
