package hitchadmit

import (
	"sync/atomic"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// grant is a slot in use.
type grant struct {
	asker    hitchfleet.InstanceID
	tenant   *tenant
	cost     int64
	since    time.Time
	deadline time.Time
}

// holder is what one asker holds by grants of other owners.
type holder struct {
	holding  Holding
	deadline time.Time
}

// endpoint is what a router knows of one endpoint. Its shard's lock guards it,
// but for the published fields.
type endpoint struct {
	spec  hitchfleet.Endpoint
	pool  *pool
	owned bool
	// open is false while the endpoint leaves or its zone is out.
	open bool
	// handed is set once the owner passed the endpoint on.
	handed bool
	// takeover is until when a new owner uses TakeoverShare of the bound only.
	takeover time.Time

	grants  map[GrantID]grant
	granted Holding
	foreign map[hitchfleet.InstanceID]holder
	// claim is what another router says that it granted here.
	claim holder
	// stray is reported work that no grant explains.
	stray holder
	// slots is how many requests the endpoint runs at once, or 0 if unknown.
	slots int64
	// reported is the time of the last load report.
	reported time.Time
	// remote is the load by the digest of the endpoint's owner.
	remote holder
	// learned is when the last digest came.
	learned     time.Time
	history     history
	warmth      warmth
	tenants     tenants
	queue       queue
	meanHolding float64 // seconds that a grant lasts, as a moving average

	// swept is when deadlines were last looked at.
	swept time.Time

	// publishedLoad and publishedOpen are read by other shards.
	publishedLoad atomic.Int64
	publishedOpen atomic.Bool
	inPool        bool
	inPoolLoad    int64
	inPoolOpen    bool
}

// elsewhere is what owners other than this one granted, by the askers' word and
// by the digests, whichever is more.
func (e *endpoint) elsewhere() Holding {
	var h Holding
	for _, f := range e.foreign {
		h.Cost += f.holding.Cost
		h.Requests += f.holding.Requests
	}
	h.Cost = max(h.Cost, e.claim.holding.Cost)
	h.Requests = max(h.Requests, e.claim.holding.Requests)
	return h
}

// load is all known work in hand at the endpoint.
func (e *endpoint) load() Holding {
	if !e.owned {
		return e.remote.holding
	}
	h := e.elsewhere()
	h.Cost += e.granted.Cost + e.stray.holding.Cost
	h.Requests += e.granted.Requests + e.stray.holding.Requests
	return h
}

// publish brings the pool's sums up to date.
func (e *endpoint) publish() {
	if e.pool == nil {
		return
	}
	serving := e.open && !e.publishedCold()
	var load int64
	if serving {
		load = e.load().Cost
	}
	e.pool.total.Add(load - e.inPoolLoad)
	e.pool.serving.Add(delta(e.inPool, serving))
	e.pool.open.Add(delta(e.inPoolOpen, e.open))
	e.inPool, e.inPoolLoad, e.inPoolOpen = serving, load, e.open
	e.publishedLoad.Store(load)
	e.publishedOpen.Store(serving)
}

// publishedCold tells whether the endpoint is left out of the mean. An endpoint
// of another owner that nobody spoke of counts as serving: that lowers the mean.
func (e *endpoint) publishedCold() bool {
	if e.owned {
		return e.warmth.cold()
	}
	return e.warmth.phase == phaseCold
}

func delta(was, is bool) int64 {
	switch {
	case is && !was:
		return 1
	case was && !is:
		return -1
	default:
		return 0
	}
}

// setForeign notes what an asker holds by grants of other owners.
func (e *endpoint) setForeign(now time.Time, asker hitchfleet.InstanceID, h Holding) {
	if h.Cost <= 0 && h.Requests <= 0 {
		if len(e.foreign) > 0 {
			delete(e.foreign, asker)
		}
		return
	}
	if e.foreign == nil {
		e.foreign = make(map[hitchfleet.InstanceID]holder)
	}
	h = Holding{Cost: max(h.Cost, 0), Requests: max(h.Requests, 0)}
	e.foreign[asker] = holder{holding: h, deadline: now.Add(GrantLife)}
}

// addGrant gives a slot.
func (e *endpoint) addGrant(now time.Time, a *Ask, t *tenant) time.Time {
	if e.grants == nil {
		e.grants = make(map[GrantID]grant)
	}
	g := grant{asker: a.Asker, tenant: t, cost: a.Cost, since: now, deadline: now.Add(GrantLife)}
	e.grants[a.ID] = g
	e.granted.Cost += g.cost
	e.granted.Requests++
	e.tenants.change(t, func(t *tenant) {
		t.granted.Cost += g.cost
		t.granted.Requests++
	})
	e.history.record(now, e.granted)
	return g.deadline
}

// dropGrant takes a slot back.
func (e *endpoint) dropGrant(now time.Time, id GrantID, g grant) {
	delete(e.grants, id)
	e.granted.Cost -= g.cost
	e.granted.Requests--
	e.tenants.change(g.tenant, func(t *tenant) {
		t.granted.Cost -= g.cost
		t.granted.Requests--
	})
	e.history.record(now, e.granted)
}

// holdingGain is the weight of a new sample in the mean time of a grant.
const holdingGain = 0.1

// release takes a slot back whose work is done and learns how long it took.
func (e *endpoint) release(now time.Time, id GrantID) {
	g, ok := e.grants[id]
	if !ok {
		return
	}
	e.dropGrant(now, id, g)
	took := now.Sub(g.since).Seconds()
	if e.meanHolding == 0 {
		e.meanHolding = took
	}
	e.meanHolding += holdingGain * (took - e.meanHolding)
}

// sweepEvery is how often deadlines are looked at.
const sweepEvery = 100 * time.Millisecond

// expire ends what has passed its deadline. A grant that lapses may still run: it
// counts as stray work until the next load report.
func (e *endpoint) expire(now time.Time) {
	if now.Sub(e.swept) < sweepEvery {
		return
	}
	e.swept = now
	for id, g := range e.grants {
		if now.After(g.deadline) {
			e.dropGrant(now, id, g)
			e.stray.holding.Cost += g.cost
			e.stray.holding.Requests++
			e.stray.deadline = now.Add(ReportLife)
		}
	}
	for asker, f := range e.foreign {
		if now.After(f.deadline) {
			delete(e.foreign, asker)
		}
	}
	for _, h := range []*holder{&e.claim, &e.stray, &e.remote} {
		if now.After(h.deadline) {
			*h = holder{}
		}
	}
}

// report takes a load report: work that the grants of its time don't explain is
// counted as stray, so that grants made since are counted on top of it.
func (e *endpoint) report(now, asOf time.Time, r LoadReport) {
	if asOf.Before(e.reported) {
		return
	}
	e.reported, e.slots = asOf, r.Slots
	then := e.history.at(asOf)
	other := e.elsewhere()
	e.stray = holder{
		holding: Holding{
			Cost:     max(r.Load-then.Cost-other.Cost, 0),
			Requests: max(r.Requests-then.Requests-other.Requests, 0),
		},
		deadline: now.Add(ReportLife),
	}
	e.warmth.report(now, r, then)
}
