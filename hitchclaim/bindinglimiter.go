package hitchclaim

import (
	"sync"
	"time"
)

// BindingLimiter limits the rate of new bindings of one router to its share of
// BindingsPerSecond. It uses the generic cell rate algorithm (ITU-T I.371). The zero
// value is the limiter of a fleet of one router. Its methods are safe for concurrent
// use.
//
//	limiter.SetRouters(len(live))
//	ok := limiter.Allow(now)
type BindingLimiter struct {
	mu          sync.Mutex
	routerCount int
	// nextSlotAt is when the next binding is allowed at an even rate, without the burst.
	nextSlotAt time.Time
}

// SetRouters sets the number of routers that share BindingsPerSecond.
func (b *BindingLimiter) SetRouters(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.routerCount = n
}

// Allow reports whether the router may create one more binding, and counts it if so.
func (b *BindingLimiter) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	interval := time.Duration(max(b.routerCount, 1)) * time.Second / BindingsPerSecond
	slotAt := later(b.nextSlotAt, now)
	if slotAt.Sub(now) > (bindingBurst-1)*interval {
		return false
	}
	b.nextSlotAt = slotAt.Add(interval)
	return true
}
