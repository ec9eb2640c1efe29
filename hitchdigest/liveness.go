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

// maxSilentInstances bounds a hub's list of silent instances, so that its status fits
// in a datagram. The others follow once these have been removed from the fleet.
const maxSilentInstances = 64

// Silence lists the instances that a hub receives no reports from.
type Silence struct {
	_ struct{} `cbor:",toarray"`
	// Instances is sorted, so that hubs with the same knowledge send the same list.
	Instances []hitchfleet.InstanceID
	// IsMajority is set if more than half of the region's instances are silent. The hub
	// may then be cut off from the others itself.
	IsMajority bool
}

// ReportTracker tracks when a hub last received a report from each instance. The
// zero value is ready to use. Its methods are safe for concurrent use.
type ReportTracker struct {
	mu         sync.Mutex
	lastReport map[hitchfleet.InstanceID]time.Time
	checkedAt  time.Time
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

// Silence returns the instances that sent no report for silenceTimeout: they hang, are
// cut off from the network, or have crashed. Instances without any report so far are
// not silent yet. It is to be called several times a second; after a longer pause,
// as this instance hung or has just become a hub, no instance is silent.
func (t *ReportTracker) Silence(now time.Time, instances []hitchfleet.Instance) (out Silence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wasPaused := now.Sub(t.checkedAt) > silenceTimeout
	t.checkedAt = now
	lastReport := make(map[hitchfleet.InstanceID]time.Time, len(instances))
	for _, i := range instances {
		reportedAt, ok := t.lastReport[i.ID]
		if !ok || wasPaused {
			reportedAt = now
		}
		lastReport[i.ID] = reportedAt
		if now.Sub(reportedAt) > silenceTimeout {
			out.Instances = append(out.Instances, i.ID)
		}
	}
	t.lastReport = lastReport
	out.IsMajority = 2*len(out.Instances) > len(instances)
	slices.Sort(out.Instances)
	out.Instances = out.Instances[:min(len(out.Instances), maxSilentInstances)]
	return out
}

// Liveness combines the silence that the hubs report. The zero value has no reports.
// Its methods are safe for concurrent use.
type Liveness struct {
	mu      sync.Mutex
	reports []silenceReport
	// loneSince is since when there is only one hub, which is silent about a majority;
	// the zero time if that isn't so.
	loneSince time.Time
}

// silenceReport is the latest silence that one hub reported.
type silenceReport struct {
	hub        hitchfleet.InstanceID
	receivedAt time.Time
	silence    Silence
}

const (
	// silenceReportTTL is how long a hub's silence counts.
	silenceReportTTL = 1500 * time.Millisecond
	// loneHubDelay is how long a single hub must have reported a silent majority before
	// it counts. Until then the hub is more likely to be cut off itself.
	loneHubDelay = 4 * time.Second
)

// RecordHubStatus records the silence in a hub's status.
func (l *Liveness) RecordHubStatus(now time.Time, status HubStatus) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports = slices.DeleteFunc(l.reports, func(r silenceReport) bool {
		return r.hub == status.From || now.Sub(r.receivedAt) >= silenceReportTTL
	})
	l.reports = append(l.reports, silenceReport{hub: status.From, receivedAt: now, silence: status.Silence})
	switch isLone := len(l.reports) == 1 && status.Silence.IsMajority; {
	case !isLone:
		l.loneSince = time.Time{}
	case l.loneSince.IsZero():
		l.loneSince = now
	}
}

// IsSilent reports whether every hub with a current status lists the instance. If
// only some hubs list it, they may be cut off from it themselves.
func (l *Liveness) IsSilent(now time.Time, id hitchfleet.InstanceID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.loneSince.IsZero() && now.Sub(l.loneSince) < loneHubDelay {
		return false
	}
	isSilent := false
	for _, r := range l.reports {
		if now.Sub(r.receivedAt) >= silenceReportTTL {
			continue
		}
		if _, ok := slices.BinarySearch(r.silence.Instances, id); !ok {
			return false
		}
		isSilent = true
	}
	return isSilent
}

// IsLone reports whether the silence is that of a majority, reported by one hub alone.
func (l *Liveness) IsLone() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.loneSince.IsZero()
}

// Times after which a silent instance is removed from the fleet.
const (
	removalDelay = 5 * time.Second
	// loneRemovalDelay applies while a single hub reports a silent majority.
	loneRemovalDelay = 30 * time.Second
)

// Removals decides which silent instances a hub removes from the fleet. The zero value
// is ready to use. It isn't safe for concurrent use.
type Removals struct {
	silentSince map[entryRevision]time.Time
}

// entryRevision is one write of an instance's entry. A later write shows that the
// instance is alive, so that its silence starts anew.
type entryRevision struct {
	id       hitchfleet.InstanceID
	revision int64
}

// Due returns the instances that have been silent long enough. revisionOf returns the
// store revision that wrote an instance's entry, and false if it has none.
func (r *Removals) Due(now time.Time, l *Liveness, instances []hitchfleet.Instance, revisionOf func(hitchfleet.InstanceID) (int64, bool)) (due []hitchfleet.InstanceID) {
	delay := removalDelay
	if l.IsLone() {
		delay = loneRemovalDelay
	}
	silentSince := make(map[entryRevision]time.Time)
	for _, i := range instances {
		revision, ok := revisionOf(i.ID)
		if !ok || !l.IsSilent(now, i.ID) {
			continue
		}
		key := entryRevision{i.ID, revision}
		since, ok := r.silentSince[key]
		if !ok {
			since = now
		}
		silentSince[key] = since
		if now.Sub(since) >= delay {
			due = append(due, i.ID)
		}
	}
	r.silentSince = silentSince
	return due
}
