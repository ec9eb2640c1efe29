package hitchfake

import (
	"fmt"
	"net/http"
	"time"
)

// OrderKind is the kind of an order.
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
	// FencingNumber is the sender's fencing number. It increases with each new holder
	// of the order lease.
	FencingNumber uint64
	Model         string
	Version       string
	Adapter       string
	// Role is the new role in a Role order, such as Prefill.
	Role string
}

// OrderRecord is an order that an engine has received.
type OrderRecord struct {
	Order    Order
	Accepted bool
	At       time.Time
}

// OrderResponse is the response of POST /v1/orders.
type OrderResponse struct {
	Accepted bool
	// Newest is the highest fencing number that the engine has received.
	Newest uint64
}

// orderState holds the received orders of an engine and their effects.
type orderState struct {
	highestFencing uint64
	records        []OrderRecord
	unloadedModels map[string]bool // by model
	crashes        int
	loaded         loadedModels
}

// recordOrder records an order and reports whether its fencing number is accepted.
func (s *orderState) recordOrder(order Order, ignoresFencing bool, now time.Time) bool {
	accepted := ignoresFencing || order.FencingNumber >= s.highestFencing
	s.highestFencing = max(s.highestFencing, order.FencingNumber)
	s.records = append(s.records, OrderRecord{Order: order, Accepted: accepted, At: now})
	return accepted
}

// applyOrder changes the loaded models. Orders for adapters and roles have no
// effect on an engine that doesn't report its loaded models.
func (s *orderState) applyOrder(order Order, readyAt time.Time) {
	if s.loaded.isReported {
		s.loaded.apply(order, readyAt)
		return
	}
	if order.Adapter != "" {
		return
	}
	if s.unloadedModels == nil {
		s.unloadedModels = make(map[string]bool)
	}
	switch order.Kind {
	case OrderLoad:
		delete(s.unloadedModels, order.Model)
	case OrderUnload:
		s.unloadedModels[order.Model] = true
	}
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	err := readJSON(r, &order)
	if err == nil && order.Kind != OrderLoad && order.Kind != OrderUnload && order.Kind != OrderRole {
		err = fmt.Errorf("unknown order kind %q", order.Kind)
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	e.Faults.applyConnectionFault(r, false)
	e.mu.Lock()
	response, rejection := e.executeOrder(order, time.Now())
	e.mu.Unlock()
	e.Faults.applyConnectionFault(r, true)
	switch {
	case !response.Accepted:
		writeJSON(w, http.StatusConflict, response)
	case rejection.retryAfter > 0:
		retryAfter(w, rejection.retryAfter)
		writeError(w, http.StatusTooManyRequests, "the weight store is busy")
	case rejection.isFull:
		writeError(w, http.StatusUnprocessableEntity, "no slot is free for another version")
	default:
		writeJSON(w, http.StatusOK, response)
	}
}

// orderRejection is the reason for which an order with an accepted fencing number
// isn't executed. The zero value means that it is executed.
type orderRejection struct {
	retryAfter time.Duration
	isFull     bool
}

// executeOrder records an order and executes it unless it is rejected. The caller
// must hold e.mu.
func (e *Engine) executeOrder(order Order, now time.Time) (response OrderResponse, rejection orderRejection) {
	accepted := e.orders.recordOrder(order, e.IgnoresFencing, now)
	response = OrderResponse{Accepted: accepted, Newest: e.orders.highestFencing}
	if !accepted {
		return response, rejection
	}
	if e.orders.loaded.isReported && order.Kind == OrderLoad && !e.orders.loaded.isLoaded(order) {
		rejection.isFull = order.Adapter == "" && len(e.orders.loaded.versions) >= max(1, e.Slots)
		if !rejection.isFull && e.Weights != nil {
			rejection.retryAfter = e.Weights.reserve(now)
		}
		if rejection != (orderRejection{}) {
			return response, rejection
		}
	}
	readyAt := now.Add(millis(e.LoadMillis, 0))
	e.orders.applyOrder(order, readyAt)
	if order.Kind == OrderLoad && order.Adapter == "" && e.ColdMillis > 0 {
		e.coldUntil = readyAt.Add(millis(e.ColdMillis, 0))
	}
	return response, rejection
}
