package hitchmeasure

import (
	"context"
	"fmt"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchdev"
	"citronhitch.example/citronhitch/hitchfleet"
)

// zoneExitBound is the maximum time, in seconds, until a zone that was taken out of
// service gets no new requests.
const zoneExitBound = 3.0

// steadyShape is a steady load with responses of more than half a second.
var steadyShape = shape{turnsPerEngine: 8, responseTokens: 120, tokensPerSecond: 200, prefillPerSecond: 50_000}

// ZoneExit takes an availability zone out of service under load, and returns it. Value
// is how long after the acceptance of the change the zone's engines still got new
// requests, in seconds.
func ZoneExit(ctx context.Context, s Settings) (r Result, err error) {
	s = s.WithDefaults()
	d := steadyShape.apply(s.deployment())
	fleet, err := s.startFleet(ctx, d)
	if err != nil {
		return r, err
	}
	defer stopFleet(ctx, fleet)
	zone := fleet.Deployment.Zone(1)
	results := newTally()
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		newWorkload(s, workloadModel, steadyShape).run(ctx, newFleetSender(fleet, s.Organisations), results)
		close(done)
	})
	monitor := &zoneMonitor{fleet: fleet, zone: zone}
	sleepFor(ctx, time.Duration(s.Seconds)*time.Second/4)
	_, err = applyChange(ctx, fleet.Routers()[0], hitchconfig.Intent{Kind: hitchconfig.TakeZoneOut, Zone: zone})
	accepted := time.Now()
	if err == nil {
		monitor.watchUntil(ctx, accepted.Add(time.Duration(s.Seconds)*time.Second/3))
		_, err = applyChange(ctx, fleet.Routers()[1], hitchconfig.Intent{Kind: hitchconfig.ReturnZone, Zone: zone})
	}
	returned := time.Now()
	for err == nil && monitor.submittedCount() == monitor.lastCount && time.Since(returned) < rolloutTimeout {
		sleepFor(ctx, pollInterval)
	}
	group.Wait()
	if err != nil {
		return r, err
	}
	r = Result{Measure: "ZoneExit", Bound: zoneExitBound, Table: Table{Columns: []string{
		"Zone", "Turns", "Refused", "Failed", "Crossed", "NewAfterAccept", "LastNewSeconds", "WorkAfterReturn", "FirstTokenP95Ms", "Tries",
	}}}
	if !monitor.lastRequestAt.IsZero() {
		r.Value = monitor.lastRequestAt.Sub(accepted).Seconds()
	}
	r.Table = r.Table.With(zone, results.turns, results.refused, results.failed, results.mismatched, monitor.newRequests, r.Value, monitor.submittedCount()-monitor.lastCount, millisAt(results.firstToken, percentileHigh), results.attempts)
	r.Met = r.Value <= r.Bound && results.failed == 0 && results.mismatched == 0 && results.refused == 0
	if results.lastErr != nil {
		r.Notes = append(r.Notes, fmt.Sprintf("LastError=%q", results.lastErr))
	}
	return r, nil
}

// zoneMonitor detects new requests in a zone.
type zoneMonitor struct {
	fleet         *hitchdev.Fleet
	zone          hitchfleet.AvailabilityZone
	lastCount     uint64
	lastRequestAt time.Time
	newRequests   uint64
}

// watchUntil counts new requests in the zone until a time.
func (z *zoneMonitor) watchUntil(ctx context.Context, end time.Time) {
	z.lastCount = z.submittedCount()
	for time.Now().Before(end) && ctx.Err() == nil {
		if n := z.submittedCount(); n > z.lastCount {
			z.newRequests += n - z.lastCount
			z.lastCount, z.lastRequestAt = n, time.Now()
		}
		sleepFor(ctx, pollInterval)
	}
}

// submittedCount returns the number of requests sent to the zone's engines.
func (z *zoneMonitor) submittedCount() (n uint64) {
	for _, host := range z.fleet.Engines() {
		if host.Endpoint.Zone == z.zone {
			n += host.Engine.Records().Submitted
		}
	}
	return n
}
