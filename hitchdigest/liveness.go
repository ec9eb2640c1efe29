package hitchdigest

import (
	"slices"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchrecent"
)

// silenceTimeout is how long an instance may send no report before a hub lists it
// as silent.
const silenceTimeout = time.Second

const (
	// maxInstances bounds the maps by instance, as the IDs in datagrams may be made up.
	maxInstances = 4096
	// forgetTime is after how long an entry makes room for another in a full map.
	forgetTime = 10 * time.Second
)

// maxSilentInstances bounds a hub's list of silent instances, so that its status fits
// in a datagram. The others follow once these have been removed from the fleet.
const maxSilentInstances = 200

// Silence lists the instances that a hub receives no reports from.
type Silence struct {
	_ struct{} `cbor:",toarray"`
	// Instances is sorted, so that hubs with the same knowledge send the same list.
	Instances []InstanceRef
	// IsMajority is set if more than half of the region's instances are silent. The hub
	// may then be cut off from the others itself.
	IsMajority bool
	// IsSettled is set once the hub has waited for reports for silenceTimeout.
	IsSettled bool
}

// ReportTracker tracks when a hub last received a report from each instance. The
// zero value is ready to use. Its methods are safe for concurrent use.
type ReportTracker struct {
	mu         sync.Mutex
	lastReport map[hitchfleet.InstanceID]time.Time
	checkedAt  time.Time
	// trackedSince is when the instance became a hub or resumed after a pause.
	trackedSince time.Time
}

// RecordReport records a report from an instance.
func (t *ReportTracker) RecordReport(now time.Time, id hitchfleet.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastReport == nil {
		t.lastReport = make(map[hitchfleet.InstanceID]time.Time)
	}
	isOld := func(_ hitchfleet.InstanceID, at time.Time) bool { return now.Sub(at) > forgetTime }
	if _, ok := t.lastReport[id]; ok || hitchrecent.HasRoom(t.lastReport, maxInstances, isOld) {
		t.lastReport[id] = now
	}
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
	if wasPaused {
		t.trackedSince = now
	}
	lastReport := make(map[hitchfleet.InstanceID]time.Time, len(instances))
	for _, i := range instances {
		reportedAt, ok := t.lastReport[i.ID]
		if !ok || wasPaused {
			reportedAt = now
		}
		lastReport[i.ID] = reportedAt
		if now.Sub(reportedAt) > silenceTimeout {
			out.Instances = append(out.Instances, InstanceRefOf(i.ID))
		}
	}
	t.lastReport = lastReport
	out.IsSettled = now.Sub(t.trackedSince) > silenceTimeout
	out.IsMajority = 2*len(out.Instances) > len(instances)
	slices.Sort(out.Instances)
	out.Instances = out.Instances[:min(len(out.Instances), maxSilentInstances)]
	return out
}

// Liveness combines the silence that the hubs report. The zero value has no reports.
// Its methods are safe for concurrent use.
//
// A hub that receives reports of most instances is credible. One that doesn't may be cut off itself,
// or consider itself a hub because it is cut off from the real ones.
type Liveness struct {
	mu      sync.Mutex
	reports []silenceReport
	// doubtfulSince is since when no credible hub reports; the zero time if one does.
	doubtfulSince time.Time
}

// silenceReport is the latest silence that one hub reported.
type silenceReport struct {
	hub        hitchfleet.InstanceID
	zone       hitchfleet.AvailabilityZone
	receivedAt time.Time
	silence    Silence
}

const (
	// silenceReportTTL is how long a hub's silence counts.
	silenceReportTTL = 1500 * time.Millisecond
	// doubtDelay is how long there must have been no credible hub before the others
	// count. Most instances are then assumed down.
	doubtDelay = 2500 * time.Millisecond
)

// RecordHubStatus records the silence in a hub's status, unless the hub has yet to wait
// for reports.
func (l *Liveness) RecordHubStatus(now time.Time, status HubStatus) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports = slices.DeleteFunc(l.reports, func(r silenceReport) bool {
		return r.hub == status.From || now.Sub(r.receivedAt) >= silenceReportTTL
	})
	if !status.Silence.IsSettled {
		return
	}
	l.reports = append(l.reports, silenceReport{hub: status.From, zone: status.Zone, receivedAt: now, silence: status.Silence})
	switch {
	case l.hasCredible(now):
		l.doubtfulSince = time.Time{}
	case l.doubtfulSince.IsZero():
		l.doubtfulSince = now
	}
}

// hasCredible reports whether a credible hub reported recently.
func (l *Liveness) hasCredible(now time.Time) bool {
	return slices.ContainsFunc(l.reports, func(r silenceReport) bool { return r.isCurrent(now) && !r.silence.IsMajority })
}

func (r silenceReport) isCurrent(now time.Time) bool { return now.Sub(r.receivedAt) < silenceReportTTL }

// IsSilent reports whether every credible hub lists the instance. If only some of them
// do, they may be cut off from it themselves. Without a credible hub, all others must
// list it, and that only counts after doubtDelay.
func (l *Liveness) IsSilent(now time.Time, id hitchfleet.InstanceID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	hasCredible := l.hasCredible(now)
	if !hasCredible && (l.doubtfulSince.IsZero() || now.Sub(l.doubtfulSince) < doubtDelay) {
		return false
	}
	ref, isSilent := InstanceRefOf(id), false
	for _, r := range l.reports {
		if !r.isCurrent(now) || hasCredible && r.silence.IsMajority {
			continue
		}
		if _, ok := slices.BinarySearch(r.silence.Instances, ref); !ok {
			return false
		}
		isSilent = true
	}
	return isSilent
}

// IsConfirmed reports whether credible hubs of several availability zones report. A
// single zone may be cut off from the silent instances.
func (l *Liveness) IsConfirmed(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	zones := make(map[hitchfleet.AvailabilityZone]bool)
	for _, r := range l.reports {
		if r.isCurrent(now) && !r.silence.IsMajority {
			zones[r.zone] = true
		}
	}
	return len(zones) > 1
}

// Times after which a silent instance is removed from the fleet.
const (
	removalDelay = 5 * time.Second
	// unconfirmedRemovalDelay applies while the hubs of a single availability zone
	// report, or none that receives reports of most instances.
	unconfirmedRemovalDelay = 30 * time.Second
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
	revision hitchfleet.Revision
}

// Due returns the instances that have been silent long enough. revisionOf returns the
// store revision that wrote an instance's entry, and false if it has none.
func (r *Removals) Due(now time.Time, l *Liveness, instances []hitchfleet.Instance, revisionOf func(hitchfleet.InstanceID) (hitchfleet.Revision, bool)) (due []hitchfleet.InstanceID) {
	delay := unconfirmedRemovalDelay
	if l.IsConfirmed(now) {
		delay = removalDelay
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
