package hitchorder

import (
	"slices"

	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchfleet"
)

// engine is what an engine shall serve, what it was seen to serve, and what it
// will serve once its orders are carried out.
type engine struct {
	Desired
	seen     Observed
	expected Observed
}

// engines pairs desired and observed states.
func engines(desired []Desired, observed []Observed) []engine {
	seen := lo.KeyBy(observed, func(o Observed) hitchfleet.EndpointID { return o.Endpoint })
	return lo.Map(desired, func(d Desired, _ int) engine { return engine{Desired: d, seen: seen[d.Endpoint.ID]} })
}

// route is the engines of one route.
type route struct {
	engines []engine
}

// next returns the one order that brings an engine nearer to what it shall
// serve. The order may have to wait.
func (v route) next(e engine) (Order, bool) {
	if e.Role != "" && e.Role != e.seen.Role {
		return Order{Kind: ChangeRole, Name: e.Role}, true
	}
	held, ready := e.seen.has(e.Version)
	switch {
	case !held && len(e.seen.Versions) < e.seen.slots():
		return Order{Kind: LoadVersion, Name: e.Version}, true
	case held && !ready:
		return Order{}, false
	}
	for _, loaded := range e.seen.Versions {
		if loaded.Name != e.Version && v.mayUnload(e, loaded) {
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

// mayUnload keeps the route in service: half of its engines stay ready, and the
// last ready copy of a version goes only by mayLose. An engine that stays ready
// without the version takes nothing away.
func (v route) mayUnload(e engine, loaded Loaded) bool {
	if !loaded.Ready {
		return true
	}
	if !v.isReadyElsewhere(e, loaded.Name) && !v.mayLose(e, loaded.Name) {
		return false
	}
	if _, ready := e.seen.has(e.Version); ready || !e.InService {
		return true
	}
	others := lo.CountBy(v.engines, func(o engine) bool {
		return o.Endpoint.ID != e.Endpoint.ID && o.InService && o.expected.isReady()
	})
	inService := lo.CountBy(v.engines, func(o engine) bool { return o.InService })
	return others >= max(1, inService/2)
}

// mayLose tells whether a route may lose the last ready copy of a version: no
// engine shall serve it any more, and another version stays ready.
func (v route) mayLose(e engine, version string) bool {
	if slices.ContainsFunc(v.engines, func(o engine) bool { return o.Version == version }) {
		return false
	}
	if _, ready := e.seen.has(e.Version); ready {
		return true
	}
	return slices.ContainsFunc(v.engines, func(o engine) bool {
		return o.Endpoint.ID != e.Endpoint.ID && o.InService && o.expected.isReady()
	})
}

// isReadyElsewhere tells whether another engine in service serves a version.
func (v route) isReadyElsewhere(e engine, version string) bool {
	return slices.ContainsFunc(v.engines, func(o engine) bool {
		_, ready := o.expected.has(version)
		return o.Endpoint.ID != e.Endpoint.ID && o.InService && ready
	})
}

// mayChange bounds how many engines of the route are changed at once: one while
// the engine's version hasn't yet proved itself anywhere, and a quarter after
// that. An engine that serves nothing may always be changed, and orders that
// take nothing away are free.
func (v route) mayChange(e engine, o Order) bool {
	if e.seen.isChanging() || (o.Kind != UnloadVersion && o.Kind != LoadVersion && o.Kind != ChangeRole) {
		return true
	}
	most := 1
	if v.isReadyElsewhere(engine{}, e.Version) {
		most = max(1, len(v.engines)/4)
	}
	others := lo.CountBy(v.engines, func(other engine) bool {
		return other.Endpoint.ID != e.Endpoint.ID && !other.seen.AsOf.IsZero() && other.expected.isChanging()
	})
	return others < most
}

// after returns the engine as it is expected to be once an order is carried out.
func (e engine) after(o Order) engine {
	e.expected = e.seen
	e.expected.Versions = slices.Clone(e.seen.Versions)
	switch o.Kind {
	case LoadVersion:
		if held, _ := e.seen.has(o.Name); !held {
			e.expected.Versions = append(e.expected.Versions, Loaded{Name: o.Name})
		}
	case UnloadVersion:
		e.expected.Versions = slices.DeleteFunc(e.expected.Versions, func(l Loaded) bool { return l.Name == o.Name })
	}
	return e
}
