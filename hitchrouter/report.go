package hitchrouter

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchadmit"
	"citronhitch.example/citronhitch/hitchfleet"
)

// endpointReport is the load report of an endpoint, in the endpoint's JSON format.
type endpointReport struct {
	Running           int64
	Waiting           int64
	MaxRunning        int64
	TokensOutstanding int64
	Cold              bool
	AsOf              time.Time
	// Versions is nil if the endpoint doesn't report its loaded model versions.
	Versions []reportedVersion
	Adapters []string
}

// reportedVersion is a model version in an engine's load report. It serves requests
// once Ready is set.
type reportedVersion struct {
	Name  string
	Ready bool
}

// engineModels returns the models of the engine, or nil if its report has none.
func (r endpointReport) engineModels(id hitchfleet.EndpointID) []EngineModels {
	if r.Versions == nil {
		return nil
	}
	ready, _ := lo.Find(r.Versions, func(v reportedVersion) bool { return v.Ready })
	return []EngineModels{{Endpoint: id, Version: ready.Name, Adapters: r.Adapters}}
}

// collectReports fetches the load reports of the endpoints that this router owns, and
// shares the models of engines with the other routers if they have changed.
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
		rt.log().Debug("load report could not be fetched", "Endpoint", string(e.ID), "Error", err)
		return
	}
	rt.models.apply(report.engineModels(e.ID))
	load := report.TokensOutstanding
	if e.Kind == hitchfleet.KindService {
		load = report.Running + report.Waiting
	}
	now := rt.now()
	rt.deliverDecisions(rt.Admission.ApplyLoadReport(now, hitchadmit.LoadReport{
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
