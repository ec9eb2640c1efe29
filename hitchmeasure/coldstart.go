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
	coldBears   = 2 // requests at a time; one more makes a cold engine fall over
	coldSeconds = 4
)

// ColdStart adds engines that are cold under load, and then turns warm ones cold,
// first with and then without notice. Value is the number of added or announced
// engines that were given more than they bear and fell over.
func ColdStart(ctx context.Context, s Settings) (r Result, err error) {
	s = s.WithDefaults()
	d := zoneShape.apply(s.deployment())
	d.ColdLimit = coldBears
	fleet, err := s.startFleet(ctx, d)
	if err != nil {
		return r, err
	}
	defer stopFleet(ctx, fleet)
	y := newTally()
	var group sync.WaitGroup
	group.Go(func() {
		newWorkload(s, workloadModel, zoneShape).run(ctx, fleetSend(fleet, s.Organisations), y)
	})
	quarter := time.Duration(s.Seconds) * time.Second / 4
	pauseFor(ctx, quarter)
	added, err := addCold(fleet)
	if err != nil {
		return r, err
	}
	pauseFor(ctx, quarter)
	addedFalls, addedWork := added.Engine.Records().Falls, added.Engine.Records().Submitted
	warm := fleet.Engines()[:2]
	turnCold(warm[0], true)
	turnCold(warm[1], false)
	pauseFor(ctx, coldSeconds*time.Second)
	lo.ForEach(warm, func(h *hitchdev.EngineHost, _ int) { h.Engine.Faults.Set() })
	group.Wait()
	r = Result{Measure: "ColdStart", Table: Table{Columns: []string{
		"Turns", "Refused", "Failed", "Crossed", "AddedFalls", "AddedWork", "AnnouncedFalls", "UnannouncedFalls", "FirstTokenP95Ms",
	}}}
	announced, unannounced := warm[0].Engine.Records().Falls, warm[1].Engine.Records().Falls
	r.Table = r.Table.With(y.turns, y.refused, y.failed, y.crossed, addedFalls, addedWork, announced, unannounced, millisAt(y.firstToken, percentileHigh))
	r.Value = float64(addedFalls + y.failed + y.crossed)
	r.Met = r.Value <= r.Bound
	r.Notes = append(r.Notes, "An engine that turns cold while it holds more than it bears falls over by what it holds already; AnnouncedFalls and UnannouncedFalls count that too.")
	if y.lastErr != nil {
		r.Notes = append(r.Notes, fmt.Sprintf("LastError=%q", y.lastErr))
	}
	return r, nil
}

// addCold adds an engine that is in cold start and says so.
func addCold(f *hitchdev.Fleet) (*hitchdev.EngineHost, error) {
	host, err := f.AddColdEngine()
	if err != nil {
		return nil, err
	}
	time.AfterFunc(coldSeconds*time.Second, func() { host.Engine.Faults.Set() })
	return host, nil
}

// turnCold puts a warm engine into cold start.
func turnCold(h *hitchdev.EngineHost, announced bool) {
	h.Engine.Faults.Set(hitchfake.Fault{Kind: hitchfake.FaultCold, Announced: announced})
}
