package hitchview

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Delays and timeouts of a follower.
const (
	// minRetryDelay and maxRetryDelay bound the backoff after a failed call to
	// the store.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// maxRetryDelayWithoutConfig replaces maxRetryDelay until the first
	// configuration is read, because no caller is served before that.
	maxRetryDelayWithoutConfig = 150 * time.Millisecond
	// outageThreshold is how long the store must be unreachable before the
	// follower pulls changes from other instances and before removed entries get
	// a grace period.
	outageThreshold = 1200 * time.Millisecond
	// probeInterval is the time between reads of the store's revision. They
	// detect a watch that stalls while there are changes.
	probeInterval = 700 * time.Millisecond
	// maxWatchLag is how long a watch may take to deliver a change that a probe
	// has already seen.
	maxWatchLag = 150 * time.Millisecond
	// batchDelay is the pause after each watch call. Changes that follow each
	// other closely are then read by a single call.
	batchDelay = 150 * time.Millisecond
	// minHubTimeout, hubTimeoutPerInstance and maxExtraHubTimeout determine how long to
	// wait for a hub's status before watching the store instead; see hubTimeout.
	minHubTimeout         = 1200 * time.Millisecond
	hubTimeoutPerInstance = 10 * time.Millisecond
	maxExtraHubTimeout    = 1800 * time.Millisecond
)

// Follower keeps a view up to date from the store or from a hub. A hub is an
// instance that watches the store and shares its changes with other instances.
// The fields must be set before Run.
type Follower struct {
	// Snapshot reads all entries of the store.
	Snapshot func(ctx context.Context) (Batch, error)
	// Watch waits for changes after a revision. It returns ErrCompacted if a
	// snapshot is needed instead.
	Watch func(ctx context.Context, after hitchfleet.Revision) (Batch, error)
	// Probe returns the store's current revision.
	Probe func(ctx context.Context) (revision hitchfleet.Revision, err error)
	// Pull returns the changes that the instance at addr has and v lacks.
	Pull func(ctx context.Context, addr string, v View) (Batch, error)
	// Peers returns the addresses of a few other instances to pull from while
	// the store is unreachable.
	Peers func(View) []string
	// StartPeers returns the addresses of instances from which to read the first view,
	// or none if the store is to be read at once. It may be nil.
	StartPeers func() []string
	// WatchesStore reports whether this instance watches the store, as a hub or in place
	// of one. If it is nil, the instance always does.
	WatchesStore func() bool
	// OnChange is called with each new view. Calls don't overlap.
	OnChange func(View)
	Log      hclog.Logger
	// Now returns the current time. It defaults to time.Now.
	Now func() time.Time

	mu          sync.Mutex // held while the view changes
	view        atomic.Pointer[View]
	changeLog   changeLog // guarded by mu
	storeHealth storeHealth
	// storeLag and hubLag are those of the source that is read at present.
	storeLag lag
	hubLag   lag
	hubs     hubState
	// watchCancel cancels the current watch call.
	watchCancel atomic.Pointer[context.CancelCauseFunc]
}

// View returns the current view.
func (f *Follower) View() View {
	if v := f.view.Load(); v != nil {
		return *v
	}
	return View{}
}

// IsStoreReachable reports whether the store is reachable.
func (f *Follower) IsStoreReachable() bool { return !f.storeHealth.isUnreachable(f.now()) }

// KeepsUpWithStore reports whether the store is reachable and its changes can be read.
func (f *Follower) KeepsUpWithStore() bool {
	return f.IsStoreReachable() && !f.storeLag.lastsFor(f.now(), maxStoreLag)
}

// timeSinceStoreSuccess returns the time since the last successful call to the
// store.
func (f *Follower) timeSinceStoreSuccess() time.Duration {
	return f.now().Sub(f.storeHealth.lastSuccess())
}

// PeerUpdate returns the changes that another instance lacks, given the store
// revision and the table revision of its view.
func (f *Follower) PeerUpdate(revision, tableRevision hitchfleet.Revision) PeerUpdate {
	f.mu.Lock()
	defer f.mu.Unlock()
	v, now := f.View(), f.now()
	out := PeerUpdate{Revision: v.Revision, IsSnapshot: true}
	messages, ok := f.changeLog.messagesAfter(revision)
	if ok && revision > 0 {
		out.IsSnapshot = false
		messages = append(v.tableMessages(tableRevision), messages...)
	} else {
		messages = v.messages(tableRevision)
	}
	for _, msg := range messages {
		out = out.with(now, msg)
	}
	out.KeepLapsedMilliseconds = max(f.storeHealth.keepExpiredUntil(now, f.hubs.storeReachableSince(now)).Sub(now).Milliseconds(), v.NextExpiry().Sub(now).Milliseconds(), 0)
	return out
}

// Run keeps the view up to date until the context is canceled.
func (f *Follower) Run(ctx context.Context) {
	hasView := f.startFromPeers(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { f.applyChanges(ctx, !hasView) })
	wg.Go(func() { f.probeStore(ctx) })
	wg.Wait()
}

// applyChanges applies changes from the store or from a hub until the context is
// canceled. It reads a snapshot first if it needs one.
func (f *Follower) applyChanges(ctx context.Context, needsSnapshot bool) {
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		if !needsSnapshot && f.followsHub() {
			f.storeLag.reset()
			f.followHub(ctx)
			continue
		}
		batch, err := f.readStore(ctx, needsSnapshot)
		switch {
		case ctx.Err() != nil:
			return
		case isSwitchToHub(err):
		case isCompacted(err) && !needsSnapshot:
			f.log().Info("reading a new snapshot", "Revision", f.View().Revision, "Cause", err)
			needsSnapshot = true
		case err != nil:
			f.recordFailure(err)
			sleep(ctx, retryDelay)
			retryDelay = min(2*retryDelay, f.retryDelayLimit())
		default:
			retryDelay = f.applyRead(ctx, batch, retryDelay)
			needsSnapshot = false
		}
	}
}

// applyRead applies a batch that was read from the store, and waits before the next call. It returns the delay
// after the next failure. A snapshot that brings nothing new may have to be repeated like a call that failed.
func (f *Follower) applyRead(ctx context.Context, batch Batch, retryDelay time.Duration) time.Duration {
	f.recordSuccess()
	f.hubLag.reset()
	f.logNewEra(batch)
	batch.KeepExpiredUntil = f.keepExpiredUntil(batch)
	isNew := batch.Revision > f.View().Revision
	f.storeLag.recordRead(f.now(), batch.Revision, isNew)
	f.apply(batch)
	if batch.IsSnapshot && !isNew {
		sleep(ctx, retryDelay)
		return min(2*retryDelay, f.retryDelayLimit())
	}
	sleep(ctx, batchDelay)
	return minRetryDelay
}

// retryDelayLimit returns the longest delay after a failed call.
func (f *Follower) retryDelayLimit() time.Duration {
	if f.View().Table == nil {
		return maxRetryDelayWithoutConfig
	}
	return maxRetryDelay
}

// readStore reads a snapshot or waits for the next changes. The wait ends with
// ErrCompacted if a probe finds that the watch is behind, and with errSwitchToHub
// if a hub becomes available.
func (f *Follower) readStore(ctx context.Context, needsSnapshot bool) (Batch, error) {
	if needsSnapshot {
		return f.Snapshot(ctx)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.watchCancel.Store(&cancel)
	defer f.watchCancel.Store(nil)
	batch, err := f.Watch(ctx, f.View().Revision)
	if cause := context.Cause(ctx); err != nil && cause != nil {
		return batch, cause
	}
	return batch, err
}

// cancelWatch cancels the current watch call.
func (f *Follower) cancelWatch(cause error) {
	if cancel := f.watchCancel.Load(); cancel != nil {
		(*cancel)(cause)
	}
}

// probeStore regularly compares the store's revision with the view's while the
// follower watches the store, and pulls from other instances during an outage.
func (f *Follower) probeStore(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, probeInterval)
		if f.followsHub() || f.storeLag.timeSinceNews(f.now()) < probeInterval/2 {
			continue
		}
		before := f.View().Revision
		revision, err := f.Probe(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			f.recordFailure(err)
			f.pullIfUnreachable(ctx)
		default:
			f.recordSuccess()
			if revision > before {
				f.storeLag.recordSeen(f.now(), revision)
				f.checkWatchLag(ctx, revision)
			}
			f.pullIfBehind(ctx)
		}
	}
}

// checkWatchLag forces a new snapshot if the watch doesn't deliver a revision
// that a probe has seen.
func (f *Follower) checkWatchLag(ctx context.Context, revision hitchfleet.Revision) {
	sleep(ctx, maxWatchLag+batchDelay)
	if f.View().Revision < revision {
		f.log().Info("watch is behind the store", "Revision", f.View().Revision, "Store", revision)
		f.cancelWatch(ErrCompacted)
	}
}

// pullIfUnreachable pulls from other instances if the store has been unreachable for at least
// outageThreshold.
func (f *Follower) pullIfUnreachable(ctx context.Context) {
	if f.timeSinceStoreSuccess() >= outageThreshold {
		f.pullFromPeers(ctx)
	}
}

// pullIfBehind pulls from other instances if the store's changes can't be read, and has a snapshot read in place of
// a watch that brings none.
func (f *Follower) pullIfBehind(ctx context.Context) {
	if f.storeLag.lastsFor(f.now(), maxStoreLag) {
		f.log().Warn("cannot keep up with the store; pulling from other instances", "Revision", f.View().Revision)
		f.cancelWatch(ErrCompacted)
		f.pullFromPeers(ctx)
	}
}

// pullFromPeers pulls from other instances until one of them has newer changes.
func (f *Follower) pullFromPeers(ctx context.Context) {
	if f.Peers == nil {
		return
	}
	for _, addr := range f.Peers(f.View()) {
		before := f.View().Revision
		if f.pullFrom(ctx, addr) && f.View().Revision > before {
			return
		}
	}
}

// pullFrom applies the changes that another instance has and this one lacks. It
// returns false if the pull fails.
func (f *Follower) pullFrom(ctx context.Context, addr string) bool {
	before := f.View().Revision
	batch, err := f.Pull(ctx, addr, f.View())
	if err != nil {
		f.log().Warn("cannot pull changes from instance", "Addr", addr, "Error", err)
		return false
	}
	if batch.Revision > before {
		f.log().Info("changes pulled", "Addr", addr, "From", before, "To", batch.Revision, "Messages", len(batch.Messages), "IsSnapshot", batch.IsSnapshot)
		f.apply(batch)
	}
	return true
}

// recordSuccess records a successful call to the store.
func (f *Follower) recordSuccess() {
	if outage, ended := f.storeHealth.recordSuccess(f.now()); ended {
		f.log().Info("store reachable again", "After", outage, "Revision", f.View().Revision)
	}
}

// recordFailure records a failed call to the store.
func (f *Follower) recordFailure(err error) {
	if f.storeHealth.recordFailure(f.now()) {
		f.log().Warn("store unreachable", "Revision", f.View().Revision, "Error", err)
	}
}

// apply applies a batch to the current view.
func (f *Follower) apply(b Batch) {
	f.updateView(func(v View) View {
		if unseen, ok := v.unseen(b); ok {
			f.changeLog.add(unseen)
		}
		return v.Apply(b)
	})
	if next := f.View().NextExpiry(); !next.IsZero() {
		time.AfterFunc(next.Sub(f.now()), f.expireEntries)
	}
}

// expireEntries removes the entries whose grace period has ended.
func (f *Follower) expireEntries() {
	f.updateView(func(v View) View { return v.Expire(f.now()) })
}

// updateView replaces the view and calls OnChange.
func (f *Follower) updateView(update func(View) View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.View()
	v := update(old)
	f.view.Store(&v)
	if v.TableRevision != old.TableRevision {
		f.log().Info("configuration applied", "Version", v.Table.Version(), "Revision", v.TableRevision, "Routes", v.Table.Len())
	}
	if f.OnChange != nil {
		f.OnChange(v)
	}
}

func (f *Follower) now() time.Time {
	if f.Now != nil {
		return f.Now()
	}
	return time.Now()
}

func (f *Follower) log() hclog.Logger {
	if f.Log != nil {
		return f.Log
	}
	return hclog.NewNullLogger()
}
