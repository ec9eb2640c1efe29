package hitchnode

import (
	"context"
	"sync/atomic"
	"time"

	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchpeer"
	"citronhitch.example/citronhitch/hitchstore"
)

// configSource keeps the configuration that is in force here.
type configSource struct {
	node  *Node
	store *hitchstore.Client
	index atomic.Pointer[hitchconfig.Index]
}

// pollEvery is how often the store is asked.
const pollEvery = time.Second

func (s *configSource) run(ctx context.Context) {
	s.poll(ctx)
	s.node.follow(ctx, pollEvery, s.poll)
}

func (s *configSource) poll(ctx context.Context) {
	confirmer := hitchconfig.Confirmer{Store: configStore(s.store), Keys: s.node.Settings.FleetKeys, Now: time.Now}
	head, _, err := confirmer.Head(ctx)
	if err != nil {
		s.node.log().Warn("configuration not read", "Error", err)
		return
	}
	if was := s.index.Load(); was == nil || was.Revision() < head.Configuration.Revision {
		s.index.Store(head.Configuration.Index())
		s.node.change()
	}
}

// current returns what is in force, and whether it is too old to serve by.
func (s *configSource) current(time.Time) (index *hitchconfig.Index, stale bool) {
	index = s.index.Load()
	return index, index == nil
}

func (s *configSource) handle(*hitchpeer.Node) {}

func (s *configSource) learn(hitchpeer.SharedValue) {}
