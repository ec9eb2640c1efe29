package hitchclaim

import (
	"sync"
	"time"
)

// BindingBudget holds one router's share of the fleet's bindings, by the generic
// cell rate algorithm (ITU-T I.371). The zero value is the budget of a fleet of
// one router. Its methods are safe for several goroutines.
//
//	budget.SetRouters(len(live))
//	ok := budget.Take(now)
type BindingBudget struct {
	mu      sync.Mutex
	routers int
	// nextAt is the time at which the next binding is due at an even rate.
	nextAt time.Time
}

// SetRouters sets the number of routers that share BindingsPerSecond.
func (b *BindingBudget) SetRouters(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.routers = n
}

// Take tells whether the router may make one more binding, and counts it.
func (b *BindingBudget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	spacing := time.Duration(max(b.routers, 1)) * time.Second / BindingsPerSecond
	due := later(b.nextAt, now)
	if due.Sub(now) > (bindingBurst-1)*spacing {
		return false
	}
	b.nextAt = due.Add(spacing)
	return true
}
