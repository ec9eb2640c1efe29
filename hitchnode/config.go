package hitchnode

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchpeer"
	"citronhitch.example/citronhitch/hitchstore"
)

// The kinds of requests between routers about configurations.
const (
	kindConfig   hitchpeer.Kind = "Config"
	kindRevision hitchpeer.Kind = "Revision"
)

// Intervals and limits of the distribution of configurations.
const (
	liveCheckInterval = 250 * time.Millisecond
	announceInterval  = time.Second
	storePollInterval = time.Second
	// headReadInterval is how often the whole head is read although the revision bound
	// is unchanged: a store that lost writes may hold another head of the same revision.
	headReadInterval = 20 * time.Second
	storeTimeout     = 3 * time.Second
	sendTimeout      = 2 * time.Second
	revisionTimeout  = time.Second
	// announcePeers is how many peers get each periodic announcement, and
	// newRevisionPeers is how many are sent a new revision at once.
	announcePeers    = 2
	newRevisionPeers = 3
)

// configSource keeps the current configuration of this router. The decisions are made
// by a hitchconfig.Tracker; this type passes it the messages of the store and of
// peers, and executes its actions.
type configSource struct {
	node  *Node
	store *hitchstore.Client

	// mu serializes the updates of the tracker. Readers load the tracker without it.
	mu      sync.Mutex
	tracker atomic.Pointer[hitchconfig.Tracker]
	// nextHeadRead is when pollStore reads the head next, even if the revision bound is
	// unchanged.
	nextHeadRead time.Time
}

func (s *configSource) run(ctx context.Context) {
	s.mu.Lock()
	s.tracker.Store(&hitchconfig.Tracker{Self: s.node.self.ID, Keys: s.node.Settings.FleetKeys})
	s.mu.Unlock()
	s.readHead(ctx)
	var group sync.WaitGroup
	group.Go(func() { s.node.runPeriodically(ctx, liveCheckInterval, s.updateLivePeers) })
	group.Go(func() { s.node.runPeriodically(ctx, announceInterval, s.announce) })
	group.Go(func() { s.node.runPeriodically(ctx, storePollInterval, s.pollStore) })
	group.Go(func() { s.watch(ctx) })
	group.Wait()
}

// update passes a message to the tracker and executes the resulting actions.
func (s *configSource) update(m hitchconfig.Message) {
	s.mu.Lock()
	before := s.current()
	next, actions := before.Update(m, time.Now())
	s.tracker.Store(&next)
	s.mu.Unlock()
	if next.Revision() != before.Revision() || next.State() != before.State() {
		s.node.log().Info("configuration changed", "Revision", next.Revision(), "Standing", next.State().String())
		s.node.requestViewRefresh()
	}
	if err := next.Err(); err != nil && before.Err() == nil {
		s.node.log().Error("store has a different configuration with the same revision", "Revision", next.Revision(), "Error", err)
	}
	for _, action := range actions {
		s.execute(action)
	}
}

// execute carries out an action of the tracker.
func (s *configSource) execute(a hitchconfig.Action) {
	switch a.Kind {
	case hitchconfig.AnnounceNow:
		for _, peer := range s.randomPeers(newRevisionPeers) {
			if len(a.Delta.Intents) > 0 {
				s.send(peer, hitchconfig.Message{Kind: hitchconfig.PeerSentDelta, Delta: a.Delta})
			}
			s.send(peer, hitchconfig.Message{Kind: hitchconfig.PeerAnnounced, Announcement: a.Announcement})
		}
	case hitchconfig.Announce:
		s.send(a.To, hitchconfig.Message{Kind: hitchconfig.PeerAnnounced, Announcement: a.Announcement})
	case hitchconfig.RequestUpdate:
		s.send(a.To, hitchconfig.Message{Kind: hitchconfig.PeerRequested, Revision: a.Revision, SnapshotOnly: a.SnapshotOnly})
	case hitchconfig.SendSnapshot:
		s.send(a.To, hitchconfig.Message{Kind: hitchconfig.PeerSentSnapshot, Snapshot: a.Snapshot})
	case hitchconfig.SendDelta:
		s.send(a.To, hitchconfig.Message{Kind: hitchconfig.PeerSentDelta, Delta: a.Delta})
	}
}

// send sends a message to a peer without waiting for the result.
func (s *configSource) send(to hitchfleet.InstanceID, m hitchconfig.Message) {
	body, err := hitchconfig.EncodeMessage(m)
	if err != nil {
		s.node.log().Error("failed to encode configuration message", "Error", err)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		defer cancel()
		if _, err := s.node.peers.Call(ctx, to, kindConfig, body); err != nil {
			s.node.log().Debug("failed to send configuration message", "To", string(to), "Error", err)
		}
	}()
}

// randomPeers returns up to n other live routers, chosen at random.
func (s *configSource) randomPeers(n int) []hitchfleet.InstanceID {
	others := lo.Filter(s.node.peers.LiveRouters(), func(i hitchfleet.Instance, _ int) bool { return i.ID != s.node.self.ID })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return lo.Map(others[:min(n, len(others))], func(i hitchfleet.Instance, _ int) hitchfleet.InstanceID { return i.ID })
}

func (s *configSource) updateLivePeers(context.Context) {
	s.update(hitchconfig.Message{Kind: hitchconfig.PeersChanged, LivePeers: len(s.node.peers.LiveRouters()) - 1})
}

func (s *configSource) announce(context.Context) {
	announcement := s.current().Announcement()
	for _, peer := range s.randomPeers(announcePeers) {
		s.send(peer, hitchconfig.Message{Kind: hitchconfig.PeerAnnounced, Announcement: announcement})
	}
}

// pollStore reads the store if this router is a watcher, or if it isn't serving: then
// the store may be its only source for the current configuration. It reads the
// revision bound first, which is far smaller than the head.
func (s *configSource) pollStore(ctx context.Context) {
	if !s.isWatcher() && s.current().State() == hitchconfig.Serving {
		return
	}
	now := time.Now()
	if now.Before(s.nextHeadRead) && s.readRevisionBound(ctx) {
		return
	}
	s.nextHeadRead = now.Add(headReadInterval)
	s.readHead(ctx)
}

// readRevisionBound reports to the tracker that the store's head is unchanged, if the
// revision bound shows that. It returns false if the head must be read to find out.
func (s *configSource) readRevisionBound(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, asOf := s.current().Revision(), time.Now()
	if revision == 0 {
		return false
	}
	ok, err := s.node.confirmer().IsUnchanged(ctx, revision)
	if err != nil || !ok {
		return false
	}
	s.update(hitchconfig.Message{Kind: hitchconfig.StoreUnchanged, Revision: revision, AsOf: asOf})
	return true
}

func (s *configSource) isWatcher() bool {
	return hitchconfig.IsWatcher(s.node.self.ID, s.node.peers.LiveRouters())
}

// readHead reads the store's head and passes it to the tracker.
func (s *configSource) readHead(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	asOf := time.Now()
	head, _, err := s.node.confirmer().ReadHead(ctx)
	if err != nil {
		s.node.log().Debug("failed to read configuration from store", "Error", err)
		return
	}
	s.applyHead(head, asOf)
}

// applyHead passes a head of the store to the tracker. A zero asOf means that the head
// doesn't prove which configuration is current.
func (s *configSource) applyHead(head hitchconfig.Head, asOf time.Time) {
	snapshot, err := head.Snapshot()
	if err != nil {
		s.node.log().Error("failed to convert configuration head to a snapshot", "Error", err)
		return
	}
	s.update(hitchconfig.Message{Kind: hitchconfig.StoreRead, Snapshot: snapshot, Accepts: head.Accepts, AsOf: asOf})
}

// applyAccepted applies the head that a confirmation has written.
func (s *configSource) applyAccepted(head hitchconfig.Head) { s.applyHead(head, time.Time{}) }

// watch watches the store's head while this router is one of the watchers.
func (s *configSource) watch(ctx context.Context) {
	s.node.runPeriodically(ctx, storePollInterval, func(ctx context.Context) {
		if !s.isWatcher() {
			return
		}
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		go s.node.runPeriodically(ctx, storePollInterval, func(context.Context) {
			if !s.isWatcher() {
				cancel()
			}
		})
		err := s.store.Watch(ctx, hitchstore.Key(hitchconfig.HeadKey), 0, s.handleHeadChange)
		s.node.log().Debug("configuration watch ended", "Error", err)
	})
}

// handleHeadChange applies a change of the store's head.
func (s *configSource) handleHeadChange(entry hitchstore.Entry) error {
	if !entry.Exists {
		return nil
	}
	head, err := hitchconfig.DecodeHead(entry.Value, s.node.Settings.FleetKeys)
	if err != nil {
		s.node.log().Error("failed to decode configuration head", "Error", err)
		return nil
	}
	s.applyHead(head, time.Time{})
	return nil
}

func (s *configSource) current() hitchconfig.Tracker {
	if t := s.tracker.Load(); t != nil {
		return *t
	}
	return hitchconfig.Tracker{}
}

// activeIndex returns the index of the current configuration, and whether it is too
// old to serve requests with.
func (s *configSource) activeIndex(now time.Time) (index *hitchconfig.Index, stale bool) {
	t := s.current()
	return t.Index(), t.Revision() == 0 || t.Refusal(now) != nil
}

// registerHandlers registers the handlers for requests of other routers.
func (s *configSource) registerHandlers(peers *hitchpeer.Node) {
	peers.Handle(kindConfig, s.handleMessage)
	peers.Handle(kindRevision, s.handleRevision)
}

// handleMessage passes a peer's configuration message to the tracker.
func (s *configSource) handleMessage(_ context.Context, from hitchfleet.Instance, body []byte) (_ []byte, err error) {
	m, err := hitchconfig.DecodeMessage(body, from.ID)
	if err != nil {
		return nil, err
	}
	s.update(m)
	return nil, nil
}

// handleRevision returns an announcement of the current revision of this router.
func (s *configSource) handleRevision(context.Context, hitchfleet.Instance, []byte) ([]byte, error) {
	return hitchconfig.EncodeMessage(hitchconfig.Message{Kind: hitchconfig.PeerAnnounced, Announcement: s.current().Announcement()})
}

// fetchRevisions requests the current revision from all live routers.
func (s *configSource) fetchRevisions(ctx context.Context) hitchconfig.Rollout {
	ctx, cancel := context.WithTimeout(ctx, revisionTimeout)
	defer cancel()
	var mu sync.Mutex
	var rollout hitchconfig.Rollout
	var group sync.WaitGroup
	for _, i := range s.node.peers.LiveRouters() {
		group.Go(func() {
			a, err := s.fetchRevision(ctx, i.ID)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			rollout = rollout.WithReport(hitchconfig.Report{Instance: i.ID, Revision: a.Revision, Ready: a.Ready, At: time.Now()})
		})
	}
	group.Wait()
	return rollout
}

func (s *configSource) fetchRevision(ctx context.Context, id hitchfleet.InstanceID) (a hitchconfig.Announcement, err error) {
	if id == s.node.self.ID {
		return s.current().Announcement(), nil
	}
	body, err := s.node.peers.Call(ctx, id, kindRevision, nil)
	if err != nil {
		return a, err
	}
	m, err := hitchconfig.DecodeMessage(body, id)
	return m.Announcement, err
}
