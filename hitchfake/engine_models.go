package hitchfake

import (
	"slices"
	"time"
)

// VersionHeader carries the requested model version.
const VersionHeader = "X-Model-Version"

// LoadedVersion is a model version that an engine has loaded or is loading.
type LoadedVersion struct {
	Name string
	// Ready is set once the version is loaded and serves requests.
	Ready bool
}

// Models lists the loaded models of an engine. It is the part of the load report
// to which LoadLagMillis doesn't apply.
type Models struct {
	// Versions is null if the engine doesn't report its loaded models, and empty if
	// none is loaded.
	Versions []LoadedVersion
	Adapters []string
	Role     string
	// Slots is the maximum number of versions loaded at once.
	Slots int
}

// EngineLoad is the load report of an engine.
type EngineLoad struct {
	Load
	Models
}

// loadedModels are the versions and adapters that an engine has loaded, and its
// role.
type loadedModels struct {
	isReported bool
	versions   []loadedVersion
	adapters   []string
	role       string
}

type loadedVersion struct {
	name    string
	readyAt time.Time
}

// SetLoadedVersions replaces the loaded models by these versions, ready to serve.
// From then on the engine reports its loaded models, and responds with 404 to chats
// for any other version. Before the first call it serves every version and reports
// none.
func (e *Engine) SetLoadedVersions(versions ...string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders.loaded = loadedModels{isReported: true}
	for _, name := range versions {
		e.orders.loaded.versions = append(e.orders.loaded.versions, loadedVersion{name: name})
	}
}

// apply loads or unloads a version or an adapter, or sets the role.
func (m *loadedModels) apply(order Order, readyAt time.Time) {
	switch {
	case order.Kind == OrderRole:
		m.role = order.Role
	case order.Kind == OrderLoad && m.isLoaded(order):
	case order.Kind == OrderLoad && order.Adapter != "":
		m.adapters = append(m.adapters, order.Adapter)
	case order.Kind == OrderLoad:
		m.versions = append(m.versions, loadedVersion{order.Version, readyAt})
	case order.Adapter != "":
		m.adapters = slices.DeleteFunc(m.adapters, func(name string) bool { return name == order.Adapter })
	default:
		m.versions = slices.DeleteFunc(m.versions, func(v loadedVersion) bool { return v.name == order.Version })
	}
}

// isLoaded reports whether the adapter or version of a load order is loaded or
// being loaded already.
func (m *loadedModels) isLoaded(order Order) bool {
	if order.Adapter != "" {
		return slices.Contains(m.adapters, order.Adapter)
	}
	return slices.ContainsFunc(m.versions, func(v loadedVersion) bool { return v.name == order.Version })
}

// isServing reports whether a version is ready; an empty name means any version.
// It is always true for an engine that doesn't report its loaded models.
func (m *loadedModels) isServing(version string, now time.Time) bool {
	return !m.isReported || slices.ContainsFunc(m.versions, func(v loadedVersion) bool {
		return !now.Before(v.readyAt) && (version == "" || v.name == version)
	})
}

// modelReport returns the models part of the load report. The caller must hold
// e.mu.
func (e *Engine) modelReport(now time.Time) Models {
	loaded := &e.orders.loaded
	if !loaded.isReported {
		return Models{}
	}
	m := Models{Versions: []LoadedVersion{}, Adapters: slices.Clone(loaded.adapters), Role: loaded.role, Slots: max(1, e.Slots)}
	for _, v := range loaded.versions {
		m.Versions = append(m.Versions, LoadedVersion{Name: v.name, Ready: !now.Before(v.readyAt)})
	}
	return m
}

// Models returns the loaded models without any lag.
func (e *Engine) Models() Models {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.modelReport(time.Now())
}
