package hitchview

import (
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// maxStoreLag is how long the store may have changes that no read brings, before the follower pulls
// from other instances and says that it doesn't keep up.
const maxStoreLag = 900 * time.Millisecond

// lag tracks since when a source, the store or the hubs, has had changes that no read of it brought, although
// probes or statuses show them. The zero value knows of none. Its methods are safe for concurrent use.
type lag struct {
	mu sync.Mutex
	// revision is one that was seen at the time since and that no read has brought yet; 0 if there
	// is none.
	revision hitchfleet.Revision
	since    time.Time
	// readRevision is the newest one that a read has brought.
	readRevision hitchfleet.Revision
	// newsAt is when a read last brought a newer revision than the view's.
	newsAt time.Time
}

// recordSeen records a revision that the source has and the view lacked before. A read may have brought it meanwhile.
func (l *lag) recordSeen(now time.Time, revision hitchfleet.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.revision == 0 && revision > l.readRevision {
		l.revision, l.since = revision, now
	}
}

// recordRead records the revision that a read brought, and whether the view lacked it.
func (l *lag) recordRead(now time.Time, revision hitchfleet.Revision, isNew bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readRevision = max(l.readRevision, revision)
	if revision >= l.revision {
		l.revision = 0
	}
	if isNew {
		l.newsAt = now
	}
}

// lastsFor reports whether reads have brought less than the source has for at least d.
func (l *lag) lastsFor(now time.Time, d time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision != 0 && now.Sub(l.since) >= d
}

// timeSinceNews returns the time since a read last brought a newer revision than the view's.
func (l *lag) timeSinceNews(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.newsAt)
}

// reset forgets what was seen, as the source isn't read any more.
func (l *lag) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision = 0
}
