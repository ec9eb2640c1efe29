package hitchedge

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchdigest"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchingress"
	"citronhitch.example/citronhitch/hitchrollout"
	"citronhitch.example/citronhitch/hitchview"
	hitchplatform "citronhitch.example/citronhitch/platform"
)

// Times of rollouts.
const (
	// rolloutInterval is how often an instance checks whether it decides about rollouts, and
	// decisionDivisor how often it decides in the time between two reports: in a large fleet
	// each decision adds up the counts of hundreds of instances.
	rolloutInterval = 100 * time.Millisecond
	decisionDivisor = 2
	// rolloutRetryDelay is how long the next decision is put off after a write to the store that
	// failed.
	rolloutRetryDelay = 200 * time.Millisecond
	// minHubSilence and hubSilenceIntervals determine after how long without a digest of the
	// primary hub the other one decides in its place: less than until it counts as failed, as
	// a rollout has only seconds to move the requests. If both decide, the store takes one step.
	minHubSilence       = 700 * time.Millisecond
	hubSilenceIntervals = 3
	// releaseTime is for how long no endpoint of an excluded version must have been listed until
	// it may be released without an order. The endpoints of an order may start late.
	releaseTime = 15 * time.Second
	// rolloutLogInterval is how often the state of an active rollout is logged at the hub.
	rolloutLogInterval = 2 * time.Second
)

// rolloutDecisions is what an instance needs while it decides about rollouts as the primary hub,
// and the stop notices that it knows. The zero value is ready to use.
type rolloutDecisions struct {
	mu sync.Mutex
	// since is when this instance became a hub that gets the counts of all instances; the zero
	// time if it isn't one. digestAt is when the last digest of each hub arrived.
	since    time.Time
	digestAt map[hitchfleet.InstanceID]time.Time
	// lacksStore holds the hubs that say that they don't reach the store.
	lacksStore map[hitchfleet.InstanceID]bool
	services   map[hitchfleet.ServiceID]*rolloutDecision
	// stops are the notices that are sent until the view has a later step.
	stops map[hitchfleet.ServiceID]hitchrollout.StopMsg
}

// rolloutDecision is the state of the decisions about one service.
type rolloutDecision struct {
	tally hitchrollout.Tally
	// tallyOrder is the order of the newest counts in tally.
	tallyOrder hitchfleet.Revision
	// isBusy is set while a step is written to the store.
	isBusy bool
	// written is the record that this instance has written or read back, and revision that of
	// the store that wrote it. The view has it a little later.
	written  *hitchrollout.Record
	revision hitchfleet.Revision
	retryAt  time.Time
	loggedAt time.Time
	// rollback is the first step that this instance decided to roll the order back. Later ones
	// only follow from it, while it couldn't be written.
	rollback hitchrollout.Step
	// unlistedSince is since when no endpoint of a version that the ended rollout excludes is
	// listed; the zero time if one is.
	unlistedSince time.Time
}

// withFirstReason returns a step with the reason of the first one that rolls the order back.
func (d *rolloutDecision) withFirstReason(step hitchrollout.Step) hitchrollout.Step {
	if !step.IsChange || step.Record.Phase != hitchrollout.Reverted {
		return step
	}
	first := &d.rollback
	if first.Record.OrderRevision != step.Record.OrderRevision || first.Record.Service == "" {
		*first = step
	}
	step.Record.Reason, step.Reason, step.Evidence = first.Record.Reason, first.Reason, first.Evidence
	return step
}

// of returns the state of a service, which is created on first use.
func (d *rolloutDecisions) of(service hitchfleet.ServiceID) *rolloutDecision {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.services == nil {
		d.services = make(map[hitchfleet.ServiceID]*rolloutDecision)
	}
	if d.services[service] == nil {
		d.services[service] = &rolloutDecision{}
	}
	return d.services[service]
}

// setHub records whether this instance is a hub that gets the counts of all instances, and returns
// since when it is.
func (d *rolloutDecisions) setHub(now time.Time, isHub bool) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case !isHub:
		d.since = time.Time{}
	case d.since.IsZero():
		d.since = now
	}
	return d.since
}

// recordDigest records a digest of a hub.
func (d *rolloutDecisions) recordDigest(now time.Time, hub hitchfleet.InstanceID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.digestAt == nil {
		d.digestAt = make(map[hitchfleet.InstanceID]time.Time)
	}
	d.digestAt[hub] = now
}

// recordStatus records whether a hub reaches the store.
func (d *rolloutDecisions) recordStatus(hub hitchfleet.InstanceID, isStoreReachable bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lacksStore == nil {
		d.lacksStore = make(map[hitchfleet.InstanceID]bool)
	}
	d.lacksStore[hub] = !isStoreReachable
}

// isHubUnable reports whether a hub can't take steps: no digest of it has come for a while, though
// there was one, or it doesn't reach the store.
func (d *rolloutDecisions) isHubUnable(now time.Time, hub hitchfleet.InstanceID, silence time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.digestAt[hub]
	return ok && now.Sub(at) > silence || d.lacksStore[hub]
}

// addStop records a stop notice to pass on. It reports whether that is another one than before.
func (d *rolloutDecisions) addStop(stop hitchrollout.StopMsg) (isNew bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stops == nil {
		d.stops = make(map[hitchfleet.ServiceID]hitchrollout.StopMsg)
	}
	isNew = d.stops[stop.Service] != stop
	d.stops[stop.Service] = stop
	return isNew
}

// currentStops returns the notices that the view hasn't overtaken, and drops the others.
func (d *rolloutDecisions) currentStops(view hitchview.View) (out []hitchrollout.StopMsg) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.stops) == 0 {
		return nil
	}
	known := view.Rollouts()
	for service, stop := range d.stops {
		r, ok := known[service]
		isOvertaken := r.HasRecord && r.Record.OrderRevision == stop.OrderRevision && r.Record.Step > stop.Step
		isOfOtherOrder := r.HasOrder && r.OrderID != stop.OrderRevision
		if !ok || isOvertaken || isOfOtherOrder {
			delete(d.stops, service)
			continue
		}
		out = append(out, stop)
	}
	return out
}

// sendRollouts sends this instance's counts to the hubs while an order is active, and from a hub
// the stop notices to all instances.
func (e *Edge) sendRollouts(socket *net.UDPConn, r *region) {
	if len(e.gateway.Rollouts()) == 0 {
		return
	}
	now := time.Now()
	self := e.Settings.Self.ID
	hubs := e.rolloutHubs(r)
	for _, counts := range e.gateway.RolloutCounts(now) {
		msg := hitchdigest.RolloutCountsMsg{From: self, Incarnation: uint64(e.gateway.StartedAt.UnixNano()), Counts: counts}
		if r.roles.WatchesStore(self) {
			e.receiveRolloutCounts(now, msg)
		}
		e.send(socket, hitchdigest.Packet{RolloutCounts: &msg}, hubs...)
	}
	e.sendRolloutStops(socket, r)
}

// sendRolloutStops sends the stop notices that still apply, if this instance is a hub or decides in
// place of one: then the hubs pass them on.
func (e *Edge) sendRolloutStops(socket *net.UDPConn, r *region) {
	if !r.roles.WatchesStore(e.Settings.Self.ID) {
		return
	}
	if stops := e.rollouts.currentStops(e.gateway.View()); len(stops) > 0 {
		msg := hitchdigest.RolloutStopsMsg{From: e.Settings.Self.ID, Stops: stops}
		e.send(socket, hitchdigest.Packet{RolloutStops: &msg}, e.recipients(time.Now(), r)...)
	}
}

// receiveRolloutCounts adds the counts of an instance.
func (e *Edge) receiveRolloutCounts(now time.Time, m hitchdigest.RolloutCountsMsg) {
	if e.gateway.Rollout(m.Counts.Service) == nil {
		return
	}
	d := e.rollouts.of(m.Counts.Service)
	d.tally.Add(now, m.From, m.Incarnation, m.Counts)
	e.rollouts.mu.Lock()
	defer e.rollouts.mu.Unlock()
	d.tallyOrder = max(d.tallyOrder, m.Counts.InForce.OrderRevision)
}

// tallyOf returns the tally of an order. It is empty before the first counts of the order, as those
// of the one before say that instances have stopped for that one.
func (d *rolloutDecisions) tallyOf(r *rolloutDecision, order hitchfleet.Revision) *hitchrollout.Tally {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.tallyOrder != order {
		return &hitchrollout.Tally{}
	}
	return &r.tally
}

// receiveRolloutStops applies stop notices. A hub passes them on to its region.
func (e *Edge) receiveRolloutStops(now time.Time, m hitchdigest.RolloutStopsMsg) {
	for _, stop := range m.Stops {
		if e.gateway.StopRollout(now, stop) {
			e.Log.Warn("less is sent to the new version after a notice", "Service", stop.Service, "Phase", stop.Phase, "Step", stop.Step, "Order", stop.OrderRevision, "From", m.From)
			e.rollouts.addStop(stop)
		}
	}
}

// followRollouts decides about rollouts while this instance is the one that does, until ctx
// ends.
func (e *Edge) followRollouts(ctx context.Context) {
	ticker := time.NewTicker(rolloutInterval)
	defer ticker.Stop()
	var decidedAt time.Time
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		now := time.Now()
		if len(e.gateway.Rollouts()) > 0 && e.watchesStore() && e.follower.KeepsUpWithStore() {
			e.gateway.ContactRollouts(now)
		}
		since, ok := e.decidesRollouts(now)
		// A tick comes a little early or late.
		interval := sendInterval(len(e.currentRegion().instances))/decisionDivisor - rolloutInterval/2
		if !ok || now.Sub(decidedAt) < interval {
			continue
		}
		decidedAt = now
		known := e.gateway.View().Rollouts()
		for _, service := range slices.Sorted(maps.Keys(known)) {
			if state := e.gateway.Rollout(service); state != nil {
				e.decideRollout(ctx, now, since, known[service], state)
			}
		}
	}
}

// decideRollout decides the next step of a rollout. The store is written to in a goroutine, so
// that one service doesn't delay another.
func (e *Edge) decideRollout(ctx context.Context, now, since time.Time, known hitchview.Rollout, state *hitchingress.Rollout) {
	service := known.Order.Service
	if known.HasRecord {
		service = known.Record.Service
	}
	d := e.rollouts.of(service)
	record, revision, isDue := e.rollouts.begin(now, d, known, e.gateway.View().Revision.Era())
	e.trackExcluded(now, d, known, record)
	step := d.withFirstReason(e.nextRolloutStep(now, since, known, state, d, record, revision))
	if step.Stop != nil {
		e.stopRollout(now, *step.Stop)
	}
	switch {
	case !isDue:
		return
	case !step.IsChange:
		e.logRolloutState(now, d, record, step)
		e.rollouts.end(d)
		return
	}
	change := hitchplatform.RolloutStep{Record: step.Record, RecordRevision: revision}
	if known.HasOrder {
		change.OrderRevision = known.OrderRevision
	}
	if isSame := record != nil && record.Phase.IsEnded() && record.OrderRevision == step.Record.OrderRevision; isSame {
		change.IsReleased = known.IsReleased || d.isReleasable(now, known)
		d.unlistedSince = time.Time{} // until the view has what is written
	}
	go func() {
		defer e.rollouts.end(d)
		e.writeRollout(ctx, d, change, step)
	}()
}

// begin returns the record that is in force and its revision in the store, which is in an era. It
// returns false if a step is being written, or isn't due. Otherwise end follows.
func (d *rolloutDecisions) begin(now time.Time, r *rolloutDecision, known hitchview.Rollout, era int64) (record *hitchrollout.Record, revision hitchfleet.Revision, isDue bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	isDue = !r.isBusy && !now.Before(r.retryAt)
	r.isBusy = r.isBusy || isDue
	if known.HasRecord {
		record, revision = &known.Record, known.RecordRevision
	}
	if r.written != nil && r.revision > revision && r.revision.Era() == era {
		record, revision = r.written, r.revision
	}
	return record, revision, isDue
}

// end records that the step was written, or needn't be.
func (d *rolloutDecisions) end(r *rolloutDecision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r.isBusy = false
}

// nextRolloutStep returns the next step of a rollout. A record that a store has lost which came
// back from an older copy is written again.
func (e *Edge) nextRolloutStep(now, since time.Time, known hitchview.Rollout, state *hitchingress.Rollout, d *rolloutDecision, record *hitchrollout.Record, revision hitchfleet.Revision) hitchrollout.Step {
	controller := hitchrollout.Controller{Bounds: hitchrollout.Bounds{ExposeShare: e.Settings.Bounds.ExposeShare, ExposeSlack: int(e.Settings.Bounds.ExposeSlack)}}
	order := state.Order()
	switch {
	case known.IsUnwritten && revision == known.RecordRevision:
		return hitchrollout.Step{IsChange: true, Record: *record, Reason: "the store came back without the record"}
	case known.HasOrder && order != nil:
		if isReleased := known.IsReleased && revision == known.RecordRevision; isReleased && !record.IsFor(*order) {
			record = nil
		}
		if record != nil {
			record = hitchingress.CurrentOrPrevious(*order, *record, e.gateway.View().Endpoints())
		}
		if record != nil && record.IsFor(*order) && d.isReleasable(now, known) {
			return hitchrollout.Step{IsChange: true, Record: *record, Reason: "no endpoint of an excluded version is listed any more"}
		}
		if record != nil {
			own := state.WithOwnDeadline(*record)
			record = &own
		}
		return controller.Decide(now, *order, record, e.rollouts.tallyOf(d, order.Revision), e.rolloutFleet(now, since, order.Service))
	case !known.HasOrder && record != nil && !record.Phase.IsEnded():
		return controller.Withdraw(now, *record)
	case !known.HasOrder && record != nil && d.isReleasable(now, known):
		return hitchrollout.Step{IsChange: true, Record: *record, Reason: "no endpoint of an excluded version is listed any more"}
	default:
		return hitchrollout.Step{}
	}
}

// trackExcluded records since when no endpoint of a version is listed that an ended rollout
// excludes.
func (e *Edge) trackExcluded(now time.Time, d *rolloutDecision, known hitchview.Rollout, record *hitchrollout.Record) {
	if record == nil || !record.Phase.IsEnded() {
		d.unlistedSince = time.Time{}
		return
	}
	excluded := hitchingress.Excluded(*record)
	isListed := slices.ContainsFunc(e.gateway.View().AllEndpoints(), func(x hitchfleet.Endpoint) bool {
		return x.Service == record.Service && slices.Contains(excluded, x.Version)
	})
	switch {
	case isListed:
		d.unlistedSince = time.Time{}
	case d.unlistedSince.IsZero():
		d.unlistedSince = now
	}
}

// isReleasable reports whether versions that an ended rollout excludes may be used again.
func (d *rolloutDecision) isReleasable(now time.Time, known hitchview.Rollout) bool {
	return !known.IsReleased && !d.unlistedSince.IsZero() && now.Sub(d.unlistedSince) >= releaseTime
}

// rolloutFleet returns what a decision needs to know of the fleet. Instances that are stopping
// count until they report no more.
func (e *Edge) rolloutFleet(now, since time.Time, service hitchfleet.ServiceID) hitchrollout.Fleet {
	view := e.gateway.View()
	fleet := hitchrollout.Fleet{HubSince: since}
	for _, x := range view.AllEndpoints() {
		if x.Service == service {
			fleet.Endpoints = append(fleet.Endpoints, x)
		}
	}
	instances := view.Instances()
	for _, i := range slices.Concat(instances, e.unlisted.Instances(now, instances)) {
		if !e.liveness.IsSilent(now, i.ID) {
			fleet.Live = append(fleet.Live, i.ID)
		}
	}
	return fleet
}

// stopRollout applies a stop notice and sends it to all instances.
func (e *Edge) stopRollout(now time.Time, stop hitchrollout.StopMsg) {
	e.gateway.StopRollout(now, stop)
	if !e.rollouts.addStop(stop) {
		return
	}
	e.Log.Warn("less is to be sent to the new version", "Service", stop.Service, "Phase", stop.Phase, "Step", stop.Step, "Order", stop.OrderRevision)
	if socket := e.socket.Load(); socket != nil {
		e.sendRolloutStops(socket, e.currentRegion())
	}
}

// writeRollout writes a step to the store. If the response is lost, or another instance has
// written a record, what the store has is read before anything is decided again.
func (e *Edge) writeRollout(ctx context.Context, d *rolloutDecision, change hitchplatform.RolloutStep, step hitchrollout.Step) {
	revision, err := e.store.PutRollout(ctx, change)
	if err == nil {
		e.rollouts.setWritten(d, change.Record, revision)
		e.logRolloutStep("rollout step", step)
		return
	}
	record, revision, readErr := e.store.RolloutRecord(ctx, change.Record.Service)
	isWritten := readErr == nil && record.Equal(change.Record)
	switch {
	case isWritten:
		e.rollouts.setWritten(d, record, revision)
		e.logRolloutStep("rollout step, whose response was lost", step)
		return
	case readErr == nil && revision != change.RecordRevision:
		e.rollouts.setWritten(d, record, revision)
	}
	e.rollouts.putOff(d, time.Now().Add(rolloutRetryDelay))
	e.Log.Warn("failed to write a rollout step", "Service", change.Record.Service, "Phase", change.Record.Phase, "Step", change.Record.Step,
		"IsConflict", errors.Is(err, hitchplatform.ErrConflict), "Error", err, "Found", record.Phase, "FoundStep", record.Step, "FoundRevision", revision, "ReadError", readErr)
}

// setWritten records what the store has, which the view has a little later.
func (d *rolloutDecisions) setWritten(r *rolloutDecision, record hitchrollout.Record, revision hitchfleet.Revision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r.written, r.revision = &record, revision
}

// putOff puts off the next decision.
func (d *rolloutDecisions) putOff(r *rolloutDecision, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r.retryAt = until
}

// logRolloutStep logs a step with its reason, and the counts and their ages.
func (e *Edge) logRolloutStep(message string, step hitchrollout.Step) {
	e.Log.Info(message, step.LogPairs(time.Now())...)
}

// logRolloutState logs the state of an active rollout from time to time.
func (e *Edge) logRolloutState(now time.Time, d *rolloutDecision, record *hitchrollout.Record, step hitchrollout.Step) {
	if record == nil || record.Phase.IsEnded() || now.Sub(d.loggedAt) < rolloutLogInterval {
		return
	}
	d.loggedAt = now
	step.Record = *record
	e.logRolloutStep("rollout continues", step)
}
