package hitchview

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Delays and timeouts of a registration.
const (
	// minRegisterDelay and maxRegisterDelay bound the backoff after a failed call.
	minRegisterDelay = 200 * time.Millisecond
	maxRegisterDelay = 2 * time.Second
	// deregisterTimeout bounds each call that removes the entry at shutdown.
	deregisterTimeout = time.Second
)

// Registration keeps an instance's entry in the store. The entry has no lease, so
// that it costs no calls while nothing changes, also during an outage of the store.
// Hubs remove the entry of an instance that falls silent; the instance writes it
// again once it sees that in its view.
type Registration struct {
	Self hitchfleet.Instance
	// View returns the current view.
	View func() View
	// Changed receives a value after each change of the view.
	Changed <-chan struct{}
	// Put writes the entry and returns the store revision of the write.
	Put func(ctx context.Context, self hitchfleet.Instance) (revision hitchfleet.Revision, err error)
	// Remove removes the entry and returns the store revision of the removal.
	Remove func(ctx context.Context, self hitchfleet.InstanceID) (revision hitchfleet.Revision, err error)
	Log    hclog.Logger

	// writtenRevision is the store revision of the last write; an older view can't
	// show it.
	writtenRevision hitchfleet.Revision
	hasLeft         atomic.Bool
}

// Run keeps the entry in the store until leaving is done, and then removes it. Calls
// that fail are repeated until ctx ends.
func (r *Registration) Run(ctx, leaving context.Context) {
	delay := minRegisterDelay
	for leaving.Err() == nil {
		if !r.needsWrite() {
			delay = minRegisterDelay
			r.waitForChange(leaving)
			continue
		}
		revision, err := r.Put(leaving, r.Self)
		if err != nil {
			r.log().Warn("registration failed", "Error", err)
			delay = backOff(leaving, delay)
			continue
		}
		r.writtenRevision = revision
		r.log().Info("registered", "Revision", revision)
	}
	r.deregister(ctx)
}

// HasLeft reports whether the entry was removed, or was never written.
func (r *Registration) HasLeft() bool { return r.hasLeft.Load() }

// backOff waits for about delay, or until ctx ends, and returns the next delay.
func backOff(ctx context.Context, delay time.Duration) time.Duration {
	sleep(ctx, delay/2+rand.N(delay))
	return min(2*delay, maxRegisterDelay)
}

// needsWrite reports whether the view shows that the entry is missing or outdated.
func (r *Registration) needsWrite() bool {
	v := r.View()
	if v.Table == nil || v.Revision < r.writtenRevision {
		return false
	}
	registered, _, ok := v.RegisteredInstance(r.Self.ID)
	return !ok || registered != r.Self
}

func (r *Registration) waitForChange(ctx context.Context) {
	select {
	case <-r.Changed:
	case <-ctx.Done():
	}
}

// deregister removes the entry, if the store may have one. It repeats calls that fail
// until ctx ends: directories name this instance until its entry is gone.
func (r *Registration) deregister(ctx context.Context) {
	if _, _, ok := r.View().RegisteredInstance(r.Self.ID); !ok && r.writtenRevision == 0 {
		r.hasLeft.Store(true)
		return
	}
	delay := minRegisterDelay
	for ctx.Err() == nil {
		removedAt, err := r.remove(ctx)
		if err != nil {
			r.log().Warn("deregistration failed", "Error", err)
			delay = backOff(ctx, delay)
			continue
		}
		r.hasLeft.Store(true)
		r.log().Info("deregistered", "Revision", removedAt)
		if !r.awaitReturn(ctx, removedAt) {
			return
		}
		r.hasLeft.Store(false)
	}
}

// awaitReturn waits until the entry is in the store again: the store came back from an
// older copy, or executed late a write that got no response. It returns false if ctx
// ends first.
func (r *Registration) awaitReturn(ctx context.Context, removedAt hitchfleet.Revision) bool {
	for ctx.Err() == nil {
		_, revision, ok := r.View().RegisteredInstance(r.Self.ID)
		if ok && revision > removedAt {
			return true
		}
		r.waitForChange(ctx)
	}
	return false
}

func (r *Registration) remove(ctx context.Context) (hitchfleet.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, deregisterTimeout)
	defer cancel()
	return r.Remove(ctx, r.Self.ID)
}

// sleep waits for d or until the context is canceled.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (r *Registration) log() hclog.Logger {
	if r.Log != nil {
		return r.Log
	}
	return hclog.NewNullLogger()
}
