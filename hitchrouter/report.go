package hitchrouter

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchadmit"
	"citronhitch.example/citronhitch/hitchfleet"
)

// endpointReport is what an endpoint says of itself, in its own format.
type endpointReport struct {
	Running           int64
	Waiting           int64
	MaxRunning        int64
	TokensOutstanding int64
	Cold              bool
	AsOf              time.Time
	// Versions is nil if the endpoint doesn't tell which model versions it holds.
	Versions []reportedVersion
	Adapters []string
}

// reportedVersion is a model version that an engine holds.
type reportedVersion struct {
	Name  string
	Ready bool
}

// models returns what an engine holds, if it tells.
func (r endpointReport) models(id hitchfleet.EndpointID) []EngineModels {
	if r.Versions == nil {
		return nil
	}
	ready, _ := lo.Find(r.Versions, func(v reportedVersion) bool { return v.Ready })
	return []EngineModels{{Endpoint: id, Version: ready.Name, Adapters: r.Adapters}}
}

// collectReports asks the endpoints that this router owns for their loads and for
// what they hold, and tells the other routers if that has changed.
func (rt *Router) collectReports(ctx context.Context) {
	p := rt.placement()
	var group sync.WaitGroup
	for id, owner := range p.owners {
		if owner.ID == rt.Self.ID {
			group.Go(func() { rt.collectReport(ctx, p.endpoints[id]) })
		}
	}
	group.Wait()
	rt.shareModels()
}

func (rt *Router) collectReport(ctx context.Context, e hitchfleet.Endpoint) {
	report, err := rt.fetchReport(ctx, e)
	if err != nil {
		rt.log().Debug("no load report", "Endpoint", string(e.ID), "Error", err)
		return
	}
	rt.models.learn(report.models(e.ID))
	load := report.TokensOutstanding
	if e.Kind == hitchfleet.KindService {
		load = report.Running + report.Waiting
	}
	now := rt.now()
	rt.notify(rt.Owners.ApplyLoadReport(now, hitchadmit.LoadReport{
		Endpoint:      e.ID,
		AsOf:          earlier(report.AsOf, now),
		Load:          load,
		Requests:      report.Running + report.Waiting,
		Cold:          report.Cold,
		MaxConcurrent: report.MaxRunning,
	}, nil))
}

func (rt *Router) fetchReport(ctx context.Context, e hitchfleet.Endpoint) (report endpointReport, err error) {
	path := "/v1/load"
	if e.Kind == hitchfleet.KindService {
		path = "/load"
	}
	err = rt.fetchJSON(ctx, e.URL+path, &report)
	return report, err
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
