package hitchrouter

import (
	"sync"

	"citronhitch.example/citronhitch/hitchadmit"
	"citronhitch.example/citronhitch/hitchfleet"
)

// budgets holds the retry budget of each route. The zero value is ready.
type budgets struct {
	mu      sync.Mutex
	byRoute map[hitchfleet.RouteID]*hitchadmit.Budget
}

func (b *budgets) of(route hitchfleet.RouteID) *hitchadmit.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byRoute == nil {
		b.byRoute = make(map[hitchfleet.RouteID]*hitchadmit.Budget)
	}
	budget := b.byRoute[route]
	if budget == nil {
		budget = &hitchadmit.Budget{}
		b.byRoute[route] = budget
	}
	return budget
}
