package hitchnode

import (
	"context"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchrouter"
)

// viewRefreshInterval is how often the view is rebuilt if nothing changes.
const viewRefreshInterval = 500 * time.Millisecond

// contactTTL is how long after the last packet from another router this router may
// grant slots by its view of the fleet. It is shorter than the time after which the
// others replace this router as an owner.
const contactTTL = 2 * time.Second

// runViewRefresh rebuilds the router's view at each change and each interval, until
// ctx is done.
func (n *Node) runViewRefresh(ctx context.Context) {
	ticker := time.NewTicker(viewRefreshInterval)
	defer ticker.Stop()
	for {
		n.refreshView()
		select {
		case <-n.viewRefresh:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) refreshView() {
	now := time.Now()
	live := n.peers.LiveRouters()
	n.contact.recordPackets(now, n.peers.Traffic().PacketsReceived, len(live))
	index, stale := n.config.activeIndex(now)
	n.router.SetView(&hitchrouter.View{
		Index:         index,
		LiveRouters:   live,
		Endpoints:     n.list.endpoints(),
		ListedRouters: n.listedRouters(),
		ValidUntil:    n.contact.validUntil(),
		IsConfigStale: stale,
	})
	n.router.Bookings.SetHomes(n.router.HomeCount())
}

// listedRouters counts the routers of the node's region on the platform's list.
func (n *Node) listedRouters() int {
	count := 0
	for _, i := range n.list.instances() {
		if i.Region == n.self.Region {
			count++
		}
	}
	return count
}

// peerContact records when the last packet from another router arrived. Without it a
// process that was paused would grant slots by a view from before the pause.
type peerContact struct {
	mu           sync.Mutex
	packets      uint64
	lastPacketAt time.Time
}

// recordPackets updates the time of the last packet if the count of received packets has
// changed. A router without live peers needs no packets: its view stays valid.
func (c *peerContact) recordPackets(now time.Time, packets uint64, live int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if packets != c.packets || live <= 1 {
		c.packets, c.lastPacketAt = packets, now
	}
}

func (c *peerContact) validUntil() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastPacketAt.Add(contactTTL)
}
