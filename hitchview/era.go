package hitchview

import (
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// A store that comes back from an older copy is in a new era. What it lists may be older
// than what was in force: the rules below tell which of it counts.

// eraGracePeriod is how long entries are kept that a store which came back from an older
// copy doesn't list. Their writers write them again within about two seconds.
const eraGracePeriod = 2500 * time.Millisecond

// keepExpiredUntil returns until when to keep the entries that a batch from the store
// removes.
func (f *Follower) keepExpiredUntil(b Batch) time.Time {
	now := f.now()
	until := f.storeHealth.keepExpiredUntil(now, f.hubs.storeReachableSince(now))
	if grace := now.Add(eraGracePeriod); f.View().isBeforeEraOf(b) && grace.After(until) {
		return grace
	}
	return until
}

// logNewEra logs a batch of a newer era than that of the view.
func (f *Follower) logNewEra(b Batch) {
	v := f.View()
	if !v.isBeforeEraOf(b) {
		return
	}
	f.log().Warn("the store came back from an older copy", "From", v.Revision, "To", b.Revision, "Listed", len(b.Messages),
		"Endpoints", len(v.endpoints), "Instances", len(v.instances), "KeepFor", eraGracePeriod)
}

// isBeforeEraOf reports whether the view has a state, of an older era than a batch.
func (v View) isBeforeEraOf(b Batch) bool {
	return v.Table != nil && b.Revision.Era() > v.Revision.Era()
}

// acceptsTable reports whether a configuration replaces the current one. A store that
// came back from an older copy may hold an older version until the operator writes the
// newer one again.
func (v View) acceptsTable(m TableMsg) bool {
	if m.Revision <= v.TableRevision {
		return false
	}
	isSameEra := m.Revision.Era() == v.TableRevision.Era()
	return v.Table == nil || isSameEra || m.Table.Version() >= v.Table.Version()
}

// maxRemoved bounds the entries of each kind that are remembered after their removal.
const maxRemoved = 256

// appendRemoved returns a list with one more removed entry, at most maxRemoved.
func appendRemoved[T any](list []entry[T], e entry[T]) []entry[T] {
	drop := max(len(list)+1-maxRemoved, 0)
	return append(slices.Clone(list[drop:]), e)
}

// isRemovedBefore reports whether an endpoint's entry is one that was removed before the
// store came back from an older copy. An endpoint that is alive writes a newer one.
func (v View) isRemovedBefore(m EndpointMsg) bool {
	return slices.ContainsFunc(v.removedEndpoints, func(e entry[hitchfleet.Endpoint]) bool {
		return e.value.ID == m.Endpoint.ID && e.revision.Era() < m.Revision.Era() && e.value.Supersedes(m.Endpoint)
	})
}

// isRevived reports whether an instance's entry is one that was removed before the store
// came back from an older copy: the same write. An instance that registers again writes
// under another number.
func (v View) isRevived(m InstanceMsg) bool {
	return slices.ContainsFunc(v.removedInstances, func(e entry[hitchfleet.Instance]) bool {
		return e.value.ID == m.Instance.ID && e.revision.Era() < m.Revision.Era() && e.revision.Number() == m.Revision.Number()
	})
}

// RevivedInstances returns the instances whose entries were removed and are in the store
// again since it came back from an older copy, with the revisions of these entries. They
// don't serve callers.
func (v View) RevivedInstances() map[hitchfleet.InstanceID]hitchfleet.Revision {
	out := make(map[hitchfleet.InstanceID]hitchfleet.Revision)
	for id, e := range v.instances {
		if e.value.Leaving && e.expiresAt.IsZero() {
			out[id] = e.revision
		}
	}
	return out
}
