package hitchview

import (
	"context"
	"errors"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// errSwitchToHub ends a watch of the store when a hub is available.
var errSwitchToHub = errors.New("a hub is available")

func isSwitchToHub(err error) bool { return errors.Is(err, errSwitchToHub) }

// hubState holds the latest status of the hubs. The zero value has none.
type hubState struct {
	mu sync.Mutex
	// heardAt is when the last status of any hub arrived, or when the instance started
	// with the view of another one.
	heardAt time.Time
	// addr is the address of the hub with the newest revision.
	addr     string
	revision hitchfleet.Revision
	statusCh chan struct{}
	reach    hubReach
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

// recordStatus records a hub's status.
func (h *hubState) recordStatus(now time.Time, status HubStatus) {
	statusCh := h.statusReceived()
	h.mu.Lock()
	h.heardAt = now
	h.reach.record(now, status)
	if status.Revision > h.revision {
		h.revision, h.addr = status.Revision, status.Addr
	}
	h.mu.Unlock()
	select {
	case statusCh <- struct{}{}:
	default:
	}
}

// expectStatus makes the follower wait for the first status as long as for any other.
func (h *hubState) expectStatus(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heardAt = now
}

// hasLiveHub reports whether a status arrived within the timeout.
func (h *hubState) hasLiveHub(now time.Time, timeout time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.heardAt.IsZero() && now.Sub(h.heardAt) < timeout
}

// newestRevision returns the newest revision that a hub reported and that hub's
// address.
func (h *hubState) newestRevision() (addr string, revision hitchfleet.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.addr, h.revision
}

// storeReachableSince returns since when a hub has reached the store, or the zero time if none
// does.
func (h *hubState) storeReachableSince(now time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reach.since(now)
}

// HubStatus is the status that a hub reports about itself.
type HubStatus struct {
	// Addr is where to read the changes up to Revision.
	Addr     string
	Revision hitchfleet.Revision
	// IsStoreReachable reports whether the hub can reach the store and keeps up with it.
	IsStoreReachable bool
}

// RecordHubStatus records the status of a hub and switches from the store to the
// hub. Hubs that can't reach the store are followed too: then other instances watch it
// and send their status.
func (f *Follower) RecordHubStatus(status HubStatus) {
	f.hubs.recordStatus(f.now(), status)
	if f.followsHub() {
		f.cancelWatch(errSwitchToHub)
	}
}

// followsHub reports whether changes are read from a hub: this instance doesn't watch
// the store itself, and there is a live hub.
func (f *Follower) followsHub() bool {
	v := f.View()
	if f.WatchesStore == nil || v.Table == nil || f.WatchesStore() {
		return false
	}
	return f.hubs.hasLiveHub(f.now(), hubTimeout(v)) && !f.hubLag.lastsFor(f.now(), hubTimeout(v))
}

// hubTimeout returns how long to wait for a status of a hub, or for the changes that it announces, before watching
// the store instead. In a large fleet that allows for the time in which other instances take the
// place of the hubs, so that the instances don't all turn to the store.
func hubTimeout(v View) time.Duration {
	return minHubTimeout + min(time.Duration(len(v.instances))*hubTimeoutPerInstance, maxExtraHubTimeout)
}

// IsCurrent reports whether the view is kept up to date by the store or by a hub.
func (f *Follower) IsCurrent() bool {
	v := f.View()
	return v.Table != nil && (f.KeepsUpWithStore() || f.hubs.hasLiveHub(f.now(), hubTimeout(v)))
}

// followHub waits for the next hub status and pulls the changes that the view
// lacks.
func (f *Follower) followHub(ctx context.Context) {
	timer := time.NewTimer(hubTimeout(f.View()))
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
		f.hubLag.reset()
		return
	}
	f.hubLag.recordSeen(f.now(), revision)
	if !f.pullFrom(ctx, addr) || f.View().Revision < revision {
		f.hubs.forgetNewest(addr)
		if f.hubLag.lastsFor(f.now(), hubTimeout(f.View())) {
			f.log().Warn("no hub has the changes that are announced; watching the store", "Revision", f.View().Revision, "Announced", revision, "Addr", addr)
		}
		return
	}
	f.hubLag.reset()
}

// forgetNewest discards the newest revision if it was reported by the hub at
// addr, from which it couldn't be pulled. The next status replaces it.
func (h *hubState) forgetNewest(addr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.addr == addr {
		h.addr, h.revision = "", 0
	}
}
