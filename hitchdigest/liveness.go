package hitchdigest

import (
	"slices"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// silenceTimeout is how long an instance may send no report before a hub lists it
// as silent.
const silenceTimeout = time.Second

// ReportTracker tracks when a hub last received a report from each instance. The
// zero value is ready to use. Its methods are safe for concurrent use.
type ReportTracker struct {
	mu         sync.Mutex
	lastReport map[hitchfleet.InstanceID]time.Time
}

// RecordReport records a report from an instance.
func (t *ReportTracker) RecordReport(now time.Time, id hitchfleet.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastReport == nil {
		t.lastReport = make(map[hitchfleet.InstanceID]time.Time)
	}
	t.lastReport[id] = now
}

// SilentInstances returns the instances that sent no report for silenceTimeout.
// They hang, are cut off from the network or have crashed, and show up here long
// before their leases expire. If that is more than half of the instances,
// SilentInstances returns none: this hub is then cut off itself, or has just
// resumed after a pause.
func (t *ReportTracker) SilentInstances(now time.Time, instances []hitchfleet.Instance) (silent []hitchfleet.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	lastReport := make(map[hitchfleet.InstanceID]time.Time, len(instances))
	for _, i := range instances {
		reportedAt, ok := t.lastReport[i.ID]
		if !ok {
			reportedAt = now
		}
		lastReport[i.ID] = reportedAt
		if now.Sub(reportedAt) > silenceTimeout {
			silent = append(silent, i.ID)
		}
	}
	t.lastReport = lastReport
	if 2*len(silent) > len(instances) {
		return nil
	}
	return silent
}

// Liveness combines the lists of silent instances that the hubs send. The zero
// value has no lists. Its methods are safe for concurrent use.
type Liveness struct {
	mu    sync.Mutex
	lists []silenceList
}

// silenceList is the latest list of silent instances from one hub.
type silenceList struct {
	hub        hitchfleet.InstanceID
	receivedAt time.Time
	silent     []hitchfleet.InstanceID
}

// silenceListTTL is how long a hub's list counts.
const silenceListTTL = 1500 * time.Millisecond

// RecordHubStatus records the list of silent instances in a hub's status.
func (l *Liveness) RecordHubStatus(now time.Time, status HubStatus) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lists = slices.DeleteFunc(l.lists, func(list silenceList) bool {
		return list.hub == status.From || now.Sub(list.receivedAt) >= silenceListTTL
	})
	l.lists = append(l.lists, silenceList{hub: status.From, receivedAt: now, silent: status.SilentInstances})
}

// IsSilent reports whether every hub with a current list has the instance on it.
// If only some hubs list it, they may be cut off from it themselves.
func (l *Liveness) IsSilent(now time.Time, id hitchfleet.InstanceID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	isSilent := false
	for _, list := range l.lists {
		if now.Sub(list.receivedAt) >= silenceListTTL {
			continue
		}
		if !slices.Contains(list.silent, id) {
			return false
		}
		isSilent = true
	}
	return isSilent
}
