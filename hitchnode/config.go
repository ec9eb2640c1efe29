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

// Periods of the spread of configurations.
const (
	configTick    = 250 * time.Millisecond
	announceEvery = time.Second
	storeEvery    = time.Second
	// headEvery is how often the whole head is read although the beacon stands still:
	// a store that lost writes may hold another head of the same revision.
	headEvery  = 20 * time.Second
	storeLimit = 3 * time.Second
	tellLimit  = 2 * time.Second
	askLimit   = time.Second
	// roundPeers is how many peers hear an announcement in each round, and
	// newsPeers how many hear of a new revision at once.
	roundPeers = 2
	newsPeers  = 3
)

// configSource keeps the configuration that is in force here. The decisions are
// those of a hitchconfig.Tracker; this type brings it the store's and the peers'
// words.
type configSource struct {
	node  *Node
	store *hitchstore.Client

	// mu orders the updates of the tracker. Readers load it without the lock.
	mu      sync.Mutex
	tracker atomic.Pointer[hitchconfig.Tracker]
	// nextHead is when askStore reads the head whatever the beacon says.
	nextHead time.Time
}

func (s *configSource) run(ctx context.Context) {
	s.mu.Lock()
	s.tracker.Store(&hitchconfig.Tracker{Self: s.node.self.ID, Keys: s.node.Settings.FleetKeys})
	s.mu.Unlock()
	s.readStore(ctx)
	var group sync.WaitGroup
	group.Go(func() { s.node.follow(ctx, configTick, s.tick) })
	group.Go(func() { s.node.follow(ctx, announceEvery, s.announce) })
	group.Go(func() { s.node.follow(ctx, storeEvery, s.askStore) })
	group.Go(func() { s.watch(ctx) })
	group.Wait()
}

// update tells the tracker a message and carries out what follows.
func (s *configSource) update(m hitchconfig.Message) {
	s.mu.Lock()
	before := s.current()
	next, actions := before.Update(m, time.Now())
	s.tracker.Store(&next)
	s.mu.Unlock()
	if next.Revision() != before.Revision() || next.State() != before.State() {
		s.node.log().Info("configuration", "Revision", next.Revision(), "Standing", next.State().String())
		s.node.change()
	}
	if err := next.Err(); err != nil && before.Err() == nil {
		s.node.log().Error("configuration forked", "Revision", next.Revision(), "Error", err)
	}
	for _, action := range actions {
		s.act(action)
	}
}

// act carries out what the tracker asks for.
func (s *configSource) act(a hitchconfig.Action) {
	switch a.Kind {
	case hitchconfig.AnnounceNow:
		for _, peer := range s.somePeers(newsPeers) {
			if len(a.Delta.Intents) > 0 {
				s.tell(peer, hitchconfig.Message{Kind: hitchconfig.PeerSentDelta, Delta: a.Delta})
			}
			s.tell(peer, hitchconfig.Message{Kind: hitchconfig.PeerAnnounced, Announcement: a.Announcement})
		}
	case hitchconfig.Announce:
		s.tell(a.To, hitchconfig.Message{Kind: hitchconfig.PeerAnnounced, Announcement: a.Announcement})
	case hitchconfig.RequestUpdate:
		s.tell(a.To, hitchconfig.Message{Kind: hitchconfig.PeerRequested, Revision: a.Revision, SnapshotOnly: a.SnapshotOnly})
	case hitchconfig.SendSnapshot:
		s.tell(a.To, hitchconfig.Message{Kind: hitchconfig.PeerSentSnapshot, Snapshot: a.Snapshot})
	case hitchconfig.SendDelta:
		s.tell(a.To, hitchconfig.Message{Kind: hitchconfig.PeerSentDelta, Delta: a.Delta})
	}
}

// tell sends a message to a peer without waiting.
func (s *configSource) tell(to hitchfleet.InstanceID, m hitchconfig.Message) {
	body, err := hitchconfig.EncodeMessage(m)
	if err != nil {
		s.node.log().Error("configuration message not encoded", "Error", err)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), tellLimit)
		defer cancel()
		if _, err := s.node.peers.Call(ctx, to, kindConfig, body); err != nil {
			s.node.log().Debug("configuration message not sent", "To", string(to), "Error", err)
		}
	}()
}

// somePeers returns a few other live routers at random.
func (s *configSource) somePeers(n int) []hitchfleet.InstanceID {
	others := lo.Filter(s.node.peers.LiveRouters(), func(i hitchfleet.Instance, _ int) bool { return i.ID != s.node.self.ID })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return lo.Map(others[:min(n, len(others))], func(i hitchfleet.Instance, _ int) hitchfleet.InstanceID { return i.ID })
}

func (s *configSource) tick(context.Context) {
	s.update(hitchconfig.Message{Kind: hitchconfig.PeersChanged, LivePeers: len(s.node.peers.LiveRouters()) - 1})
}

func (s *configSource) announce(context.Context) {
	announcement := s.current().Announcement()
	for _, peer := range s.somePeers(roundPeers) {
		s.tell(peer, hitchconfig.Message{Kind: hitchconfig.PeerAnnounced, Announcement: announcement})
	}
}

// askStore asks the store if this router holds a watch, or if it isn't serving:
// then the store may be the only one to tell it what is current. The beacon comes
// first, as it is far smaller than the head.
func (s *configSource) askStore(ctx context.Context) {
	if !s.isWatcher() && s.current().State() == hitchconfig.Serving {
		return
	}
	now := time.Now()
	if now.Before(s.nextHead) && s.readBeacon(ctx) {
		return
	}
	s.nextHead = now.Add(headEvery)
	s.readStore(ctx)
}

// readBeacon tells the tracker that the store's head hasn't moved. It returns
// false if the head must be read to know.
func (s *configSource) readBeacon(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeLimit)
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

// readStore brings the store's head to the tracker.
func (s *configSource) readStore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeLimit)
	defer cancel()
	asOf := time.Now()
	head, _, err := s.node.confirmer().ReadHead(ctx)
	if err != nil {
		s.node.log().Debug("configuration not read", "Error", err)
		return
	}
	s.take(head, asOf)
}

// take tells the tracker of a head of the store. The zero asOf is no word of what
// is current.
func (s *configSource) take(head hitchconfig.Head, asOf time.Time) {
	snapshot, err := head.Snapshot()
	if err != nil {
		s.node.log().Error("configuration not offered", "Error", err)
		return
	}
	s.update(hitchconfig.Message{Kind: hitchconfig.StoreRead, Snapshot: snapshot, Accepts: head.Accepts, AsOf: asOf})
}

// accepted takes the head that a confirmation has written.
func (s *configSource) accepted(head hitchconfig.Head) { s.take(head, time.Time{}) }

// watch follows the store's head while this router is one of the few that do.
func (s *configSource) watch(ctx context.Context) {
	s.node.follow(ctx, storeEvery, func(ctx context.Context) {
		if !s.isWatcher() {
			return
		}
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		go s.node.follow(ctx, storeEvery, func(context.Context) {
			if !s.isWatcher() {
				cancel()
			}
		})
		err := s.store.Watch(ctx, hitchstore.Key(hitchconfig.HeadKey), 0, s.watched)
		s.node.log().Debug("watch ended", "Error", err)
	})
}

// watched takes one change of the store's head.
func (s *configSource) watched(entry hitchstore.Entry) error {
	if !entry.Exists {
		return nil
	}
	head, err := hitchconfig.DecodeHead(entry.Value, s.node.Settings.FleetKeys)
	if err != nil {
		s.node.log().Error("configuration refused", "Error", err)
		return nil
	}
	s.take(head, time.Time{})
	return nil
}

// current returns the tracker.
func (s *configSource) current() hitchconfig.Tracker {
	if t := s.tracker.Load(); t != nil {
		return *t
	}
	return hitchconfig.Tracker{}
}

// inForce returns the look-ups in force, and whether they are too old to serve by.
func (s *configSource) inForce(now time.Time) (index *hitchconfig.Index, stale bool) {
	t := s.current()
	return t.Index(), t.Revision() == 0 || t.Refusal(now) != nil
}

// handle answers other routers.
func (s *configSource) handle(peers *hitchpeer.Node) {
	peers.Handle(kindConfig, s.handleMessage)
	peers.Handle(kindRevision, s.handleRevision)
}

// handleMessage takes a peer's message about configurations.
func (s *configSource) handleMessage(_ context.Context, from hitchfleet.Instance, body []byte) (_ []byte, err error) {
	m, err := hitchconfig.DecodeMessage(body, from.ID)
	if err != nil {
		return nil, err
	}
	s.update(m)
	return nil, nil
}

// handleRevision tells which revision is in force here.
func (s *configSource) handleRevision(context.Context, hitchfleet.Instance, []byte) ([]byte, error) {
	return hitchconfig.EncodeMessage(hitchconfig.Message{Kind: hitchconfig.PeerAnnounced, Announcement: s.current().Announcement()})
}

// revisions asks all live routers which revision they have in force.
func (s *configSource) revisions(ctx context.Context) hitchconfig.Rollout {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	var mu sync.Mutex
	var rollout hitchconfig.Rollout
	var group sync.WaitGroup
	for _, i := range s.node.peers.LiveRouters() {
		group.Go(func() {
			a, err := s.revisionOf(ctx, i.ID)
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

func (s *configSource) revisionOf(ctx context.Context, id hitchfleet.InstanceID) (a hitchconfig.Announcement, err error) {
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
