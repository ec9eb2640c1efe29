package hitchview

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchroute"
)

// TestStartFromPeers checks from where an instance gets its first view, and when, as the
// whole fleet starts or a single instance does.
func TestStartFromPeers(t *testing.T) {
	peerView := Batch{Revision: 11, IsSnapshot: true, Messages: []Msg{TableMsg{11, hitchroute.NewTable(hitchroute.Config{Version: 11})}}}
	tests := map[string]struct {
		peers       []string
		pull        func(elapsed time.Duration) (Batch, error)
		within      time.Duration
		wantVersion int64 // 11 of the peer, 10 of the store
	}{
		"an instance has a view": {
			[]string{"seed"}, func(time.Duration) (Batch, error) { return peerView, nil }, 10 * time.Millisecond, 11,
		},
		"an instance that starts too gets its view later": {
			[]string{"seed"}, func(elapsed time.Duration) (Batch, error) {
				if elapsed < 2*time.Second {
					return Batch{}, ErrNoView
				}
				return peerView, nil
			}, 2*time.Second + 2*startRetryInterval, 11,
		},
		"no instance responds": {
			[]string{"seed"}, func(time.Duration) (Batch, error) { return Batch{}, errStoreDown }, minStartPatience + startPatienceSpread + 2*startRetryInterval, 10,
		},
		"instances respond but never get a view": {
			[]string{"seed"}, func(time.Duration) (Batch, error) { return Batch{}, ErrNoView }, maxStartPatience + 2*startRetryInterval, 10,
		},
		"the instance is a seed itself": {nil, nil, 10 * time.Millisecond, 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				f := s.follower()
				startedAt := time.Now()
				f.StartPeers = func() []string { return test.peers }
				f.Pull = func(context.Context, string, View) (Batch, error) { return test.pull(time.Since(startedAt)) }
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() { defer close(done); f.Run(ctx) }()
				defer func() { cancel(); <-done }()
				time.Sleep(test.within)
				synctest.Wait()
				qt.Assert(t, f.View().Table, qt.Not(qt.IsNil))
				qt.Assert(t, tableVersion(f), qt.Equals, test.wantVersion)
			})
		})
	}
}

// TestStartedInstanceWaitsForHub checks that an instance with another one's view makes
// no call to the store while it waits for the first status of a hub.
func TestStartedInstanceWaitsForHub(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		f := s.follower()
		var probes atomic.Int64
		f.Probe = func(ctx context.Context) (hitchfleet.Revision, error) { probes.Add(1); return s.probe(ctx) }
		f.WatchesStore = func() bool { return false }
		f.StartPeers = func() []string { return []string{"seed"} }
		f.Pull = func(context.Context, string, View) (Batch, error) {
			return Batch{Revision: 10, IsSnapshot: true, Messages: []Msg{s.table()}}, nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		defer func() { cancel(); <-done }()
		time.Sleep(minHubTimeout - 50*time.Millisecond)
		qt.Assert(t, s.watches.Load()+probes.Load(), qt.Equals, int64(0))
		qt.Assert(t, f.IsCurrent(), qt.IsTrue)
		time.Sleep(2 * minHubTimeout)
		qt.Assert(t, s.watches.Load()+probes.Load() > 0, qt.IsTrue)
	})
}

// TestEntryInGraceIsSentWithItsExpiry covers an instance that starts from the view of
// another one just after an outage of the store: an endpoint whose entry has expired
// must not stay in its view for good.
func TestEntryInGraceIsSentWithItsExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		view := View{}.Apply(Batch{Revision: 5, Messages: []Msg{
			TableMsg{1, hitchroute.NewTable(hitchroute.Config{Version: 1})},
			EndpointMsg{4, hitchfleet.Endpoint{ID: "expired"}}, EndpointMsg{5, hitchfleet.Endpoint{ID: "alive"}},
		}})
		view = view.Apply(Batch{Revision: 6, KeepExpiredUntil: now.Add(2 * time.Second), Messages: []Msg{EndpointRemovedMsg{6, "expired"}}})
		sender := &Follower{}
		sender.view.Store(&view)
		receiver := &Follower{}
		receiver.apply(sender.PeerUpdate(0, 0).Batch(now))
		qt.Assert(t, receiver.View().Endpoints(), qt.HasLen, 2)
		time.Sleep(2*time.Second + time.Millisecond)
		synctest.Wait()
		qt.Assert(t, receiver.View().Endpoints(), qt.DeepEquals, []hitchfleet.Endpoint{{ID: "alive"}})
	})
}
