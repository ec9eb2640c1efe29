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
func (l *BindingLimiter) SetRouters(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.routerCount = n
}

// Allow reports whether the router may create one more binding, and counts it if so.
func (l *BindingLimiter) Allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	interval := time.Duration(max(l.routerCount, 1)) * time.Second / BindingsPerSecond
	slotAt := later(l.nextSlotAt, now)
	if slotAt.Sub(now) > (bindingBurst-1)*interval {
		return false
	}
	l.nextSlotAt = slotAt.Add(interval)
	return true
}
