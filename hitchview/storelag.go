package hitchview

import (
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// maxStoreLag is how long the store may have changes that no read brings, before the follower pulls
// from other instances and says that it doesn't keep up.
const maxStoreLag = 900 * time.Millisecond

// storeLag tracks since when the store has had changes that no read of it brought, although probes show
// them. The zero value knows of none. Its methods are safe for concurrent use.
type storeLag struct {
	mu sync.Mutex
	// revision is one that a probe saw at the time since and that no read has brought yet; 0 if there
	// is none.
	revision hitchfleet.Revision
	since    time.Time
	// newsAt is when a read last brought a newer revision than the view's.
	newsAt time.Time
}

// recordProbe records a revision that the store has and the view lacks.
func (l *storeLag) recordProbe(now time.Time, revision hitchfleet.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.revision == 0 {
		l.revision, l.since = revision, now
	}
}

// recordRead records the revision that a read brought, and whether the view lacked it.
func (l *storeLag) recordRead(now time.Time, revision hitchfleet.Revision, isNew bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision >= l.revision {
		l.revision = 0
	}
	if isNew {
		l.newsAt = now
	}
}

// isBehind reports whether reads have brought less than the store has for maxStoreLag.
func (l *storeLag) isBehind(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision != 0 && now.Sub(l.since) >= maxStoreLag
}

// timeSinceNews returns the time since a read last brought a newer revision than the view's.
func (l *storeLag) timeSinceNews(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.newsAt)
}

// reset forgets what probes saw, as the store isn't read any more.
func (l *storeLag) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision = 0
}
