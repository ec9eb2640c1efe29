package hitchfake

import (
	"fmt"
	"net/http"
	"time"
)

// OrderKind names what an order asks of an engine.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad   OrderKind = "Load"
	OrderUnload OrderKind = "Unload"
	OrderRole   OrderKind = "Role"
)

// Order is the body of POST /v1/orders.
type Order struct {
	Kind OrderKind
	// FencingNumber rises with each holder of the right to give orders.
	FencingNumber uint64
	Model         string
	Version       string
	Adapter       string
	// Role is the new role of a Role order, such as Prefill.
	Role string
}

// OrderRecord is an order that an engine has got.
type OrderRecord struct {
	Order    Order
	Accepted bool
	At       time.Time
}

// OrderAnswer is the answer of POST /v1/orders.
type OrderAnswer struct {
	Accepted bool
	// Newest is the highest fencing number that the engine has seen.
	Newest uint64
}

// orderBook is what orders have done to an engine.
type orderBook struct {
	newest   uint64
	records  []OrderRecord
	unloaded map[string]bool // by model
	falls    int
	held     heldModels
}

// take records an order and says whether it is carried out.
func (b *orderBook) take(order Order, ignoresFencing bool, now time.Time) bool {
	accepted := ignoresFencing || order.FencingNumber >= b.newest
	b.newest = max(b.newest, order.FencingNumber)
	b.records = append(b.records, OrderRecord{Order: order, Accepted: accepted, At: now})
	return accepted
}

// carryOut changes the models that are served. An engine that doesn't report what
// it holds only records orders for adapters and roles.
func (b *orderBook) carryOut(order Order, readyAt time.Time) {
	if b.held.isReported {
		b.held.carryOut(order, readyAt)
		return
	}
	if order.Adapter != "" {
		return
	}
	if b.unloaded == nil {
		b.unloaded = make(map[string]bool)
	}
	switch order.Kind {
	case OrderLoad:
		delete(b.unloaded, order.Model)
	case OrderUnload:
		b.unloaded[order.Model] = true
	}
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	err := readJSON(r, &order)
	if err == nil && order.Kind != OrderLoad && order.Kind != OrderUnload && order.Kind != OrderRole {
		err = fmt.Errorf("no order has the kind %q", order.Kind)
	}
	if err != nil {
		writeProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	e.Faults.breakOff(r, false)
	e.mu.Lock()
	answer, refusal := e.obey(order, time.Now())
	e.mu.Unlock()
	e.Faults.breakOff(r, true)
	switch {
	case !answer.Accepted:
		writeJSON(w, http.StatusConflict, answer)
	case refusal.retryAfter > 0:
		retryAfter(w, refusal.retryAfter)
		writeProblem(w, http.StatusTooManyRequests, "the weight store is busy")
	case refusal.isFull:
		writeProblem(w, http.StatusUnprocessableEntity, "no slot is free for another version")
	default:
		writeJSON(w, http.StatusOK, answer)
	}
}

// orderRefusal says why an order with a good number isn't carried out.
type orderRefusal struct {
	retryAfter time.Duration
	isFull     bool
}

// obey takes an order and carries it out. It needs the lock.
func (e *Engine) obey(order Order, now time.Time) (answer OrderAnswer, refusal orderRefusal) {
	accepted := e.orders.take(order, e.IgnoresFencing, now)
	answer = OrderAnswer{Accepted: accepted, Newest: e.orders.newest}
	if !accepted {
		return answer, refusal
	}
	if e.orders.held.isReported && order.Kind == OrderLoad && !e.orders.held.has(order) {
		refusal.isFull = order.Adapter == "" && len(e.orders.held.versions) >= max(1, e.Slots)
		if !refusal.isFull && e.Weights != nil {
			refusal.retryAfter = e.Weights.reserve(now)
		}
		if refusal != (orderRefusal{}) {
			return answer, refusal
		}
	}
	readyAt := now.Add(millis(e.LoadMillis, 0))
	e.orders.carryOut(order, readyAt)
	if order.Kind == OrderLoad && order.Adapter == "" && e.ColdMillis > 0 {
		e.coldUntil = readyAt.Add(millis(e.ColdMillis, 0))
	}
	return answer, refusal
}
