package hitchsoak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

// Bounds of what a bad version may get during its rollout, from all instances together: a share of
// the service's requests and a slack, and nothing later than rollbackTime after so many bad
// responses.
const (
	exposeShare  = 0.1
	exposeSlack  = 50
	rollbackTime = 5 * time.Second
	badResponses = 50
	// deadlineTime is how long before its time limit an order completes although requests are in
	// flight at old endpoints, and cutTime how long after that such a request may end.
	deadlineTime = 700 * time.Millisecond
	cutTime      = 500 * time.Millisecond
	// maxOverdue is how long after its time limit an order is waited for. A repeated one, as
	// after an older copy of the store, has its whole time again.
	maxOverdue = maxOrderTime
	// decisionSlack is how long after its time limit an order may be undecided.
	decisionSlack = 300 * time.Millisecond
)

// Orders of a soak.
const (
	minOrderTime, maxOrderTime = 9 * time.Second, 13 * time.Second
	maxOrderPause              = 2 * time.Second
	statusInterval             = 30 * time.Millisecond
	// removalDelay is the time from a rollback to the removal of the version's engines, which then
	// serve on for drainTime, longer than any stream.
	removalDelay = 500 * time.Millisecond
	drainTime    = 4 * time.Second
	// minBadShare is the least share of the responses of a bad version that are bad.
	minBadShare = 0.1
	// rolloutFaultInterval is longer than that of other plans, so that some orders meet no fault.
	rolloutFaultInterval = 4 * time.Second
	// The callers of the service that doesn't stream.
	lookupCallersPerInstance, bookingCallersPerInstance = 4, 2
	plainCallerSeed                                     = 1 << 15
)

// rolloutPlanKinds are the kinds of faults beside orders.
var rolloutPlanKinds = []FaultKind{
	KillInstance, KillInstance, StopInstance, PauseInstance, ThrottleInstance,
	SilenceStore, PauseStore, CompactStore, RestoreStore, SilenceEndpoint, ShedRequests,
}

// newRolloutPlan returns faults for a soak of VariantRollouts.
func newRolloutPlan(seed uint64, length time.Duration, instances int) []Fault {
	rng := rand.New(rand.NewPCG(seed, 9))
	var plan []Fault
	if rng.IntN(3) == 0 {
		plan = planKillsOfAll(rng, length)
	}
	return addEngineFaults(rng, plan, length, rolloutFaultInterval, instances, func() FaultKind {
		return rolloutPlanKinds[rng.IntN(len(rolloutPlanKinds))]
	})
}

// rollout is an order of a soak and what became of it.
type rollout struct {
	Service, Version string
	// Flaw is what is bad about the version; nil means that it is good.
	Flaw      *hitchstandin.Flaw
	At, Limit time.Time
	// State is what operators read in the end, and EndedAt when they did.
	State   string
	EndedAt time.Time
	// Reason is why, as the fleet's record says.
	Reason string
}

// randomFlaw returns the flaw of a version, nil for about half of them.
func randomFlaw(rng *rand.Rand, service string, now time.Time) *hitchstandin.Flaw {
	if rng.IntN(2) == 0 {
		return nil
	}
	shares := []float64{1, 0.5, 2 * minBadShare}
	f := &hitchstandin.Flaw{Share: shares[rng.IntN(len(shares))]}
	switch rng.IntN(4) {
	case 0:
		f.SlowBy = 400 * time.Millisecond
	case 1:
		f.From = now.Add(3 * time.Second)
	case 2:
		if service != streamService {
			f.PathPrefix = "/booking/"
		}
	}
	return f
}

// runRollouts orders rollouts of a service one after the other until end, and returns them.
func (s *engineSet) runRollouts(ctx context.Context, rng *rand.Rand, service string, end time.Time) (out []rollout) {
	for n := 2; ; n++ {
		sleepUntil(ctx, time.Now().Add(time.Duration(rng.Int64N(int64(maxOrderPause)))))
		duration := minOrderTime + time.Duration(rng.Int64N(int64(maxOrderTime-minOrderTime)))
		if now := time.Now(); ctx.Err() != nil || now.Add(duration).After(end) {
			return out
		}
		r := rollout{Service: service, Version: fmt.Sprintf("v%d", n), Flaw: randomFlaw(rng, service, time.Now())}
		s.order(&r, duration)
		added, err := s.startVersion(r)
		if err != nil {
			s.fleet.addProcessFailure(err.Error())
			return out
		}
		s.awaitEnd(ctx, &r)
		if r.State == "completed" {
			s.keepVersion(added, service)
		} else {
			sleepUntil(ctx, time.Now().Add(removalDelay))
			s.dropVersion(added)
		}
		out = append(out, r)
	}
}

// order writes an operator's order.
func (s *engineSet) order(r *rollout, duration time.Duration) {
	value, _ := json.Marshal(map[string]any{"service": r.Service, "to": r.Version, "durationS": duration.Seconds()})
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.orders == nil {
		s.orders = make(map[string][]byte)
	}
	key := "op/rollout/" + r.Service
	s.orders[key] = value
	s.fleet.store.Put(key, value)
	r.At = time.Now()
	r.Limit = r.At.Add(duration)
}

// rewriteOrders writes the orders again that a restored copy of the store lacks.
func (s *engineSet) rewriteOrders() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, value := range s.orders {
		if string(s.fleet.store.Value(key)) != string(value) {
			s.fleet.store.Put(key, value)
		}
	}
}

// startVersion starts as many engines of an order's version as its service has.
func (s *engineSet) startVersion(r rollout) (added []*engine, err error) {
	for slot := range engineSlots {
		if s.serviceOf(slot) != r.Service {
			continue
		}
		e, err := s.startEngine(s.newID(), r.Service, r.Version, s.ip+":0", 0)
		if err != nil {
			return added, err
		}
		e.SetFlaw(r.Flaw)
		added = append(added, e)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range added {
		e.from = time.Now()
		s.fleet.store.Put(e.Key(), e.Entry("ready"))
	}
	s.added = append(s.added, added...)
	return added, nil
}

// awaitEnd waits until operators read the end of an order, for at most maxOverdue after its limit.
func (s *engineSet) awaitEnd(ctx context.Context, r *rollout) {
	for giveUpAt := r.Limit.Add(maxOverdue); time.Now().Before(giveUpAt) && ctx.Err() == nil; time.Sleep(statusInterval) {
		var status struct{ State, To string }
		_ = json.Unmarshal(s.fleet.store.Value("status/rollout/"+r.Service), &status)
		if status.To == r.Version && status.State != "active" {
			r.State, r.EndedAt = status.State, time.Now()
			break
		}
	}
	var record struct{ Reason string }
	_ = json.Unmarshal(s.fleet.store.Value("citronhitch/rollout/"+r.Service), &record)
	r.Reason = record.Reason
}

// keepVersion puts the engines of a version into the slots of its service. The old ones end at
// once, without letting requests end.
func (s *engineSet) keepVersion(added []*engine, service string) {
	s.restarting.Lock()
	defer s.restarting.Unlock()
	s.mu.Lock()
	s.added = slices.DeleteFunc(s.added, func(e *engine) bool { return slices.Contains(added, e) })
	var old []*engine
	for slot, n := 0, 0; slot < engineSlots && n < len(added); slot++ {
		if s.serviceOf(slot) == service {
			old = append(old, s.slots[slot])
			s.slots[slot] = added[n]
			n++
		}
	}
	s.mu.Unlock()
	for _, e := range old {
		s.remove(e)
		e.end()
	}
}

// dropVersion ends the engines of a version that was rolled back.
func (s *engineSet) dropVersion(added []*engine) {
	s.mu.Lock()
	s.added = slices.DeleteFunc(s.added, func(e *engine) bool { return slices.Contains(added, e) })
	s.mu.Unlock()
	for _, e := range added {
		s.remove(e)
		time.AfterFunc(drainTime, e.end)
	}
}

// runRollouts runs the orders and the callers of a soak of VariantRollouts until ctx ends, the
// orders until end.
func (s *Soak) runRollouts(ctx context.Context, f *fleet, end time.Time, record func(call)) (out []rollout) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for n, service := range []string{"shop", streamService} {
		wg.Go(func() {
			sleepUntil(ctx, time.Now().Add(faultFreeStart))
			done := f.engines.runRollouts(ctx, rand.New(rand.NewPCG(s.Seed, 10+uint64(n))), service, end)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, done...)
		})
	}
	for n := range (lookupCallersPerInstance + bookingCallersPerInstance) * s.instances() {
		x := &caller{seed: s.Seed<<16 + plainCallerSeed + uint64(n), fleet: f, path: "/lookup/x"}
		if n%(lookupCallersPerInstance+bookingCallersPerInstance) < bookingCallersPerInstance {
			x.path = "/booking/x"
		}
		wg.Go(func() { x.run(ctx, record) })
	}
	wg.Wait()
	return out
}

// checkRollouts checks what became of the orders, and returns a note about each.
func (c *checker) checkRollouts(rollouts []rollout) (out []Violation, notes []string) {
	runs := c.runLog.All()
	slices.SortFunc(runs, func(a, b hitchstandin.Run) int { return a.At.Compare(b.At) })
	for _, r := range rollouts {
		violations, note := c.checkRollout(r, runs)
		out, notes = append(out, violations...), append(notes, note)
	}
	return out, notes
}

// checkRollout checks an order. The runs are in the order of their times.
func (c *checker) checkRollout(r rollout, runs []hitchstandin.Run) (out []Violation, note string) {
	add := func(guarantee, format string, args ...any) {
		out = append(out, Violation{Guarantee: guarantee, Detail: fmt.Sprintf("%s to %s at %.1fs: ", r.Service, r.Version, r.At.Sub(c.start).Seconds()) + fmt.Sprintf(format, args...)})
	}
	var all, exposed, bad int
	var mustEnd, last time.Time
	for _, x := range runs {
		if x.Service != r.Service {
			continue
		}
		isIn := x.At.After(r.At) && x.At.Before(r.Limit)
		if isIn {
			all++
		}
		if x.Version != r.Version || r.State == "completed" && x.At.After(r.EndedAt) {
			continue
		}
		if isIn {
			exposed++
		}
		last = x.At
		if x.IsBad {
			if bad++; bad == badResponses {
				mustEnd = x.At.Add(rollbackTime)
			}
		}
	}
	isDisturbed := c.disturbs(r)
	// A repeated order counts anew.
	isRepeated := slices.ContainsFunc(c.plan, func(f Fault) bool { return f.Kind == RestoreStore && c.overlaps(f, r.At, r.Limit) })
	if r.Flaw != nil {
		if allowed := exposeShare*float64(all) + exposeSlack; float64(exposed) > allowed && !isRepeated {
			add("Exposure", "%d of %d requests, %.0f allowed", exposed, all, allowed)
		}
		if !mustEnd.IsZero() && last.After(mustEnd) {
			add("Rollback", "a request %.1fs after the %dth bad response", last.Sub(mustEnd.Add(-rollbackTime)).Seconds(), badResponses)
		}
		if r.State == "completed" {
			add("BadVersion", "completed, though %d responses were bad", bad)
		}
	}
	if !isDisturbed && (r.State == "" || r.EndedAt.After(r.Limit.Add(decisionSlack))) {
		add("Decision", "state %q, %.1fs after the time limit", r.State, r.EndedAt.Sub(r.Limit).Seconds())
	}
	if !isDisturbed && r.Flaw == nil && r.State == "reverted" {
		add("GoodVersion", "rolled back after %.1fs", r.EndedAt.Sub(r.At).Seconds())
	}
	flaw := "none"
	if r.Flaw != nil {
		flaw = fmt.Sprintf("%.2f slow by %s at %q", r.Flaw.Share, r.Flaw.SlowBy, r.Flaw.PathPrefix)
	}
	return out, fmt.Sprintf("Rollout=%s To=%s Flaw=%q State=%s After=%.1fs Of=%.1fs Exposed=%d Requests=%d Bad=%d Disturbed=%t Reason=%q",
		r.Service, r.Version, flaw, r.State, r.EndedAt.Sub(r.At).Seconds(), r.Limit.Sub(r.At).Seconds(), exposed, all, bad, isDisturbed, r.Reason)
}

// isCutAtDeadline reports whether a stream was cut when a rollout completed at its deadline: the
// old endpoints end then.
func (c *checker) isCutAtDeadline(x call) bool {
	return x.isStream() && slices.ContainsFunc(c.rollouts, func(r rollout) bool {
		return r.Service == streamService && r.State == "completed" && r.EndedAt.After(r.Limit.Add(-deadlineTime)) &&
			x.Begin.Before(r.EndedAt) && x.End.After(r.EndedAt) && x.End.Before(r.EndedAt.Add(cutTime))
	})
}

// disturbs reports whether a fault affected instances, the store or endpoints during an order.
func (c *checker) disturbs(r rollout) bool {
	return slices.ContainsFunc(c.plan, func(f Fault) bool {
		switch f.Kind {
		case CompactStore, StopInstance:
			return false
		default:
			return c.overlaps(f, r.At.Add(-faultSettleTime), r.Limit)
		}
	})
}
