package hitchfake

import (
	"slices"
	"time"
)

// VersionHeader names the model version that a chat request wants.
const VersionHeader = "X-Model-Version"

// HeldVersion is a model version that an engine holds.
type HeldVersion struct {
	Name string
	// Ready is set once the version serves.
	Ready bool
}

// Models is what an engine holds, a part of its load report. It doesn't lag.
type Models struct {
	// Versions is null for an engine that doesn't tell, and empty for one that holds
	// none.
	Versions []HeldVersion
	Adapters []string
	Role     string
	// Slots is how many versions the engine holds at once.
	Slots int
}

// EngineLoad is the load report of an engine.
type EngineLoad struct {
	Load
	Models
}

// heldModels is what an engine holds by its orders.
type heldModels struct {
	isReported bool
	versions   []heldVersion
	adapters   []string
	role       string
}

type heldVersion struct {
	name    string
	readyAt time.Time
}

// Hold makes the engine hold these versions, ready to serve, and report what it
// holds. Chats for another version are answered by 404 from then on. An engine
// that was never told so serves every version, and reports none.
func (e *Engine) Hold(versions ...string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders.held = heldModels{isReported: true}
	for _, name := range versions {
		e.orders.held.versions = append(e.orders.held.versions, heldVersion{name: name})
	}
}

// carryOut changes what is held.
func (h *heldModels) carryOut(order Order, readyAt time.Time) {
	switch {
	case order.Kind == OrderRole:
		h.role = order.Role
	case order.Kind == OrderLoad && h.has(order):
	case order.Kind == OrderLoad && order.Adapter != "":
		h.adapters = append(h.adapters, order.Adapter)
	case order.Kind == OrderLoad:
		h.versions = append(h.versions, heldVersion{order.Version, readyAt})
	case order.Adapter != "":
		h.adapters = slices.DeleteFunc(h.adapters, func(name string) bool { return name == order.Adapter })
	default:
		h.versions = slices.DeleteFunc(h.versions, func(v heldVersion) bool { return v.name == order.Version })
	}
}

// has tells whether the adapter or version of a load is held already.
func (h *heldModels) has(order Order) bool {
	if order.Adapter != "" {
		return slices.Contains(h.adapters, order.Adapter)
	}
	return slices.ContainsFunc(h.versions, func(v heldVersion) bool { return v.name == order.Version })
}

// serves tells whether a version is ready at a time; the empty one means any.
func (h *heldModels) serves(version string, now time.Time) bool {
	return !h.isReported || slices.ContainsFunc(h.versions, func(v heldVersion) bool {
		return !now.Before(v.readyAt) && (version == "" || v.name == version)
	})
}

// models returns what the engine reports of its models. It needs the lock.
func (e *Engine) models(now time.Time) Models {
	held := &e.orders.held
	if !held.isReported {
		return Models{}
	}
	m := Models{Versions: []HeldVersion{}, Adapters: slices.Clone(held.adapters), Role: held.role, Slots: max(1, e.Slots)}
	for _, v := range held.versions {
		m.Versions = append(m.Versions, HeldVersion{Name: v.name, Ready: !now.Before(v.readyAt)})
	}
	return m
}

// Models returns what the engine holds now.
func (e *Engine) Models() Models {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.models(time.Now())
}
