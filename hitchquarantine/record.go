package hitchquarantine

import (
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Record holds the quarantined traits for instances that start when no other is left.
type Record struct {
	Traits []RecordedTrait
}

// RecordedTrait is a quarantined trait. ReleaseAt is the end of its quarantine, by the clock of
// the instance that wrote it.
type RecordedTrait struct {
	Trait       string // as Trait.String returns it
	Epoch       uint32
	Crashes     []hitchfleet.RunID
	HasAnswered bool
	Level       uint8
	ReleaseAt   time.Time
}

// Record returns the quarantined traits, in order.
func (t *Tracker) Record(now time.Time) (r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.sorted() {
		if s.isQuarantined() && now.Before(s.expiresAt) {
			r.Traits = append(r.Traits, RecordedTrait{
				Trait: s.trait.String(), Epoch: s.epoch, Crashes: slices.Clone(s.crashes), HasAnswered: s.hasAnswered,
				Level: s.level, ReleaseAt: s.releaseAt.Round(time.Millisecond).UTC(),
			})
		}
	}
	return r
}

// fromStore is the origin of decisions that were read from the store.
const fromStore = "store"

// Inherit adds the traits of a record whose quarantine isn't over.
func (t *Tracker) Inherit(now time.Time, r Record) {
	var suspicions []Suspicion
	for _, p := range r.Traits {
		trait, err := ParseTrait(p.Trait)
		release := min(p.ReleaseAt.Sub(now), maxQuarantine)
		if err != nil || release <= 0 {
			continue
		}
		suspicions = append(suspicions, Suspicion{
			Trait: trait, Epoch: p.Epoch, Crashes: p.Crashes, HasAnswered: p.HasAnswered,
			Level: p.Level, ReleaseMilliseconds: uint32(release.Milliseconds()),
		})
	}
	for chunk := range slices.Chunk(suspicions, MaxPerMessage) {
		t.Receive(now, SuspicionsMsg{From: fromStore, Suspicions: chunk}, false)
	}
}
