package hitchnode

import (
	"context"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchrouter"
)

// refreshEvery is how often the view is built anew without a change.
const refreshEvery = 500 * time.Millisecond

// contactLife is how long after the last word of another router the view of the
// fleet is good to grant slots on. It ends before the others replace this router
// as an owner.
const contactLife = 2 * time.Second

// followChanges builds the router's view anew at each change and each period.
func (n *Node) followChanges(ctx context.Context) {
	ticker := time.NewTicker(refreshEvery)
	defer ticker.Stop()
	for {
		n.refreshView()
		select {
		case <-n.changed:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) refreshView() {
	now := time.Now()
	live := n.peers.LiveRouters()
	n.contact.note(now, n.peers.Traffic().PacketsReceived, len(live))
	index, stale := n.config.inForce(now)
	n.router.SetView(&hitchrouter.View{
		Index:         index,
		LiveRouters:   live,
		Endpoints:     n.list.endpoints(),
		ListedRouters: n.listed(),
		ValidUntil:    n.contact.until(),
		IsConfigStale: stale,
	})
	n.router.Bookings.SetHomes(n.router.HomeCount())
}

// listed counts the routers of the node's region on the platform's list.
func (n *Node) listed() int {
	count := 0
	for _, i := range n.list.instances() {
		if i.Region == n.self.Region {
			count++
		}
	}
	return count
}

// contact knows when another router was last heard. Without it a process that
// was paused would grant slots on a view from before the pause.
type contact struct {
	mu      sync.Mutex
	packets uint64
	last    time.Time
}

// note takes the count of packets received so far. A router that knows of no
// other needs no contact.
func (c *contact) note(now time.Time, packets uint64, live int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if packets != c.packets || live <= 1 {
		c.packets, c.last = packets, now
	}
}

func (c *contact) until() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last.Add(contactLife)
}
