package hitchview

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchroute"
)

var errStoreDown = errors.New("the store is unavailable")

// fakeStore is a store whose watch can stall and whose calls can fail.
type fakeStore struct {
	revision  atomic.Int64
	isStalled atomic.Bool
	isDown    atomic.Bool
	watches   atomic.Int64
	changed   chan struct{}
	// watchInstead and snapshotInstead take the place of a watch and of a snapshot if they are set.
	watchInstead, snapshotInstead atomic.Pointer[func() (Batch, error)]
}

// current returns the store's revision.
func (s *fakeStore) current() hitchfleet.Revision { return hitchfleet.Revision(s.revision.Load()) }

func (s *fakeStore) table() Msg { return s.tableOf(s.current()) }

func (s *fakeStore) tableOf(revision hitchfleet.Revision) Msg {
	return TableMsg{revision, hitchroute.NewTable(hitchroute.Config{Version: revision.Number()})}
}

func (s *fakeStore) snapshot(context.Context) (Batch, error) {
	if s.isDown.Load() {
		return Batch{}, errStoreDown
	}
	if instead := s.snapshotInstead.Load(); instead != nil {
		return (*instead)()
	}
	return Batch{Revision: s.current(), IsSnapshot: true, Messages: []Msg{s.table()}}, nil
}

func (s *fakeStore) watch(ctx context.Context, after hitchfleet.Revision) (Batch, error) {
	s.watches.Add(1)
	if instead := s.watchInstead.Load(); instead != nil {
		return (*instead)()
	}
	for s.isStalled.Load() || s.current() <= after {
		if s.isDown.Load() {
			return Batch{}, errStoreDown
		}
		select {
		case <-s.changed:
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		}
	}
	return Batch{Revision: s.current(), Messages: []Msg{s.table()}}, nil
}

func (s *fakeStore) probe(context.Context) (hitchfleet.Revision, error) {
	if s.isDown.Load() {
		return 0, errStoreDown
	}
	return s.current(), nil
}

// addRevision increments the revision and wakes the watch.
func (s *fakeStore) addRevision() {
	s.revision.Add(1)
	s.wakeWatch()
}

func (s *fakeStore) wakeWatch() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func newFakeStore() *fakeStore {
	s := &fakeStore{changed: make(chan struct{}, 1)}
	s.revision.Store(10)
	return s
}

func (s *fakeStore) follower() *Follower {
	return &Follower{Snapshot: s.snapshot, Watch: s.watch, Probe: s.probe}
}

// runFollower runs a follower in a synctest bubble while body runs.
func runFollower(t *testing.T, body func(t *testing.T, s *fakeStore, f *Follower)) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		f := s.follower()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		defer func() { cancel(); <-done }()
		time.Sleep(time.Second)
		body(t, s, f)
	})
}

func tableVersion(f *Follower) int64 { return f.View().Table.Version() }

func TestWatchedChangeIsApplied(t *testing.T) {
	runFollower(t, func(t *testing.T, s *fakeStore, f *Follower) {
		s.addRevision()
		time.Sleep(2 * batchDelay)
		qt.Assert(t, tableVersion(f), qt.Equals, int64(11))
	})
}

// TestStalledWatchIsDetected guards against a watch that delivers nothing for
// seconds while there are changes, as happens when the store drops its history.
func TestStalledWatchIsDetected(t *testing.T) {
	runFollower(t, func(t *testing.T, s *fakeStore, f *Follower) {
		s.isStalled.Store(true)
		s.addRevision()
		time.Sleep(probeInterval + maxWatchLag + batchDelay + 50*time.Millisecond)
		qt.Assert(t, tableVersion(f), qt.Equals, int64(11))
	})
}

func TestChangesArePulledFromPeersDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		f := s.follower()
		f.Peers = func(View) []string { return []string{"dead", "alive"} }
		f.Pull = func(_ context.Context, addr string, v View) (Batch, error) {
			if addr == "dead" {
				return Batch{}, errStoreDown
			}
			return Batch{Revision: 12, Messages: []Msg{TableMsg{12, hitchroute.NewTable(hitchroute.Config{Version: 12})}}}, nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		defer func() { cancel(); <-done }()
		time.Sleep(time.Second)
		s.isDown.Store(true)
		s.wakeWatch()
		time.Sleep(outageThreshold + 2*probeInterval)
		qt.Assert(t, f.IsStoreReachable(), qt.IsFalse)
		qt.Assert(t, tableVersion(f), qt.Equals, int64(12))
	})
}

// runHubFollower runs a follower that is no hub until isWatcher is set, with the view of
// revision 11 pulled from a hub.
func runHubFollower(t *testing.T, body func(t *testing.T, s *fakeStore, f *Follower, isWatcher *atomic.Bool)) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		f := s.follower()
		var isWatcher atomic.Bool
		f.WatchesStore = func() bool { return isWatcher.Load() }
		f.Pull = func(context.Context, string, View) (Batch, error) {
			return Batch{Revision: 11, Messages: []Msg{TableMsg{11, hitchroute.NewTable(hitchroute.Config{Version: 11})}}}, nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		defer func() { cancel(); <-done }()
		time.Sleep(time.Second)
		f.RecordHubStatus(HubStatus{Addr: "hub", Revision: 11, IsStoreReachable: true})
		time.Sleep(100 * time.Millisecond)
		qt.Assert(t, tableVersion(f), qt.Equals, int64(11))
		body(t, s, f, &isWatcher)
	})
}

// TestFollowerSwitchesFromHubToStore checks that a follower watches the store when the
// hubs send no more status.
func TestFollowerSwitchesFromHubToStore(t *testing.T) {
	runHubFollower(t, func(t *testing.T, s *fakeStore, f *Follower, _ *atomic.Bool) {
		watches := s.watches.Load()
		s.revision.Store(12)
		time.Sleep(2*hubTimeout(f.View()) + 100*time.Millisecond)
		qt.Assert(t, tableVersion(f), qt.Equals, int64(12))
		qt.Assert(t, s.watches.Load() > watches, qt.IsTrue)
	})
}

// TestWatcherReadsStoreInPlaceOfHub checks that an instance that is to watch the store,
// since it refuses the hubs, does so with the next status, and that the others follow
// the hubs and make no calls.
func TestWatcherReadsStoreInPlaceOfHub(t *testing.T) {
	tests := map[string]struct {
		isWatcher   bool
		wantVersion int64
	}{
		"watcher":  {true, 12},
		"follower": {false, 11},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runHubFollower(t, func(t *testing.T, s *fakeStore, f *Follower, isWatcher *atomic.Bool) {
				watches := s.watches.Load()
				s.revision.Store(12)
				isWatcher.Store(test.isWatcher)
				f.RecordHubStatus(HubStatus{Addr: "hub", Revision: 11})
				time.Sleep(100 * time.Millisecond)
				qt.Assert(t, tableVersion(f), qt.Equals, test.wantVersion)
				qt.Assert(t, s.watches.Load() > watches, qt.Equals, test.isWatcher)
			})
		})
	}
}

// TestHubTimeoutGrowsWithFleet checks that a large fleet leaves the hubs' successors the
// time to take over before all instances turn to the store, and that a small fleet
// isn't without changes for long.
func TestHubTimeoutGrowsWithFleet(t *testing.T) {
	view := func(n int) View {
		v := View{}
		for i := range n {
			v = v.Update(InstanceMsg{1, hitchfleet.Instance{ID: hitchfleet.InstanceID(fmt.Sprint(i))}})
		}
		return v
	}
	qt.Assert(t, hubTimeout(view(8)) < 1300*time.Millisecond, qt.IsTrue)
	qt.Assert(t, hubTimeout(view(195)), qt.Equals, 3*time.Second)
	qt.Assert(t, hubTimeout(view(400)), qt.Equals, 3*time.Second)
}

// TestHubThatCannotReadFollowsOthers guards against a hub that goes on with an old configuration, as it repeats a read
// that can't succeed while its probes do (rule CONFIG). It says that it doesn't keep up, and pulls from others.
func TestHubThatCannotReadFollowsOthers(t *testing.T) {
	const configApplyTime = 2 * time.Second
	type read = func(*fakeStore) (Batch, error)
	fails := func(*fakeStore) (Batch, error) {
		return Batch{}, errors.New("the store's entries exceed the size limit")
	}
	isCompacted := func(*fakeStore) (Batch, error) { return Batch{}, ErrCompacted }
	isOld := func(s *fakeStore) (Batch, error) { return Batch{Revision: 10, Messages: []Msg{s.tableOf(10)}}, nil }
	isOldSnapshot := func(s *fakeStore) (Batch, error) {
		return Batch{Revision: 10, IsSnapshot: true, Messages: []Msg{s.tableOf(10)}}, nil
	}
	tests := map[string]struct{ watch, snapshot read }{
		"watch and snapshot fail":      {fails, fails},
		"only snapshots fail":          {isCompacted, fails},
		"watch brings nothing new":     {isOld, fails},
		"watch and snapshot stay old":  {isCompacted, isOldSnapshot},
		"snapshot is always compacted": {isCompacted, isCompacted},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				f := s.follower()
				f.Peers = func(View) []string { return []string{"peer"} }
				f.Pull = func(context.Context, string, View) (Batch, error) {
					return Batch{Revision: s.current(), Messages: []Msg{s.table()}}, nil
				}
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() { defer close(done); f.Run(ctx) }()
				defer func() { cancel(); <-done }()
				time.Sleep(time.Second)
				qt.Assert(t, f.KeepsUpWithStore(), qt.IsTrue)

				var reads atomic.Int64
				insteadOf := func(r read) *func() (Batch, error) {
					instead := func() (Batch, error) { reads.Add(1); return r(s) }
					return &instead
				}
				s.watchInstead.Store(insteadOf(test.watch))
				s.snapshotInstead.Store(insteadOf(test.snapshot))
				s.addRevision() // ends the watch that is in flight
				time.Sleep(configApplyTime)
				for n := range 5 {
					s.addRevision()
					time.Sleep(configApplyTime)
					qt.Check(t, tableVersion(f), qt.Equals, s.current().Number(), qt.Commentf("change %d", n))
					qt.Check(t, f.KeepsUpWithStore(), qt.IsFalse)
				}
				qt.Check(t, reads.Load() < 100, qt.IsTrue, qt.Commentf("%d reads in 10 s", reads.Load()))
				s.watchInstead.Store(nil)
				s.snapshotInstead.Store(nil)
				time.Sleep(2 * time.Second)
				qt.Check(t, f.KeepsUpWithStore(), qt.IsTrue)
			})
		})
	}
}

// TestHubThatIsBehindIsNotAskedAgain guards against an instance that asks a hub again and again for a revision that this
// one doesn't have (any more), while another hub has it.
func TestHubThatIsBehindIsNotAskedAgain(t *testing.T) {
	runHubFollower(t, func(t *testing.T, _ *fakeStore, f *Follower, _ *atomic.Bool) {
		asked := make(map[string]int)
		f.Pull = func(_ context.Context, addr string, _ View) (Batch, error) {
			asked[addr]++
			if addr == "behind" {
				return Batch{}, nil
			}
			return Batch{Revision: 12, Messages: []Msg{TableMsg{12, hitchroute.NewTable(hitchroute.Config{Version: 12})}}}, nil
		}
		for range 5 {
			for _, addr := range []string{"behind", "hub"} {
				f.RecordHubStatus(HubStatus{Addr: addr, Revision: 12, IsStoreReachable: true})
				time.Sleep(100 * time.Millisecond)
			}
		}
		qt.Check(t, tableVersion(f), qt.Equals, int64(12))
		qt.Check(t, asked, qt.DeepEquals, map[string]int{"behind": 1, "hub": 1})
	})
}

// TestFollowerThatCannotPullReadsStore guards against an instance that goes on with an old configuration, as it repeats pulls
// from hubs that can't succeed (rule CONFIG).
func TestFollowerThatCannotPullReadsStore(t *testing.T) {
	tests := map[string]func() (Batch, error){
		"pulls fail":          func() (Batch, error) { return Batch{}, errors.New("http: request body too large") },
		"pulls bring nothing": func() (Batch, error) { return Batch{}, nil },
		"pulls stay old":      func() (Batch, error) { return Batch{Revision: 11}, nil },
	}
	for name, pull := range tests {
		t.Run(name, func(t *testing.T) {
			runHubFollower(t, func(t *testing.T, s *fakeStore, f *Follower, _ *atomic.Bool) {
				f.Pull = func(context.Context, string, View) (Batch, error) { return pull() }
				watches := s.watches.Load()
				for n := range int64(3) {
					s.revision.Store(12 + n)
					for begun := time.Now(); time.Since(begun) < 3*time.Second; time.Sleep(200 * time.Millisecond) {
						f.RecordHubStatus(HubStatus{Addr: "hub", Revision: s.current(), IsStoreReachable: true})
					}
					qt.Check(t, tableVersion(f), qt.Equals, 12+n)
				}
				qt.Check(t, s.watches.Load()-watches <= 6, qt.IsTrue, qt.Commentf("%d watches", s.watches.Load()-watches))
			})
		})
	}
}
