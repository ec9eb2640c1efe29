// Package hitchquota keeps the quotas that endpoints name: the requests a second, or in flight,
// that one takes from all instances together, for as long as its responses say so. It has no socket
// or clock of its own: callers pass in what responses say, messages and the time.
//
// Every instance knows the quotas (Tracker). For each endpoint one instance, its owner,
// gives permits at the named rate (Issuer); the others ask it for one before each request.
// Demand decides who gets them, and no permit is left over at an instance that has no
// requests.
//
//	var t hitchquota.Tracker
//	t.Observe(now, endpoint.Run(), hitchquota.Quota{PerSecond: 2.5, IsLimited: true})
//	if quota := t.Quota(now, endpoint.Run()); !quota.IsZero() {
//		// ... ask the first of hitchfleet.Owners(hitchfleet.Key(endpoint.Run()), instances, 2) for a permit ...
//	}
package hitchquota

import (
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Quota is what an endpoint says of the requests that it takes. The zero value stands for
// no limit.
type Quota struct {
	// PerSecond is the number of requests a second from all instances. It is valid only if
	// IsLimited is set.
	PerSecond float64
	IsLimited bool
	// MaxInFlight is the number of requests that may be in flight from all instances, as the
	// endpoint doesn't bear to refuse any; 0 if it does.
	MaxInFlight int
}

// IsZero reports whether the endpoint names no limit.
func (q Quota) IsZero() bool { return !q.IsLimited && q.MaxInFlight == 0 }

// Times and limits of known quotas.
const (
	// quotaTTL is how long a quota counts after the last response that named it. An endpoint
	// that gets few requests says little.
	quotaTTL = time.Minute
	// endedTTL is how long it is told that an endpoint names no quota any more.
	endedTTL = 10 * time.Second
	// maxRuns limits the memory.
	maxRuns = 4096
)

// knownQuota is the newest quota of a run of an endpoint.
type knownQuota struct {
	Quota
	// namedAt is when a response said so.
	namedAt   time.Time
	expiresAt time.Time
	// permits counts those that this instance got since there is a quota.
	permits int
	// changedAt is when this instance learned that there is a quota, or none any more, and
	// sentAt when it last told others.
	changedAt, sentAt time.Time
	// confirmedAt is when what a hub knows was named.
	confirmedAt time.Time
}

// Tracker holds the quotas that an instance knows. The zero value knows none. Its methods
// are safe for concurrent use.
type Tracker struct {
	mu     sync.Mutex
	quotas map[hitchfleet.RunID]*knownQuota
}

// Change is a change of a known quota.
type Change struct {
	Run      hitchfleet.RunID
	Old, New Quota
	// NamedAt is when a response said so.
	NamedAt time.Time
	// Permits is the number of permits that this instance got since there is a quota.
	Permits int
	// From is the instance that told this one, or empty if a response of its own did.
	From hitchfleet.InstanceID
}

// Observe records what a response says. It returns a change, and true if there is one.
func (t *Tracker) Observe(now time.Time, run hitchfleet.RunID, q Quota) (Change, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.learn(now, now, run, q, "")
}

// learn records the quota that a response named at a time, unless a later one is known.
func (t *Tracker) learn(now, namedAt time.Time, run hitchfleet.RunID, q Quota, from hitchfleet.InstanceID) (Change, bool) {
	k := t.quotas[run]
	if k == nil && q.IsZero() || k != nil && namedAt.Before(k.namedAt) {
		return Change{}, false
	}
	if k == nil {
		if k = t.add(now, run); k == nil {
			return Change{}, false
		}
	}
	change := Change{Run: run, Old: k.Quota, New: q, NamedAt: namedAt, Permits: k.permits, From: from}
	k.Quota, k.namedAt = q, namedAt
	k.expiresAt = namedAt.Add(quotaTTL)
	if q.IsZero() {
		k.expiresAt = namedAt.Add(endedTTL)
	}
	if change.Old == change.New {
		return Change{}, false
	}
	if change.Old.IsLimited != change.New.IsLimited || change.Old.MaxInFlight != change.New.MaxInFlight {
		k.changedAt, k.permits = now, 0
	}
	return change, true
}

// add adds a run without a quota. It returns nil if there is no room.
func (t *Tracker) add(now time.Time, run hitchfleet.RunID) *knownQuota {
	if len(t.quotas) >= maxRuns {
		t.expire(now)
	}
	if len(t.quotas) >= maxRuns {
		return nil
	}
	if t.quotas == nil {
		t.quotas = make(map[hitchfleet.RunID]*knownQuota)
	}
	k := &knownQuota{}
	t.quotas[run] = k
	return k
}

// expire forgets the quotas that no response has named for long.
func (t *Tracker) expire(now time.Time) {
	for run, k := range t.quotas {
		if !now.Before(k.expiresAt) {
			delete(t.quotas, run)
		}
	}
}

// Quota returns the quota of a run of an endpoint.
func (t *Tracker) Quota(now time.Time, run hitchfleet.RunID) Quota {
	quota, _ := t.QuotaSince(now, run)
	return quota
}

// QuotaSince returns the quota of a run, and when it was last named.
func (t *Tracker) QuotaSince(now time.Time, run hitchfleet.RunID) (q Quota, namedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.quotas[run]
	if k == nil || !now.Before(k.expiresAt) {
		return Quota{}, time.Time{}
	}
	return k.Quota, k.namedAt
}

// RecordPermit records that this instance got a permit for a request to a run.
func (t *Tracker) RecordPermit(run hitchfleet.RunID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if k := t.quotas[run]; k != nil {
		k.permits++
	}
}

// Limited returns the number of endpoints with a quota.
func (t *Tracker) Limited(now time.Time) (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range t.quotas {
		if !k.IsZero() && now.Before(k.expiresAt) {
			n++
		}
	}
	return n
}
