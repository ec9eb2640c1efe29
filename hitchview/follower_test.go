package hitchview

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

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
}

func (s *fakeStore) table() Msg {
	revision := s.revision.Load()
	return TableMsg{revision, hitchroute.NewTable(hitchroute.Config{Version: revision})}
}

func (s *fakeStore) snapshot(context.Context) (Batch, error) {
	if s.isDown.Load() {
		return Batch{}, errStoreDown
	}
	return Batch{Revision: s.revision.Load(), IsSnapshot: true, Messages: []Msg{s.table()}}, nil
}

func (s *fakeStore) watch(ctx context.Context, after int64) (Batch, error) {
	s.watches.Add(1)
	for s.isStalled.Load() || s.revision.Load() <= after {
		if s.isDown.Load() {
			return Batch{}, errStoreDown
		}
		select {
		case <-s.changed:
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		}
	}
	return Batch{Revision: s.revision.Load(), Messages: []Msg{s.table()}}, nil
}

func (s *fakeStore) probe(context.Context) (int64, error) {
	if s.isDown.Load() {
		return 0, errStoreDown
	}
	return s.revision.Load(), nil
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

// TestFollowerSwitchesFromHubToStore checks that a follower of a hub watches the
// store immediately when the hub can't reach it, and after hubTimeout when the
// hub sends no more status.
func TestFollowerSwitchesFromHubToStore(t *testing.T) {
	tests := map[string]struct {
		lastStatus HubStatus
		wait       time.Duration
	}{
		"hub cannot reach the store": {HubStatus{Addr: "hub", Revision: 11}, 100 * time.Millisecond},
		"hub sends no status":        {HubStatus{Addr: "hub", Revision: 11, IsStoreReachable: true}, 2*hubTimeout + 100*time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				f := s.follower()
				f.IsHub = func(View) bool { return false }
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
				watches := s.watches.Load()
				f.RecordHubStatus(test.lastStatus)
				s.revision.Store(12)
				time.Sleep(test.wait)
				qt.Assert(t, tableVersion(f), qt.Equals, int64(12))
				qt.Assert(t, s.watches.Load() > watches, qt.IsTrue)
			})
		})
	}
}

func TestRegistrationIsRenewedAndRevoked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var granted, renewed, revoked atomic.Int64
		var leaseExpired atomic.Bool
		r := &Registration{
			Grant: func(context.Context, time.Duration) (int64, error) { return granted.Add(1), nil },
			Renew: func(context.Context, int64) error {
				renewed.Add(1)
				if leaseExpired.CompareAndSwap(true, false) {
					return ErrLeaseExpired
				}
				return nil
			},
			Revoke: func(_ context.Context, lease int64) error { revoked.Store(lease); return nil },
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); r.Run(ctx) }()
		time.Sleep(LeaseTTL)
		synctest.Wait()
		qt.Assert(t, granted.Load(), qt.Equals, int64(1))
		qt.Assert(t, renewed.Load(), qt.Equals, int64(3))
		leaseExpired.Store(true)
		time.Sleep(LeaseTTL)
		synctest.Wait()
		qt.Assert(t, granted.Load(), qt.Equals, int64(2))
		cancel()
		<-done
		qt.Assert(t, revoked.Load(), qt.Equals, int64(2))
	})
}
