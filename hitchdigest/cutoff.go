package hitchdigest

import (
	"slices"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchrecent"
)

// cutOffTTL is how long the word of an instance, or of a hub, counts.
const cutOffTTL = 1500 * time.Millisecond

// CutOffs holds which instances say that they are cut off from all endpoints: to a hub in their
// reports, and to all others in the status of a hub. The zero value is empty. Its methods are
// safe for concurrent use.
type CutOffs struct {
	mu sync.Mutex
	// reportedAt is when instances last said so to this hub.
	reportedAt map[hitchfleet.InstanceID]time.Time
	statuses   map[hitchfleet.InstanceID]cutOffStatus // by hub
}

// cutOffStatus is what one hub says.
type cutOffStatus struct {
	receivedAt time.Time
	instances  []InstanceRef
}

// RecordReport records whether an instance says that it is cut off.
func (c *CutOffs) RecordReport(now time.Time, r Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !r.IsCutOff {
		delete(c.reportedAt, r.From)
		return
	}
	if c.reportedAt == nil {
		c.reportedAt = make(map[hitchfleet.InstanceID]time.Time)
	}
	isOld := func(_ hitchfleet.InstanceID, at time.Time) bool { return now.Sub(at) >= cutOffTTL }
	if _, ok := c.reportedAt[r.From]; ok || hitchrecent.HasRoom(c.reportedAt, maxInstances, isOld) {
		c.reportedAt[r.From] = now
	}
}

// Reported returns the instances that are cut off by their reports, at most as many as silent
// ones.
func (c *CutOffs) Reported(now time.Time) (refs []InstanceRef) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, at := range c.reportedAt {
		if now.Sub(at) >= cutOffTTL {
			delete(c.reportedAt, id)
			continue
		}
		refs = append(refs, InstanceRefOf(id))
	}
	slices.Sort(refs)
	return refs[:min(len(refs), maxSilentInstances)]
}

// RecordHubStatus records which instances a hub knows to be cut off.
func (c *CutOffs) RecordHubStatus(now time.Time, status HubStatus) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.statuses == nil {
		c.statuses = make(map[hitchfleet.InstanceID]cutOffStatus)
	}
	for hub, s := range c.statuses {
		if now.Sub(s.receivedAt) >= cutOffTTL {
			delete(c.statuses, hub)
		}
	}
	c.statuses[status.From] = cutOffStatus{receivedAt: now, instances: status.CutOff}
}

// IsCutOff reports whether a hub knows that an instance is cut off.
func (c *CutOffs) IsCutOff(now time.Time, id hitchfleet.InstanceID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	ref := InstanceRefOf(id)
	for _, s := range c.statuses {
		if _, ok := slices.BinarySearch(s.instances, ref); ok && now.Sub(s.receivedAt) < cutOffTTL {
			return true
		}
	}
	return false
}
