package hitchquota

import (
	"cmp"
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Times and sizes of messages.
const (
	// repeatInterval is how often a hub repeats which endpoints have a quota, for instances
	// that have started or lost a message.
	repeatInterval = 2 * time.Second
	// refreshInterval is how old a hub's knowledge may be until an instance that knows newer
	// refreshes it.
	refreshInterval = quotaTTL / 3
	// maxPerMessage limits a message to about a kilobyte.
	maxPerMessage = 80
)

// Due returns what is to be sent now: by a hub to all instances, or by another instance to
// the hubs. The owner of an endpoint learns a changed number from the requests for permits,
// so that only whether there is a quota is told.
func (t *Tracker) Due(now time.Time, isHub bool) (due []Notice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var runs []hitchfleet.RunID
	for run, k := range t.quotas {
		if isHub && k.isDueAtHub(now) || !isHub && k.isDue() {
			runs = append(runs, run)
		}
	}
	slices.SortFunc(runs, func(x, y hitchfleet.RunID) int {
		return cmp.Or(t.quotas[x].sentAt.Compare(t.quotas[y].sentAt), cmp.Compare(x, y))
	})
	for _, run := range runs[:min(len(runs), maxPerMessage)] {
		k := t.quotas[run]
		k.sentAt = now
		due = append(due, newNotice(now, run, k.Quota, k.namedAt))
	}
	return due
}

// isDueAtHub reports whether a hub tells all instances of the quota.
func (k *knownQuota) isDueAtHub(now time.Time) bool {
	return !k.changedAt.Before(k.sentAt) || now.Sub(k.sentAt) >= repeatInterval
}

// isDue reports whether an instance tells the hubs of the quota.
func (k *knownQuota) isDue() bool {
	return k.confirmedAt.Before(k.changedAt) || !k.IsZero() && k.namedAt.Sub(k.confirmedAt) >= refreshInterval
}

// Receive adds what another instance knows. It returns the changes.
func (t *Tracker) Receive(now time.Time, msg NoticesMsg, isFromHub bool) (changes []Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range msg.Notices[:min(len(msg.Notices), maxPerMessage)] {
		quota, namedAt := n.quota(now)
		if change, ok := t.learn(now, namedAt, n.Run, quota, msg.From); ok {
			changes = append(changes, change)
		}
		if k := t.quotas[n.Run]; k != nil && isFromHub && k.IsZero() == quota.IsZero() {
			k.confirmedAt = later(k.confirmedAt, later(k.changedAt, namedAt))
		}
	}
	return changes
}
