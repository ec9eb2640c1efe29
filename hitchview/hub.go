package hitchview

import (
	"context"
	"errors"
	"sync"
	"time"
)

// errSwitchToHub ends a watch of the store when a hub is available.
var errSwitchToHub = errors.New("a hub is available")

func isSwitchToHub(err error) bool { return errors.Is(err, errSwitchToHub) }

// hubState holds the latest status of the hubs. The zero value has none.
type hubState struct {
	mu sync.Mutex
	// lastSeen is when each hub last reported that it can reach the store, by
	// address.
	lastSeen map[string]time.Time
	// addr is the address of the hub with the newest revision.
	addr     string
	revision int64
	statusCh chan struct{}
}

// statusReceived returns a channel that receives a value after each hub status.
func (h *hubState) statusReceived() chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.statusCh == nil {
		h.statusCh = make(chan struct{}, 1)
	}
	return h.statusCh
}

// recordStatus records a hub's status. A hub that can't reach the store may still
// have newer changes than this instance, so its revision counts, but it isn't
// recorded as a live hub.
func (h *hubState) recordStatus(now time.Time, status HubStatus) {
	statusCh := h.statusReceived()
	h.mu.Lock()
	if h.lastSeen == nil {
		h.lastSeen = make(map[string]time.Time)
	}
	if status.IsStoreReachable {
		h.lastSeen[status.Addr] = now
	} else {
		delete(h.lastSeen, status.Addr)
	}
	if status.Revision > h.revision {
		h.revision, h.addr = status.Revision, status.Addr
	}
	h.mu.Unlock()
	select {
	case statusCh <- struct{}{}:
	default:
	}
}

// hasLiveHub reports whether a hub that can reach the store sent a status within
// hubTimeout.
func (h *hubState) hasLiveHub(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for addr, at := range h.lastSeen {
		if now.Sub(at) < hubTimeout {
			return true
		}
		delete(h.lastSeen, addr)
	}
	return false
}

// newestRevision returns the newest revision that a hub reported and that hub's
// address.
func (h *hubState) newestRevision() (addr string, revision int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.addr, h.revision
}

// HubStatus is the status that a hub reports about itself.
type HubStatus struct {
	// Addr is where to read the changes up to Revision.
	Addr     string
	Revision int64
	// IsStoreReachable reports whether the hub can reach the store.
	IsStoreReachable bool
}

// RecordHubStatus records the status of a hub and switches from the store to the
// hub if it is available.
func (f *Follower) RecordHubStatus(status HubStatus) {
	f.hubs.recordStatus(f.now(), status)
	if f.followsHub() {
		f.cancelWatch(errSwitchToHub)
	}
}

// followsHub reports whether changes are read from a hub: this instance is not a
// hub itself, and there is a live one.
func (f *Follower) followsHub() bool {
	v := f.View()
	if f.IsHub == nil || v.Table == nil || f.IsHub(v) {
		return false
	}
	return f.hubs.hasLiveHub(f.now())
}

// followHub waits for the next hub status and pulls the changes that the view
// lacks.
func (f *Follower) followHub(ctx context.Context) {
	timer := time.NewTimer(hubTimeout)
	defer timer.Stop()
	select {
	case <-f.hubs.statusReceived():
	case <-timer.C:
		f.log().Info("no hub status received; watching the store", "Revision", f.View().Revision)
		return
	case <-ctx.Done():
		return
	}
	addr, revision := f.hubs.newestRevision()
	if revision <= f.View().Revision {
		return
	}
	if !f.pullFrom(ctx, addr) {
		f.hubs.forgetNewest(addr)
	}
}

// forgetNewest discards the newest revision if it was reported by the hub at
// addr, from which the pull failed. The next status replaces it.
func (h *hubState) forgetNewest(addr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.addr == addr {
		h.addr, h.revision = "", 0
	}
}
