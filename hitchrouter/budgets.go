package hitchrouter

import (
	"sync"

	"citronhitch.example/citronhitch/hitchadmit"
	"citronhitch.example/citronhitch/hitchfleet"
)

// retryBudgets holds the retry budget of each route. The zero value is ready to use.
type retryBudgets struct {
	mu      sync.Mutex
	byRoute map[hitchfleet.RouteID]*hitchadmit.RetryBudget
}

// forRoute returns the retry budget of a route, and creates it on first use.
func (b *retryBudgets) forRoute(route hitchfleet.RouteID) *hitchadmit.RetryBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byRoute == nil {
		b.byRoute = make(map[hitchfleet.RouteID]*hitchadmit.RetryBudget)
	}
	budget := b.byRoute[route]
	if budget == nil {
		budget = &hitchadmit.RetryBudget{}
		b.byRoute[route] = budget
	}
	return budget
}
