package hitchedge

import (
	"context"
	"sync"
	"time"
)

// Times of a pause of the process, and of what follows.
const (
	// currencyInterval is how often the instance records that it runs.
	currencyInterval = 100 * time.Millisecond
	// maxPause is the longest pause after which the view counts as before. It is about as
	// long as changes may take to arrive anyway.
	maxPause = time.Second
	// settleTime is how long the view isn't trusted after a pause: the statuses of hubs
	// that are read first were sent during it.
	settleTime = 1500 * time.Millisecond
	// maxMissedTime is how long an instance may be out of touch before it considers that
	// it has missed versions that came and went.
	maxMissedTime = 3 * time.Second
)

// currency tracks whether the process runs and follows the changes of the fleet. The zero
// value has recorded nothing. Its methods are safe for concurrent use.
type currency struct {
	mu         sync.Mutex
	recordedAt time.Time
	settledAt  time.Time
	// followedAt is when the process last followed the changes.
	followedAt time.Time
}

// elapsed returns the time between two readings of the clock: by the monotonic clock, or
// by the time of day if that is more, as the monotonic clock may stop while a machine
// does. A time of day that is set forward counts as a pause.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// record records that the process runs, and whether it follows the changes. It reports
// whether it follows them again after more than maxMissedTime.
func (c *currency) record(now time.Time, isFollowing bool) (hasGap bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.recordedAt.IsZero() && elapsed(c.recordedAt, now) > maxPause {
		c.settledAt = now.Add(settleTime)
	}
	c.recordedAt = now
	if !isFollowing || now.Before(c.settledAt) {
		return false
	}
	hasGap = !c.followedAt.IsZero() && elapsed(c.followedAt, now) > maxMissedTime
	c.followedAt = now
	return hasGap
}

// isSettled reports whether the process has run without a pause for settleTime. It
// notices a pause before record does.
func (c *currency) isSettled(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.recordedAt.IsZero() || elapsed(c.recordedAt, now) <= maxPause && !now.Before(c.settledAt)
}

// isViewCurrent reports whether the view shows the fleet as it is, but for the usual
// delay.
func (e *Edge) isViewCurrent() bool {
	return e.currency.isSettled(time.Now()) && e.follower.IsCurrent()
}

// trackCurrency records that the instance runs until ctx ends.
func (e *Edge) trackCurrency(ctx context.Context) {
	ticker := time.NewTicker(currencyInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if now := time.Now(); e.currency.record(now, e.follower.IsCurrent()) {
			e.Log.Info("in touch again", "View", e.gateway.View().Revision)
			e.gateway.RecordGap(now)
			e.origins.expectUnknownStreams()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}
