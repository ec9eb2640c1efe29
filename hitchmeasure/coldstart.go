package hitchmeasure

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchdev"
	"citronhitch.example/citronhitch/hitchfake"
)

// Sizes of the cold start measurement.
const (
	coldCapacity        = 2 // concurrent requests; one more makes a cold engine fail
	coldDurationSeconds = 4
)

// ColdStart adds a cold engine under load, and then makes two warm engines cold, of
// which only one announces it in its load reports. Value is the number of overload
// failures of the added engine, and of failed turns and mismatched responses.
func ColdStart(ctx context.Context, s Settings) (r Result, err error) {
	s = s.WithDefaults()
	d := steadyShape.apply(s.deployment())
	d.ColdLimit = coldCapacity
	fleet, err := s.startFleet(ctx, d)
	if err != nil {
		return r, err
	}
	defer stopFleet(ctx, fleet)
	results := newTally()
	var group sync.WaitGroup
	group.Go(func() {
		newWorkload(s, workloadModel, steadyShape).run(ctx, newFleetSender(fleet, s.Organisations), results)
	})
	quarter := time.Duration(s.Seconds) * time.Second / 4
	sleepFor(ctx, quarter)
	added, err := addColdEngine(fleet)
	if err != nil {
		return r, err
	}
	sleepFor(ctx, quarter)
	addedFailures, addedRequests := added.Engine.Records().Falls, added.Engine.Records().Submitted
	warm := fleet.Engines()[:2]
	startCold(warm[0], true)
	startCold(warm[1], false)
	sleepFor(ctx, coldDurationSeconds*time.Second)
	lo.ForEach(warm, func(h *hitchdev.EngineHost, _ int) { h.Engine.Faults.Set() })
	group.Wait()
	r = Result{Measure: "ColdStart", Table: Table{Columns: []string{
		"Turns", "Refused", "Failed", "Crossed", "AddedFalls", "AddedWork", "AnnouncedFalls", "UnannouncedFalls", "FirstTokenP95Ms",
	}}}
	announced, unannounced := warm[0].Engine.Records().Falls, warm[1].Engine.Records().Falls
	r.Table = r.Table.With(results.turns, results.refused, results.failed, results.mismatched, addedFailures, addedRequests, announced, unannounced, millisAt(results.firstToken, percentileHigh))
	r.Value = float64(addedFailures + results.failed + results.mismatched)
	r.Met = r.Value <= r.Bound
	r.Notes = append(r.Notes, "An engine that becomes cold with more requests than its cold capacity fails without a new request; AnnouncedFalls and UnannouncedFalls include these failures.")
	if results.lastErr != nil {
		r.Notes = append(r.Notes, fmt.Sprintf("LastError=%q", results.lastErr))
	}
	return r, nil
}

// addColdEngine adds an engine that reports a cold start and ends it later.
func addColdEngine(f *hitchdev.Fleet) (*hitchdev.EngineHost, error) {
	host, err := f.AddColdEngine()
	if err != nil {
		return nil, err
	}
	time.AfterFunc(coldDurationSeconds*time.Second, func() { host.Engine.Faults.Set() })
	return host, nil
}

// startCold makes a warm engine cold. If isAnnounced, its load reports say so.
func startCold(h *hitchdev.EngineHost, isAnnounced bool) {
	h.Engine.Faults.Set(hitchfake.Fault{Kind: hitchfake.FaultCold, Announced: isAnnounced})
}
