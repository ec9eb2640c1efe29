package hitchadmit

import (
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// homePatience is how long an ask rather waits at its endpoint, whose cache has
// its prefix, than goes to another one.
const homePatience = 200 * time.Millisecond

// queueMargin is the part of the time to its deadline that an ask's expected wait
// may take. The rest is for what the estimate doesn't know, so that few asks are
// refused after they have waited.
const queueMargin = 0.7

// The bounds of how far in the future RetryAt lies.
const (
	minRetry = time.Second
	maxRetry = time.Minute
)

// event is the circumstances of one change of an endpoint.
type event struct {
	now     time.Time // steady
	real    time.Time // by the caller's clock
	view    *view
	settled bool
}

// sane bounds the fields of an ask from the network.
func (a *Ask) sane() {
	a.Cost = max(a.Cost, 1)
	if a.Priority >= priorities {
		a.Priority = Batch
	}
}

// askerTime turns a steady time into one by the clock of the asker, whose ask
// arrived at a steady time.
func askerTime(a *Ask, arrived, t time.Time) time.Time {
	return a.SentAt.Add(t.Sub(arrived))
}

func refuse(a *Ask, arrived, retryAt time.Time, reason hitchoutcome.Reason) Decision {
	return Decision{ID: a.ID, Verdict: Refused, Reason: reason, RetryAt: askerTime(a, arrived, retryAt)}
}

// clampRetry keeps a time to come back in its bounds.
func clampRetry(now time.Time, wait time.Duration) time.Time {
	return now.Add(min(max(wait, minRetry), maxRetry))
}

// ask decides on one ask and appends the refusals of asks that it pushes out of
// the queue.
func (e *endpoint) ask(ev *event, a *Ask, due []Notice) (Decision, []Notice) {
	if d, ok := e.known(ev, a); ok {
		return d, due
	}
	if reason, ok := e.closedReason(ev); ok {
		d := refuse(a, ev.now, ev.now.Add(minRetry), reason)
		if reason == hitchoutcome.ReasonNoEndpoint {
			d.Alternative = e.alternative(&ev.view.limits, a)
		}
		return d, due
	}
	e.setForeign(ev.now, a.Asker, a.Foreign)
	e.publish()
	t := e.tenants.get(a.Organisation, ev.view)
	short := e.room(ev.now, &ev.view.limits, t, a.Cost, ev.settled)
	if short == shortNothing && len(e.queue.entries) == 0 {
		return e.grant(ev.now, a, ev.now, t), due
	}
	d, due := e.enqueue(ev, a, t, short, due)
	if d.Verdict != Queued || short != shortNothing {
		return d, due
	}
	return e.pumpFor(ev, d, due)
}

// pumpFor grants what has room after an ask was queued though there is room. If
// the ask itself is granted, that is the decision.
func (e *endpoint) pumpFor(ev *event, d Decision, due []Notice) (Decision, []Notice) {
	due = e.pump(ev, due)
	for i := range due {
		if due[i].Decision.ID == d.ID {
			d = due[i].Decision
			return d, slices.Delete(due, i, i+1)
		}
	}
	return d, due
}

// known answers an ask that was decided before: its answer was lost.
func (e *endpoint) known(ev *event, a *Ask) (Decision, bool) {
	if g, ok := e.grants[a.ID]; ok {
		return Decision{ID: a.ID, Verdict: Granted, Deadline: askerTime(a, ev.now, g.deadline)}, true
	}
	if i := e.queue.find(a.ID); i >= 0 {
		return Decision{ID: a.ID, Verdict: Queued, Deadline: a.Deadline}, true
	}
	return Decision{}, false
}

// closedReason tells why this router may not grant at the endpoint at all.
func (e *endpoint) closedReason(ev *event) (hitchoutcome.Reason, bool) {
	switch {
	case !e.owned, e.handed, !ev.view.isCurrent(ev.real):
		return hitchoutcome.ReasonStale, true
	case !e.open:
		return hitchoutcome.ReasonNoEndpoint, true
	default:
		return "", false
	}
}

func (e *endpoint) alternative(l *Limits, a *Ask) hitchfleet.EndpointID {
	kind := e.spec.Kind
	return e.pool.alternative(a, l.BoundFactor, l.floor(kind), l.capacity(kind))
}

// grant gives a slot to an ask that arrived at a steady time.
func (e *endpoint) grant(now time.Time, a *Ask, arrived time.Time, t *tenant) Decision {
	deadline := e.addGrant(now, a, t)
	e.publish()
	return Decision{ID: a.ID, Verdict: Granted, Deadline: askerTime(a, arrived, deadline)}
}

// enqueue queues an ask that finds no room, or refuses it at once: if another
// endpoint has room, or if its wait would pass its deadline.
func (e *endpoint) enqueue(ev *event, a *Ask, t *tenant, short shortage, due []Notice) (Decision, []Notice) {
	l := &ev.view.limits
	ahead, own := e.queue.ahead(t, a.Priority, e.queue.startTag(t, a.Priority))
	wait := e.wait(l, t, ahead, own, a.Cost)
	allowed := max(a.Deadline.Sub(a.SentAt), 0)
	d := refuse(a, ev.now, clampRetry(ev.now, wait), short.reason())
	if a.Hops < MaxHops && wait > min(homePatience, allowed) {
		if d.Alternative = e.alternative(l, a); d.Alternative != "" {
			d.RetryAt = askerTime(a, ev.now, ev.now)
			return d, due
		}
	}
	if float64(wait) > queueMargin*float64(allowed) || allowed == 0 {
		return d, due
	}
	if len(e.queue.entries) >= l.QueueLimit {
		i := e.queue.victim(t)
		if i < 0 {
			return d, due
		}
		due = append(due, e.evict(ev, i, hitchoutcome.ReasonShareExceeded))
	}
	e.queue.push(a, ev.now, ev.now.Add(allowed), t)
	e.tenants.change(t, func(t *tenant) { t.queued++ })
	return Decision{ID: a.ID, Verdict: Queued, Deadline: a.Deadline}, due
}

// unqueue takes an entry out of the queue.
func (e *endpoint) unqueue(i int) waiting {
	w := e.queue.remove(i)
	e.tenants.change(w.tenant, func(t *tenant) { t.queued-- })
	return w
}

// queuedWait estimates how long an entry still waits.
func (e *endpoint) queuedWait(ev *event, w *waiting) time.Duration {
	ahead, own := e.queue.ahead(w.tenant, w.ask.Priority, w.start)
	ahead, own = max(ahead-w.ask.Cost, 0), max(own-w.ask.Cost, 0)
	return e.wait(&ev.view.limits, w.tenant, ahead, own, w.ask.Cost)
}

// evict refuses a queued ask.
func (e *endpoint) evict(ev *event, i int, reason hitchoutcome.Reason) Notice {
	w := e.unqueue(i)
	d := refuse(&w.ask, w.arrived, clampRetry(ev.now, e.queuedWait(ev, &w)), reason)
	return Notice{Asker: w.ask.Asker, Endpoint: e.spec.ID, Decision: d}
}

// settle ends what has passed its deadline, grants what has found room and
// refuses the queued asks that won't find any in time.
func (e *endpoint) settle(ev *event, due []Notice) []Notice {
	e.expire(ev.now)
	e.publish()
	if reason, ok := e.closedReason(ev); ok {
		for len(e.queue.entries) > 0 {
			due = append(due, e.evict(ev, 0, reason))
		}
		return due
	}
	due = e.pump(ev, due)
	for i := len(e.queue.entries) - 1; i >= 0; i-- {
		w := &e.queue.entries[i]
		if ev.now.Add(e.queuedWait(ev, w)).After(w.deadline) {
			due = append(due, e.evict(ev, i, hitchoutcome.ReasonOverloaded))
		}
	}
	return due
}

// pump grants queued asks in fair order while there is room. The asks of tenants
// above their share are passed over while the rest is reserved.
func (e *endpoint) pump(ev *event, due []Notice) []Notice {
	for i := range e.queue.entries {
		e.queue.entries[i].held = false
	}
	for {
		i := e.queue.next()
		if i < 0 {
			return due
		}
		w := &e.queue.entries[i]
		switch e.room(ev.now, &ev.view.limits, w.tenant, w.ask.Cost, ev.settled) {
		case shortNothing:
		case shortShare:
			w.held = true
			continue
		default:
			return due
		}
		e.queue.served(w)
		entry := e.unqueue(i)
		d := e.grant(ev.now, &entry.ask, entry.arrived, entry.tenant)
		due = append(due, Notice{Asker: entry.ask.Asker, Endpoint: e.spec.ID, Decision: d})
	}
}
