package hitchorder

import (
	"slices"

	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchfleet"
)

// engine is the desired state of an engine, its observed state, and the state that
// is expected once its pending order is carried out.
type engine struct {
	Desired
	seen     Observed
	expected Observed
}

// pairStates pairs desired and observed states.
func pairStates(desired []Desired, observed []Observed) []engine {
	seen := lo.KeyBy(observed, func(o Observed) hitchfleet.EndpointID { return o.Endpoint })
	return lo.Map(desired, func(d Desired, _ int) engine { return engine{Desired: d, seen: seen[d.Endpoint.ID]} })
}

// route has the engines of one route.
type route struct {
	engines []engine
}

// nextOrder returns the next order that an engine needs to reach its desired state.
// The order may still be held back by the load rate or by mayChange.
func (r route) nextOrder(e engine) (Order, bool) {
	if e.Role != "" && e.Role != e.seen.Role {
		return Order{Kind: ChangeRole, Name: e.Role}, true
	}
	held, ready := e.seen.versionState(e.Version)
	switch {
	case !held && len(e.seen.Versions) < e.seen.slots():
		return Order{Kind: LoadVersion, Name: e.Version}, true
	case held && !ready:
		return Order{}, false
	}
	for _, loaded := range e.seen.Versions {
		if loaded.Name != e.Version && r.mayUnload(e, loaded) {
			return Order{Kind: UnloadVersion, Name: loaded.Name}, true
		}
	}
	return e.nextAdapter()
}

func (e engine) nextAdapter() (Order, bool) {
	extra, missing := lo.Difference(e.seen.Adapters, e.Adapters)
	switch {
	case len(missing) > 0:
		return Order{Kind: LoadAdapter, Name: missing[0]}, true
	case len(extra) > 0:
		return Order{Kind: UnloadAdapter, Name: extra[0]}, true
	}
	return Order{}, false
}

// mayUnload reports whether an engine may unload a version without taking the route
// out of service: half of the route's engines must stay ready, and the last ready
// copy of a version is unloaded only if mayUnloadLastCopy allows it. The first
// condition doesn't apply to an engine that isn't in service or that stays ready with
// its desired version.
func (r route) mayUnload(e engine, loaded HeldVersion) bool {
	if !loaded.Ready {
		return true
	}
	if !r.isReadyElsewhere(e, loaded.Name) && !r.mayUnloadLastCopy(e, loaded.Name) {
		return false
	}
	if _, ready := e.seen.versionState(e.Version); ready || !e.InService {
		return true
	}
	others := lo.CountBy(r.engines, func(o engine) bool {
		return o.Endpoint.ID != e.Endpoint.ID && o.InService && o.expected.isReady()
	})
	inService := lo.CountBy(r.engines, func(o engine) bool { return o.InService })
	return others >= max(1, inService/2)
}

// mayUnloadLastCopy reports whether the last ready copy of a version in a route may be
// unloaded: no engine should serve it any more, and another version stays ready.
func (r route) mayUnloadLastCopy(e engine, version string) bool {
	if slices.ContainsFunc(r.engines, func(o engine) bool { return o.Version == version }) {
		return false
	}
	if _, ready := e.seen.versionState(e.Version); ready {
		return true
	}
	return slices.ContainsFunc(r.engines, func(o engine) bool {
		return o.Endpoint.ID != e.Endpoint.ID && o.InService && o.expected.isReady()
	})
}

// isReadyElsewhere reports whether a version is ready on another engine in service.
func (r route) isReadyElsewhere(e engine, version string) bool {
	return slices.ContainsFunc(r.engines, func(o engine) bool {
		_, ready := o.expected.versionState(version)
		return o.Endpoint.ID != e.Endpoint.ID && o.InService && ready
	})
}

// mayChange limits how many engines of the route change at once: one until the
// engine's desired version is ready on any engine in service, and a quarter after
// that. An engine that is already changing isn't limited, and neither are orders other
// than loads and unloads of versions and changes of the role.
func (r route) mayChange(e engine, o Order) bool {
	if e.seen.isChanging() || (o.Kind != UnloadVersion && o.Kind != LoadVersion && o.Kind != ChangeRole) {
		return true
	}
	maxChanging := 1
	if r.isReadyElsewhere(engine{}, e.Version) {
		maxChanging = max(1, len(r.engines)/4)
	}
	others := lo.CountBy(r.engines, func(other engine) bool {
		return other.Endpoint.ID != e.Endpoint.ID && !other.seen.AsOf.IsZero() && other.expected.isChanging()
	})
	return others < maxChanging
}

// withExpected returns the engine with the state expected once an order is carried
// out.
func (e engine) withExpected(o Order) engine {
	e.expected = e.seen
	e.expected.Versions = slices.Clone(e.seen.Versions)
	switch o.Kind {
	case LoadVersion:
		if held, _ := e.seen.versionState(o.Name); !held {
			e.expected.Versions = append(e.expected.Versions, HeldVersion{Name: o.Name})
		}
	case UnloadVersion:
		e.expected.Versions = slices.DeleteFunc(e.expected.Versions, func(l HeldVersion) bool { return l.Name == o.Name })
	}
	return e
}
