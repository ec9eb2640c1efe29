package hitchedge

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"citronhitch.example/citronhitch/hitchdigest"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchquota"
)

// holdingInterval is how often the owners of endpoints that limit what is in flight are told what
// this instance has, as a message may be lost.
const holdingInterval = time.Second

// keepTime is how long the place of a request that has ended is kept for another one. One of
// returnedShare places is given back all the same, so that other instances get some.
const (
	keepTime      = 10 * time.Millisecond
	returnedShare = 8
)

// permits asks the owners of endpoints for permits, and gives those for its own endpoints.
// The zero value is ready to use.
type permits struct {
	// issuer gives permits as an owner. If no owner responds, reserve gives this instance its
	// share of an equal division.
	issuer    hitchquota.Issuer
	reserve   hitchquota.Issuer
	questions questions[hitchquota.Permit]
	// holdings counts the open questions.
	holdings hitchquota.Holdings
}

// askPermit asks for a permit for a request to an endpoint that was picked.
func (e *Edge) askPermit(ctx context.Context, endpoint hitchfleet.Endpoint) hitchquota.Permit {
	if e.permits.holdings.TakeKept(endpoint.Run()) {
		return hitchquota.Permit{IsGranted: true}
	}
	permit := e.askPermitOf(ctx, endpoint.Run(), func() int { return e.balancer.InFlight(endpoint.ID) })
	if permit.IsGranted && e.gateway.Quotas.Quota(time.Now(), endpoint.Run()).MaxInFlight > 0 {
		e.tellHolding(endpoint)
	}
	return permit
}

// askPermitOf asks for a permit for a request to a run of an endpoint, for which this instance has
// picked a number of requests.
func (e *Edge) askPermitOf(ctx context.Context, run hitchfleet.RunID, picked func() int) hitchquota.Permit {
	end := e.permits.holdings.Begin(run)
	defer end()
	holding := func() hitchquota.Holding { return e.permits.holdings.Holding(run, picked(), 1) }
	permit, ok := askOwner(ctx, e, question[hitchquota.Permit]{
		isPatient: e.gateway.Quotas.Quota(time.Now(), run).MaxInFlight > 0, // the place would stay empty
		about:     "permit", key: hitchfleet.Key(run), questions: &e.permits.questions,
		packet: func(id uint32) hitchdigest.Packet {
			notice := e.gateway.Quotas.Notice(time.Now(), run)
			return hitchdigest.Packet{PermitRequest: &hitchquota.PermitRequestMsg{ID: id, From: e.Settings.Self.ID, Notice: notice, Holding: holding()}}
		},
		isReady: func(now time.Time) bool { return e.knowsPlaces(now, run) },
		decide:  func(now time.Time) hitchquota.Permit { return e.issuePermit(now, run, e.Settings.Self.ID, holding()) },
	})
	now := time.Now()
	switch {
	case ok:
		return permit
	case ctx.Err() != nil:
		return hitchquota.Permit{AvailableAt: now, ReturnAt: now}
	}
	quota, instances := e.gateway.Quotas.Quota(now, run), len(e.liveInstances())
	quota.PerSecond /= float64(instances)
	if quota.MaxInFlight > 0 { // the owners may be busy, and go on giving permits
		return hitchquota.Permit{IsFull: true, AvailableAt: now, ReturnAt: now}
	}
	return e.permits.reserve.Issue(now, run, quota)
}

// issuePermit gives an instance a permit as an owner. The second owner keeps one place back, as
// the first one may go on giving permits.
func (e *Edge) issuePermit(now time.Time, run hitchfleet.RunID, to hitchfleet.InstanceID, h hitchquota.Holding) hitchquota.Permit {
	quota := e.gateway.Quotas.Quota(now, run)
	if quota.MaxInFlight > 1 && hitchfleet.Owners(hitchfleet.Key(run), e.liveInstances(), 1)[0].ID != e.Settings.Self.ID {
		quota.MaxInFlight--
	}
	return e.permits.issuer.IssueTo(now, run, quota, to, h)
}

// release records that a request has ended at an endpoint that limits what is in flight. If others
// wait for room, its place is kept for them for a moment, without a question to the owner.
func (e *Edge) release(endpoint hitchfleet.Endpoint, isAwaited bool) {
	if !isAwaited || rand.IntN(returnedShare) == 0 {
		e.tellHolding(endpoint)
		return
	}
	run := endpoint.Run()
	e.permits.holdings.Keep(run)
	time.AfterFunc(keepTime, func() {
		if e.permits.holdings.TakeKept(run) {
			e.tellHolding(endpoint)
		}
	})
}

// knowsPlaces reports whether this instance may give permits for a run of an endpoint. One that
// was paused has yet to learn what is in flight, if the endpoint limits that.
func (e *Edge) knowsPlaces(now time.Time, run hitchfleet.RunID) bool {
	return e.gateway.Quotas.Quota(now, run).MaxInFlight == 0 || e.currency.isSettled(now)
}

// tellHolding tells the owners of an endpoint that limits what is in flight how much this instance
// has: the second one too, which takes over if the first one doesn't respond.
func (e *Edge) tellHolding(endpoint hitchfleet.Endpoint) {
	now, run := time.Now(), endpoint.Run()
	holding := e.permits.holdings.Holding(run, e.balancer.InFlight(endpoint.ID), 0)
	for _, owner := range hitchfleet.Owners(hitchfleet.Key(run), e.liveInstances(), ownerCount) {
		if owner.ID == e.Settings.Self.ID {
			e.permits.issuer.Hold(now, run, owner.ID, holding)
		} else if socket := e.socket.Load(); socket != nil {
			e.send(socket, hitchdigest.Packet{Holding: &hitchquota.HoldingMsg{From: e.Settings.Self.ID, Run: run, Holding: holding}}, owner)
		}
	}
}

// tellHoldings tells the owners of all such endpoints what this instance has in flight.
func (e *Edge) tellHoldings() {
	now := time.Now()
	for _, endpoint := range e.gateway.View().AllEndpoints() {
		if e.gateway.Quotas.Quota(now, endpoint.Run()).MaxInFlight > 0 && e.balancer.InFlight(endpoint.ID) > 0 {
			e.tellHolding(endpoint)
		}
	}
}

// trackHoldings calls tellHoldings periodically until ctx ends.
func (e *Edge) trackHoldings(ctx context.Context) {
	ticker := time.NewTicker(holdingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.tellHoldings()
			e.slotBroker.tellHoldings(time.Now())
		}
	}
}

// answerPermit answers the question of another instance.
func (e *Edge) answerPermit(now time.Time, m hitchquota.PermitRequestMsg, from *net.UDPAddr) {
	socket := e.socket.Load()
	if socket == nil {
		return
	}
	e.gateway.ReceiveQuotas(now, hitchquota.NoticesMsg{From: m.From, Notices: []hitchquota.Notice{m.Notice}}, false)
	if !e.knowsPlaces(now, m.Notice.Run) {
		return // the next owner is asked
	}
	reply := e.issuePermit(now, m.Notice.Run, m.From, m.Holding).Reply(now, m.ID)
	e.sendTo(socket, hitchdigest.Packet{PermitReply: &reply}, from.AddrPort())
}
