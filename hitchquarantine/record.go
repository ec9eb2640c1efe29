package hitchquarantine

import (
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Record holds the quarantined parts for instances that start when no other is left.
type Record struct {
	Parts []RecordedPart
}

// RecordedPart is a quarantined part. ReleaseAt is the end of its quarantine, by the clock of
// the instance that wrote it.
type RecordedPart struct {
	Part        string // as callers write it
	Epoch       uint32
	Crashes     []hitchfleet.RunID
	HasAnswered bool
	Level       uint8
	ReleaseAt   time.Time
}

// Record returns the quarantined parts, in order.
func (t *Tracker) Record(now time.Time) (r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.sorted() {
		if s.isQuarantined() && now.Before(s.expiresAt) {
			r.Parts = append(r.Parts, RecordedPart{
				Part: s.part.String(), Epoch: s.epoch, Crashes: slices.Clone(s.crashes), HasAnswered: s.hasAnswered,
				Level: s.level, ReleaseAt: s.releaseAt.Round(time.Millisecond).UTC(),
			})
		}
	}
	return r
}

// fromStore is the origin of decisions that were read from the store.
const fromStore = "store"

// Inherit adds the parts of a record whose quarantine isn't over.
func (t *Tracker) Inherit(now time.Time, r Record) {
	var suspicions []Suspicion
	for _, p := range r.Parts {
		part, err := hitchfleet.ParsePartID(p.Part)
		release := min(p.ReleaseAt.Sub(now), maxQuarantine)
		if err != nil || release <= 0 {
			continue
		}
		suspicions = append(suspicions, Suspicion{
			Part: part, Epoch: p.Epoch, Crashes: p.Crashes, HasAnswered: p.HasAnswered,
			Level: p.Level, ReleaseMilliseconds: uint32(release.Milliseconds()),
		})
	}
	for chunk := range slices.Chunk(suspicions, maxPerMessage) {
		t.Receive(now, SuspicionsMsg{From: fromStore, Suspicions: chunk}, false)
	}
}
