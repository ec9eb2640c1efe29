package hitchview

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

// ErrNoView means that another instance has no current view yet.
var ErrNoView = errors.New("hitchview: instance has no current view")

// Times of a start.
const (
	// startRetryInterval is the pause before the same instances are asked again.
	startRetryInterval = 50 * time.Millisecond
	// minStartPatience is how long an instance that starts asks others that don't
	// respond, plus a random part of startPatienceSpread, so that a fleet whose seeds are
	// down doesn't turn to the store at once.
	minStartPatience    = 200 * time.Millisecond
	startPatienceSpread = 300 * time.Millisecond
	// maxStartPatience is how long it asks others that respond but have no view
	// themselves.
	maxStartPatience = 3 * time.Second
)

// startFromPeers reads the first view from another instance, so that a start of the
// whole fleet doesn't make every instance read everything from the store. It returns
// false if no instance has a view in time.
func (f *Follower) startFromPeers(ctx context.Context) bool {
	if f.StartPeers == nil {
		return false
	}
	startedAt := f.now()
	patience := minStartPatience + rand.N(startPatienceSpread)
	for addrs := f.StartPeers(); len(addrs) > 0 && f.now().Sub(startedAt) < patience && ctx.Err() == nil; {
		for _, addr := range addrs {
			batch, err := f.Pull(ctx, addr, f.View())
			if errors.Is(err, ErrNoView) {
				patience = maxStartPatience
			}
			if err != nil || batch.Revision == 0 {
				continue
			}
			f.log().Info("started with the view of another instance", "Addr", addr, "Revision", batch.Revision, "Messages", len(batch.Messages))
			f.hubs.expectStatus(f.now())
			f.apply(batch)
			return true
		}
		sleep(ctx, startRetryInterval)
	}
	return false
}
