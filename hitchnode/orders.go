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

// Intervals and limits of orders to engines.
const (
	orderTickInterval = time.Second
	// orderRoundInterval is how often a holder reads the state of all engines.
	orderRoundInterval = 2 * time.Second
	orderStoreTimeout  = 3 * time.Second
	// maxOrderCandidates is how many of the watchers may become the holder.
	maxOrderCandidates = 2
	// maxEngineCalls limits the concurrent calls to engines.
	maxEngineCalls = 32
)

// orderLoop sends orders to engines while this router is the holder. The decisions are
// made by a hitchorder.Holder and a hitchorder.Reconciler; this type makes the calls
// to the store and the engines, and passes them the results.
type orderLoop struct {
	self    hitchfleet.InstanceID
	store   *hitchstore.Client
	engines engineClient
	log     hclog.Logger
	// isCandidate reports whether this router may become the holder.
	isCandidate func() bool
	// plan returns the current plan; ok is false while the configuration may be
	// outdated.
	plan func() (p orderPlan, ok bool)

	mu         sync.Mutex
	holder     hitchorder.Holder
	reconciler hitchorder.Reconciler
	nextRound  time.Time
}

// orderPlan is the desired state of all engines, and the limit of loads.
type orderPlan struct {
	desired        []hitchorder.Desired
	loadsPerMinute int
}

// newOrderLoop returns the loop of a node.
func (n *Node) newOrderLoop() *orderLoop {
	return &orderLoop{
		self: n.self.ID, store: n.store, log: n.log(), isCandidate: n.isOrderCandidate, plan: n.orderPlan,
	}
}

// isOrderCandidate reports whether the router is one of the first watchers and isn't
// leaving. A holder that is no longer a candidate revokes its lease, so that the next
// holder needn't wait until it expires.
func (n *Node) isOrderCandidate() bool {
	watchers := hitchconfig.Watchers(n.peers.LiveRouters())
	_, isLeaving := n.router.Successors()
	return !isLeaving && slices.Contains(watchers[:min(maxOrderCandidates, len(watchers))], n.self.ID)
}

// orderPlan returns the plan for the listed engines.
func (n *Node) orderPlan() (p orderPlan, ok bool) {
	index, stale := n.config.activeIndex(time.Now())
	if stale {
		return p, false
	}
	return orderPlan{
		desired:        hitchorder.ComputeDesired(index.Configuration(), n.list.endpoints()),
		loadsPerMinute: index.Limits().LoadsPerMinute,
	}, true
}

// tick updates the holder, and runs a round if this router is the holder and a round
// is due.
func (l *orderLoop) tick(ctx context.Context) {
	l.update(ctx, hitchorder.Message{Kind: hitchorder.CandidateChanged, Candidate: l.isCandidate()})
	l.update(ctx, hitchorder.Message{Kind: hitchorder.TimePassed})
	if now := time.Now(); l.grant(now).Number > 0 && !now.Before(l.nextRound) {
		l.nextRound = now.Add(orderRoundInterval)
		l.runRound(ctx)
	}
}

// update passes a message to the holder, then the result of each store call that the
// holder requests, until it requests none.
func (l *orderLoop) update(ctx context.Context, m hitchorder.Message) {
	for hasResult := true; hasResult; {
		l.mu.Lock()
		if l.holder.Self == "" {
			l.holder.Self = l.self
		}
		before := l.holder.Phase()
		next, actions := l.holder.Update(m, time.Now())
		l.holder = next
		l.mu.Unlock()
		if (before == hitchorder.Holding) != (next.Phase() == hitchorder.Holding) {
			l.log.Info("holder of the order lease changed", "Holding", next.Phase() == hitchorder.Holding, "Number", next.Grant(time.Now()).Number)
		}
		hasResult = false
		for _, action := range actions {
			m, hasResult = l.callStore(ctx, action)
		}
	}
}

func (l *orderLoop) grant(now time.Time) hitchorder.Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Grant(now)
}

// maySend reports whether an order may be sent now.
func (l *orderLoop) maySend(o hitchorder.Order) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.MaySend(o, time.Now())
}

// runRound reads the state of all engines and sends the orders that are due.
func (l *orderLoop) runRound(ctx context.Context) {
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
	l.forEach(len(orders), func(i int) { l.sendOrder(ctx, orders[i], roles[orders[i].Endpoint]) })
}

// observe reads the state of all engines. Engines that don't report it are left out,
// and get no orders.
func (l *orderLoop) observe(ctx context.Context, desired []hitchorder.Desired) []hitchorder.Observed {
	var mu sync.Mutex
	var all []hitchorder.Observed
	l.forEach(len(desired), func(i int) {
		o, ok, err := l.engines.observe(ctx, desired[i].Endpoint, time.Now())
		if err != nil {
			l.log.Debug("failed to read engine state", "Endpoint", string(desired[i].Endpoint.ID), "Error", err)
		}
		if ok {
			mu.Lock()
			all = append(all, o)
			mu.Unlock()
		}
	})
	return all
}

// forEach calls f for 0 to n-1, up to maxEngineCalls at once.
func (l *orderLoop) forEach(n int, f func(i int)) {
	var group sync.WaitGroup
	slots := make(chan struct{}, maxEngineCalls)
	for i := range n {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			f(i)
		})
	}
	group.Wait()
}

// sendOrder sends an order if it may still be sent, and records its result. role is
// the engine's current role.
func (l *orderLoop) sendOrder(ctx context.Context, o hitchorder.Order, role string) {
	if !l.maySend(o) {
		return
	}
	result := l.engines.send(ctx, o, role)
	l.log.Info("order sent", "Order", o.String(), "Answer", result.String())
	l.mu.Lock()
	l.reconciler = l.reconciler.RecordResult(result.Result, time.Now())
	l.mu.Unlock()
	if result.Kind == hitchorder.OrderFenced {
		l.update(ctx, hitchorder.Message{Kind: hitchorder.Fenced, Number: result.highestNumber})
	}
}
