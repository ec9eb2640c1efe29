package hitchnode

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchorder"
	"citronhitch.example/citronhitch/hitchstore"
)

// Periods of orders to engines.
const (
	orderTick = time.Second
	// orderRound is how often a holder looks at all engines.
	orderRound     = 2 * time.Second
	orderStoreCall = 3 * time.Second
	// orderCandidates is how many of the watchers may become holder.
	orderCandidates = 2
	// orderCalls bounds the engines that are asked at once.
	orderCalls = 32
)

// orderLoop gives orders to engines while this router is the holder. The decisions
// are those of a hitchorder.Holder and a hitchorder.Reconciler; this type brings
// them the store's and the engines' words.
type orderLoop struct {
	self    hitchfleet.InstanceID
	store   *hitchstore.Client
	engines engineClient
	log     hclog.Logger
	// isCandidate tells whether this router may become holder.
	isCandidate func() bool
	// plan returns what is in force; ok is false while it may be old.
	plan func() (p orderPlan, ok bool)

	mu         sync.Mutex
	holder     hitchorder.Holder
	reconciler hitchorder.Reconciler
	nextRound  time.Time
}

// orderPlan is what engines shall serve.
type orderPlan struct {
	desired        []hitchorder.Desired
	loadsPerMinute int
}

// newOrderLoop returns the loop of a node.
func (n *Node) newOrderLoop() *orderLoop {
	return &orderLoop{
		self: n.self.ID, store: n.store, log: n.log(), isCandidate: n.mayHoldOrders, plan: n.orderPlan,
	}
}

// mayHoldOrders tells whether the router is one of the first watchers. A leaving
// router gives the lease back, so that the next holder needn't wait for its end.
func (n *Node) mayHoldOrders() bool {
	watchers := hitchconfig.Watchers(n.peers.Live())
	_, isLeaving := n.router.Leaving()
	return !isLeaving && slices.Contains(watchers[:min(orderCandidates, len(watchers))], n.self.ID)
}

// orderPlan returns what the engines on the list shall serve.
func (n *Node) orderPlan() (p orderPlan, ok bool) {
	index, stale := n.config.inForce(time.Now())
	if stale {
		return p, false
	}
	return orderPlan{
		desired:        hitchorder.ComputeDesired(index.Configuration(), n.list.endpoints()),
		loadsPerMinute: index.Limits().LoadsPerMinute,
	}, true
}

// step lets the holder and the reconciler go on.
func (l *orderLoop) step(ctx context.Context) {
	l.update(ctx, hitchorder.Message{Kind: hitchorder.CandidateChanged, Candidate: l.isCandidate()})
	l.update(ctx, hitchorder.Message{Kind: hitchorder.TimePassed})
	if now := time.Now(); l.grant(now).Number > 0 && !now.Before(l.nextRound) {
		l.nextRound = now.Add(orderRound)
		l.round(ctx)
	}
}

// update tells the holder a message, and goes on with the store's answers until
// none is wanted.
func (l *orderLoop) update(ctx context.Context, m hitchorder.Message) {
	for isAnswered := true; isAnswered; {
		l.mu.Lock()
		if l.holder.Self == "" {
			l.holder.Self = l.self
		}
		before := l.holder.Phase()
		next, actions := l.holder.Update(m, time.Now())
		l.holder = next
		l.mu.Unlock()
		if (before == hitchorder.Holding) != (next.Phase() == hitchorder.Holding) {
			l.log.Info("orders", "Holding", next.Phase() == hitchorder.Holding, "Number", next.Grant(time.Now()).Number)
		}
		isAnswered = false
		for _, action := range actions {
			m, isAnswered = l.call(ctx, action)
		}
	}
}

func (l *orderLoop) grant(now time.Time) hitchorder.Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Grant(now)
}

// mayOrder tells whether an order may be sent now.
func (l *orderLoop) mayOrder(o hitchorder.Order) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.MaySend(o, time.Now())
}

// round looks at all engines and gives the orders that are due.
func (l *orderLoop) round(ctx context.Context) {
	plan, ok := l.plan()
	if !ok {
		return
	}
	observed := l.observe(ctx, plan.desired)
	now := time.Now()
	l.mu.Lock()
	l.reconciler.LoadsPerMinute = plan.loadsPerMinute
	next, orders := l.reconciler.Reconcile(l.holder.Grant(now), plan.desired, observed, now)
	l.reconciler = next
	l.mu.Unlock()
	roles := lo.SliceToMap(observed, func(o hitchorder.Observed) (hitchfleet.EndpointID, string) { return o.Endpoint, o.Role })
	l.forEach(len(orders), func(i int) { l.give(ctx, orders[i], roles[orders[i].Endpoint]) })
}

// observe asks all engines what they hold. Those that don't tell get no orders.
func (l *orderLoop) observe(ctx context.Context, desired []hitchorder.Desired) []hitchorder.Observed {
	var mu sync.Mutex
	var all []hitchorder.Observed
	l.forEach(len(desired), func(i int) {
		o, ok, err := l.engines.observe(ctx, desired[i].Endpoint, time.Now())
		if err != nil {
			l.log.Debug("engine not observed", "Endpoint", string(desired[i].Endpoint.ID), "Error", err)
		}
		if ok {
			mu.Lock()
			all = append(all, o)
			mu.Unlock()
		}
	})
	return all
}

// forEach calls f for 0 to n-1, a few at once.
func (l *orderLoop) forEach(n int, f func(i int)) {
	var group sync.WaitGroup
	free := make(chan struct{}, orderCalls)
	for i := range n {
		free <- struct{}{}
		group.Go(func() {
			defer func() { <-free }()
			f(i)
		})
	}
	group.Wait()
}

// give sends an order, if it may still be sent, and notes what became of it. role
// is the engine's own.
func (l *orderLoop) give(ctx context.Context, o hitchorder.Order, role string) {
	if !l.mayOrder(o) {
		return
	}
	answer := l.engines.send(ctx, o, role)
	l.log.Info("order", "Order", o.String(), "Answer", answer.String())
	l.mu.Lock()
	l.reconciler = l.reconciler.RecordResult(answer.Result, time.Now())
	l.mu.Unlock()
	if answer.Kind == hitchorder.OrderFenced {
		l.update(ctx, hitchorder.Message{Kind: hitchorder.Fenced, Number: answer.newest})
	}
}
