package hitchadmit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"citronhitch.example/citronhitch/hitchfleet"
)

// The sizes of the model fleet, and the longest time for which its routers
// disagree.
const (
	modelRouters         = 5
	modelEngines         = 6
	modelFloor           = 300
	modelCost            = 30
	modelBurstSize       = 40
	modelMaxDisagreement = 4 * time.Second
	modelMaxStep         = time.Second // the longest time between two events
	modelHistoryWindow   = GrantTTL + DigestTTL + 2*HeartbeatInterval
)

// modelFleet simulates a fleet in which routers learn late which routers are
// live, messages are lost, clocks jump, and engines are unlisted, relisted and
// become cold. It checks each grant against the work that is actually in use.
type modelFleet struct {
	now              time.Time
	routers          [modelRouters]*modelRouter
	live             [modelRouters]bool
	changeTimes      []time.Time
	available        [modelEngines]bool
	unavailableSince [modelEngines]time.Time // valid while the engine isn't available
	cold             [modelEngines]bool
	inUse            map[GrantID]SlotRequest
	loadHistory      []modelLoads
	nextID           GrantID
}

type modelRouter struct {
	self         hitchfleet.Instance
	controller   Controller
	heldSlots    HeldSlots
	clockOffset  time.Duration
	updateViewAt time.Time
	view         [modelRouters]bool
	reportedCold [modelEngines]bool // by the last load reports
}

type modelLoads struct {
	at    time.Time
	loads [modelEngines]int64
	// serving is the lowest count of serving engines in any router's pools.
	serving int64
}

func newModelFleet() *modelFleet {
	f := &modelFleet{now: start, inUse: make(map[GrantID]SlotRequest)}
	for i, self := range routers(modelRouters) {
		r := &modelRouter{self: self}
		r.heldSlots.Self = self.ID
		r.controller.Limits = Limits{EngineFloor: modelFloor, EngineCapacity: 1 << 20}
		f.routers[i], f.live[i] = r, true
	}
	for i := range f.available {
		f.available[i] = true
	}
	for _, r := range f.routers {
		f.updateView(r)
	}
	for range 20 {
		f.advanceTime(time.Second, nil)
	}
	return f
}

func (r *modelRouter) localTime(now time.Time) time.Time { return now.Add(r.clockOffset) }

// updateView sets the current members on a router.
func (f *modelFleet) updateView(r *modelRouter) {
	r.view, r.updateViewAt = f.live, time.Time{}
	fleet := FleetView{Self: r.self.ID, ListedRouters: modelRouters, ValidUntil: r.localTime(f.now).Add(modelMaxDisagreement)}
	for i, other := range f.routers {
		if f.live[i] || other == r {
			fleet.LiveRouters = append(fleet.LiveRouters, other.self)
		}
	}
	for i, e := range engines(modelEngines) {
		if f.available[i] {
			fleet.Endpoints = append(fleet.Endpoints, e)
		}
	}
	f.deliver(nil, r, r.controller.SetFleetView(r.localTime(f.now), fleet, nil))
}

func (f *modelFleet) isLive(r *modelRouter) bool {
	for i := range f.routers {
		if f.routers[i] == r {
			return f.live[i]
		}
	}
	return false
}

// ownerOf returns an endpoint's owner by a router's view.
func (f *modelFleet) ownerOf(r *modelRouter, id hitchfleet.EndpointID) *modelRouter {
	var live []hitchfleet.Instance
	for i, other := range f.routers {
		if r.view[i] || other == r {
			live = append(live, other.self)
		}
	}
	owner, _ := Owner(id, "se-south", live)
	return f.byID(owner.ID)
}

func (f *modelFleet) byID(id hitchfleet.InstanceID) *modelRouter {
	for _, r := range f.routers {
		if r.self.ID == id {
			return r
		}
	}
	return nil
}

// canReach reports whether two routers can exchange messages. A router that
// isn't live reaches only itself.
func (f *modelFleet) canReach(a, b *modelRouter) bool {
	return a == b || (f.isLive(a) && f.isLive(b))
}

func engineIndex(id hitchfleet.EndpointID) int {
	var i int
	_, _ = fmt.Sscanf(string(id), "guide-llm-%d", &i)
	return i
}

// deliver passes deferred decisions to the routers that requested the slots.
func (f *modelFleet) deliver(t *rapid.T, owner *modelRouter, deferred []DeferredDecision) {
	for _, d := range deferred {
		requester := f.byID(d.Requester)
		if d.Decision.Verdict == Granted && f.canReach(owner, requester) {
			req := f.inUse[d.Decision.ID] // queued requests are stored with a negative cost
			req.Cost = -req.Cost
			f.startWork(t, owner, requester, req)
		}
		if d.Decision.Verdict == Refused {
			delete(f.inUse, d.Decision.ID)
		}
	}
}

// startWork starts work on a grant and checks the invariants.
func (f *modelFleet) startWork(t *rapid.T, owner, requester *modelRouter, req SlotRequest) {
	f.inUse[req.ID] = req
	requester.heldSlots.Add(req, owner.self)
	i := engineIndex(req.Endpoint)
	usage := f.usageByEngine()
	f.recordLoads()
	if bound := f.maxKnownBound(req.Cost); usage[i].Cost > bound {
		t.Fatalf("%s holds %d, above its bound %d", req.Endpoint, usage[i].Cost, bound)
	}
	if f.cold[i] && owner.reportedCold[i] && usage[i].Requests > DefaultColdLimit {
		t.Fatalf("%s is cold and holds %d requests", req.Endpoint, usage[i].Requests)
	}
	if !f.available[i] && f.now.Sub(f.unavailableSince[i]) > modelMaxDisagreement+modelMaxStep {
		t.Fatalf("%s got work %v after it was unlisted", req.Endpoint, f.now.Sub(f.unavailableSince[i]))
	}
}

// usageByEngine returns the work in use at each engine.
func (f *modelFleet) usageByEngine() (usage [modelEngines]Usage) {
	for _, req := range f.inUse {
		if req.Cost > 0 {
			i := engineIndex(req.Endpoint)
			usage[i].Cost += req.Cost
			usage[i].Requests++
		}
	}
	return usage
}

// recordLoads records the most that is granted or in use now at each engine.
func (f *modelFleet) recordLoads() {
	now := modelLoads{at: f.now, serving: modelEngines}
	for _, r := range f.routers {
		for _, p := range r.controller.pools {
			now.serving = min(now.serving, p.serving.Load())
		}
		for _, l := range r.controller.Digest(r.localTime(f.now)).Loads {
			now.loads[engineIndex(l.Endpoint)] += l.Load
		}
	}
	for i, usage := range f.usageByEngine() {
		now.loads[i] = max(now.loads[i], usage.Cost)
	}
	f.loadHistory = append(f.loadHistory, now)
	for f.now.Sub(f.loadHistory[0].at) > modelHistoryWindow {
		f.loadHistory = f.loadHistory[1:]
	}
}

// maxKnownBound returns the highest bound that any owner can have computed from
// the loads within modelHistoryWindow.
func (f *modelFleet) maxKnownBound(cost int64) int64 {
	var maxLoads [modelEngines]int64
	serving := int64(modelEngines)
	for _, l := range f.loadHistory {
		serving = min(serving, l.serving)
		for i := range maxLoads {
			maxLoads[i] = max(maxLoads[i], l.loads[i])
		}
	}
	var total int64
	for i := range maxLoads {
		total += maxLoads[i]
	}
	return LoadBound(DefaultBoundFactor, modelFloor, total, cost, max(serving, 1))
}

// advanceTime advances the time and runs the periodic work of all routers.
// Without t no message is lost.
func (f *modelFleet) advanceTime(d time.Duration, t *rapid.T) {
	var lost uint32
	if t != nil {
		lost = rapid.Uint32().Draw(t, "lost digests")
	}
	f.now = f.now.Add(d)
	for i, r := range f.routers {
		local := r.localTime(f.now)
		if !r.updateViewAt.IsZero() && !f.now.Before(r.updateViewAt) {
			f.updateView(r)
		} else if f.isLive(r) && !r.controller.RenewFleetView(local, local.Add(modelMaxDisagreement)) {
			f.updateView(r)
		}
		f.deliver(t, r, r.controller.Tick(local, nil))
		for e, usage := range f.usageByEngine() {
			report := LoadReport{Endpoint: engineID(e), AsOf: local, Load: usage.Cost, Requests: usage.Requests, Cold: f.cold[e]}
			r.reportedCold[e] = f.cold[e]
			f.deliver(t, r, r.controller.ApplyLoadReport(local, report, nil))
		}
		for k, other := range f.routers {
			if other != r && f.canReach(r, other) && lost>>(i*modelRouters+k)&1 == 0 {
				other.controller.ApplyDigest(other.localTime(f.now), r.controller.Digest(local))
			}
		}
		f.sendHeartbeats(t, r)
	}
	f.recordLoads()
}

func (f *modelFleet) sendHeartbeats(t *rapid.T, r *modelRouter) {
	ownerOf := func(id hitchfleet.EndpointID) (hitchfleet.Instance, bool) { return f.ownerOf(r, id).self, true }
	for _, b := range r.heldSlots.Heartbeats(ownerOf) {
		owner := f.byID(b.To)
		if !f.canReach(r, owner) {
			continue
		}
		for _, beat := range b.Heartbeats {
			f.deliver(t, owner, owner.controller.HandleHeartbeat(owner.localTime(f.now), beat, nil))
		}
	}
}

// requestRandomSlot requests a slot at a random engine.
func (f *modelFleet) requestRandomSlot(t *rapid.T) {
	f.requestSlot(t, rapid.IntRange(0, modelEngines-1).Draw(t, "engine"))
}

// requestBurst requests many slots at one engine, in most cases the same one,
// so that its bound is reached.
func (f *modelFleet) requestBurst(t *rapid.T) {
	engine := max(rapid.IntRange(-modelEngines, modelEngines-1).Draw(t, "engine"), 0)
	for range modelBurstSize {
		f.requestSlot(t, engine)
	}
}

// requestSlot sends a slot request to the engine's owner by the requester's
// view.
func (f *modelFleet) requestSlot(t *rapid.T, engine int) {
	requester := f.routers[rapid.IntRange(0, modelRouters-1).Draw(t, "requester")]
	id := engineID(engine)
	owner := f.ownerOf(requester, id)
	if !f.canReach(requester, owner) {
		return
	}
	f.nextID++
	sent := requester.localTime(f.now)
	req := SlotRequest{
		ID: f.nextID, Endpoint: id, Requester: requester.self.ID, SentAt: sent, Hops: MaxHops,
		Organisation:    rapid.SampledFrom([]hitchfleet.OrganisationID{"aquarium", "school", "studio"}).Draw(t, "org"),
		Priority:        Priority(rapid.IntRange(0, 1).Draw(t, "priority")),
		Cost:            rapid.Int64Range(modelCost/3, modelCost).Draw(t, "cost"),
		Deadline:        sent.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "max wait")) * time.Second),
		GrantedByOthers: requester.heldSlots.GrantedByOthers(id, owner.self),
	}
	d, deferred := owner.controller.RequestSlot(owner.localTime(f.now), req, nil)
	f.deliver(t, owner, deferred)
	switch {
	case d.Verdict == Queued:
		req.Cost = -req.Cost
		f.inUse[req.ID] = req
	case d.Verdict == Refused && (d.Reason == "" || d.RetryAt.IsZero()):
		t.Fatalf("refusal has no reason or no RetryAt: %+v", d)
	case d.Verdict == Granted && f.nextID%10 > 0:
		f.startWork(t, owner, requester, req)
	}
}

// releaseSlot ends the work of one grant.
func (f *modelFleet) releaseSlot(t *rapid.T) {
	for id := range f.nextID + 1 {
		req := f.inUse[id]
		if req.Cost <= 0 || req.ID%3 != f.nextID%3 {
			continue
		}
		requester := f.byID(req.Requester)
		delete(f.inUse, req.ID)
		r, to, ok := requester.heldSlots.Remove(req.ID, req.Endpoint)
		owner := f.byID(to)
		if ok && f.canReach(requester, owner) && req.ID%5 > 0 { // a fifth of the releases is lost
			f.deliver(t, owner, owner.controller.ReleaseSlot(owner.localTime(f.now), r, nil))
		}
	}
}

// changeMembership makes a router or an engine leave or return. The routers
// learn of it within modelMaxDisagreement; at most two changes happen within
// one takeover.
func (f *modelFleet) changeMembership(t *rapid.T) {
	if n := len(f.changeTimes); n >= 2 && f.now.Sub(f.changeTimes[n-2]) < TakeoverWindow+modelMaxDisagreement {
		return
	}
	f.changeTimes = append(f.changeTimes, f.now)
	if i := rapid.IntRange(0, modelRouters+modelEngines-1).Draw(t, "changed"); i < modelRouters {
		f.live[i] = !f.live[i]
	} else {
		f.available[i-modelRouters] = !f.available[i-modelRouters]
		f.unavailableSince[i-modelRouters] = f.now
	}
	for i, r := range f.routers {
		if f.live[i] && r.updateViewAt.IsZero() {
			r.updateViewAt = f.now.Add(time.Duration(rapid.IntRange(0, 4).Draw(t, "view update delay")) * time.Second)
		}
	}
}

func TestInvariantsOverRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newModelFleet()
		actions := map[string]func(*rapid.T){
			"acquire": f.requestRandomSlot,
			"burst":   f.requestBurst,
			"time": func(t *rapid.T) {
				f.advanceTime(time.Duration(rapid.IntRange(1, 10).Draw(t, "tenths"))*100*time.Millisecond, t)
			},
			"release": f.releaseSlot,
			"change":  f.changeMembership,
			"clock": func(t *rapid.T) {
				r := f.routers[rapid.IntRange(0, modelRouters-1).Draw(t, "router")]
				r.clockOffset += time.Duration(rapid.IntRange(-3600, 3600).Draw(t, "step")) * time.Second
			},
			"cold": func(t *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(t, "engine")
				f.cold[i] = !f.cold[i]
				f.advanceTime(0, t)
			},
		}
		// Faults in changes of ownership show only in long sequences.
		for range 3 {
			t.Repeat(actions)
		}
	})
}
