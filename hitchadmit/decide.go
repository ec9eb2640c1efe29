package hitchadmit

import (
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// cacheAffinityWait is the longest estimated wait for which a slot request
// stays queued at its endpoint, which has the prompt prefix cached, although
// another endpoint could serve it now.
const cacheAffinityWait = 200 * time.Millisecond

// maxWaitFraction is the largest fraction of the time until its deadline that a
// request's estimated wait may take. The remainder covers the error of the
// estimate, so that few requests are refused after they have waited.
const maxWaitFraction = 0.7

// The bounds of the delay from now to RetryAt. A refusal that redirects a request
// which would wait too long has no delay.
const (
	minRetryDelay = time.Second
	maxRetryDelay = time.Minute
)

// opContext is the context of one operation on an endpoint.
type opContext struct {
	now     time.Time // monotonic
	wallNow time.Time // the time that the caller passed in
	view    *view
	settled bool
}

// normalize replaces out-of-range fields of a request that came over the
// network.
func (req *SlotRequest) normalize() {
	req.Cost = max(req.Cost, 1)
	if req.Priority >= priorityCount {
		req.Priority = Batch
	}
}

// toRequesterTime converts the monotonic time t to the requester's clock.
// arrived is the monotonic time at which the request arrived.
func toRequesterTime(req *SlotRequest, arrived, t time.Time) time.Time {
	return req.SentAt.Add(t.Sub(arrived))
}

func newRefusal(req *SlotRequest, arrived, retryAt time.Time, reason hitchoutcome.Reason) Decision {
	return Decision{ID: req.ID, Verdict: Refused, Reason: reason, RetryAt: toRequesterTime(req, arrived, retryAt)}
}

// retryTime returns the time after an estimated wait, limited to the range from
// minRetryDelay to maxRetryDelay.
func retryTime(now time.Time, wait time.Duration) time.Time {
	return now.Add(min(max(wait, minRetryDelay), maxRetryDelay))
}

// decide answers a slot request. It appends the refusals of requests that it
// evicts from the queue to deferred.
func (e *endpoint) decide(op *opContext, req *SlotRequest, deferred []DeferredDecision) (Decision, []DeferredDecision) {
	if d, ok := e.previousDecision(op, req); ok {
		return d, deferred
	}
	if reason, ok := e.refusalReason(op); ok {
		d := newRefusal(req, op.now, op.now.Add(minRetryDelay), reason)
		if reason == hitchoutcome.ReasonNoEndpoint {
			d.Alternative = e.alternative(&op.view.limits, req)
		}
		return d, deferred
	}
	e.setGrantedByOthers(op.now, req.Requester, req.GrantedByOthers)
	e.updatePool()
	t := e.tenants.get(req.Organisation, op.view)
	exceeded := e.exceededLimit(op.now, &op.view.limits, t, req.Cost, op.settled)
	if exceeded == noLimit && len(e.queue.entries) == 0 {
		return e.grantSlot(op.now, req, op.now, t), deferred
	}
	d, deferred := e.enqueue(op, req, t, exceeded, deferred)
	if d.Verdict != Queued || exceeded != noLimit {
		return d, deferred
	}
	return e.decideFromQueue(op, d, deferred)
}

// decideFromQueue grants the queued requests that now fit. It is called after a
// request was queued although no limit was exceeded, because others were ahead
// of it. If the request itself is granted, the grant replaces its Queued
// decision d.
func (e *endpoint) decideFromQueue(op *opContext, d Decision, deferred []DeferredDecision) (Decision, []DeferredDecision) {
	deferred = e.grantQueued(op, deferred)
	for i := range deferred {
		if deferred[i].Decision.ID == d.ID {
			d = deferred[i].Decision
			return d, slices.Delete(deferred, i, i+1)
		}
	}
	return d, deferred
}

// previousDecision returns the decision on a request that was already decided.
// The requester repeats a request if the reply was lost.
func (e *endpoint) previousDecision(op *opContext, req *SlotRequest) (Decision, bool) {
	if g, ok := e.grants[req.ID]; ok {
		return Decision{ID: req.ID, Verdict: Granted, Deadline: toRequesterTime(req, op.now, g.deadline)}, true
	}
	if i := e.queue.indexOf(req.ID); i >= 0 {
		return Decision{ID: req.ID, Verdict: Queued, Deadline: req.Deadline}, true
	}
	return Decision{}, false
}

// refusalReason returns why this router may not grant anything at the endpoint.
// ok is false if it may.
func (e *endpoint) refusalReason(op *opContext) (hitchoutcome.Reason, bool) {
	switch {
	case !e.owned, e.handedOver, !op.view.isCurrent(op.wallNow):
		return hitchoutcome.ReasonStale, true
	case !e.available:
		return hitchoutcome.ReasonNoEndpoint, true
	default:
		return "", false
	}
}

func (e *endpoint) alternative(l *Limits, req *SlotRequest) hitchfleet.EndpointID {
	kind := e.spec.Kind
	return e.pool.alternative(req, l.BoundFactor, l.floor(kind), l.capacity(kind))
}

// grantSlot grants a request that arrived at a monotonic time.
func (e *endpoint) grantSlot(now time.Time, req *SlotRequest, arrived time.Time, t *tenant) Decision {
	deadline := e.addGrant(now, req, t)
	e.updatePool()
	return Decision{ID: req.ID, Verdict: Granted, Deadline: toRequesterTime(req, arrived, deadline)}
}

// enqueue queues a request that exceeds a limit or has others ahead of it. It
// refuses the request immediately if another endpoint can take it, or if the
// estimated wait is too long for its deadline.
func (e *endpoint) enqueue(op *opContext, req *SlotRequest, t *tenant, exceeded limitKind, deferred []DeferredDecision) (Decision, []DeferredDecision) {
	l := &op.view.limits
	ahead, own := e.queue.costAhead(t, req.Priority, e.queue.startTag(t, req.Priority))
	wait := e.estimateWait(l, t, ahead, own, req.Cost)
	allowed := max(req.Deadline.Sub(req.SentAt), 0)
	d := newRefusal(req, op.now, retryTime(op.now, wait), exceeded.refusalReason())
	if req.Hops < MaxHops && wait > min(cacheAffinityWait, allowed) {
		if d.Alternative = e.alternative(l, req); d.Alternative != "" {
			d.RetryAt = toRequesterTime(req, op.now, op.now)
			return d, deferred
		}
	}
	if float64(wait) > maxWaitFraction*float64(allowed) || allowed == 0 {
		return d, deferred
	}
	if len(e.queue.entries) >= l.QueueLimit {
		i := e.queue.evictionIndex(t)
		if i < 0 {
			return d, deferred
		}
		deferred = append(deferred, e.evict(op, i, hitchoutcome.ReasonShareExceeded))
	}
	e.queue.push(req, op.now, op.now.Add(allowed), t)
	e.tenants.update(t, func(t *tenant) { t.queued++ })
	return Decision{ID: req.ID, Verdict: Queued, Deadline: req.Deadline}, deferred
}

// dequeue removes an entry from the queue.
func (e *endpoint) dequeue(i int) queuedRequest {
	entry := e.queue.remove(i)
	e.tenants.update(entry.tenant, func(t *tenant) { t.queued-- })
	return entry
}

// remainingWait estimates how much longer an entry waits.
func (e *endpoint) remainingWait(op *opContext, entry *queuedRequest) time.Duration {
	ahead, own := e.queue.costAhead(entry.tenant, entry.request.Priority, entry.startTag)
	ahead, own = max(ahead-entry.request.Cost, 0), max(own-entry.request.Cost, 0)
	return e.estimateWait(&op.view.limits, entry.tenant, ahead, own, entry.request.Cost)
}

// evict removes a queued request and refuses it.
func (e *endpoint) evict(op *opContext, i int, reason hitchoutcome.Reason) DeferredDecision {
	entry := e.dequeue(i)
	d := newRefusal(&entry.request, entry.arrived, retryTime(op.now, e.remainingWait(op, &entry)), reason)
	return DeferredDecision{Requester: entry.request.Requester, Endpoint: e.spec.ID, Decision: d}
}

// refreshQueue removes what has expired, grants the queued requests that now
// fit, and refuses those that can't be granted before their deadline.
func (e *endpoint) refreshQueue(op *opContext, deferred []DeferredDecision) []DeferredDecision {
	e.removeExpired(op.now)
	e.updatePool()
	if reason, ok := e.refusalReason(op); ok {
		for len(e.queue.entries) > 0 {
			deferred = append(deferred, e.evict(op, 0, reason))
		}
		return deferred
	}
	deferred = e.grantQueued(op, deferred)
	for i := len(e.queue.entries) - 1; i >= 0; i-- {
		entry := &e.queue.entries[i]
		if op.now.Add(e.remainingWait(op, entry)).After(entry.deadline) {
			deferred = append(deferred, e.evict(op, i, hitchoutcome.ReasonOverloaded))
		}
	}
	return deferred
}

// grantQueued grants queued requests in fair order until one exceeds a limit.
// It skips requests of tenants that are above their fair share while the rest
// of the limit is reserved for others.
func (e *endpoint) grantQueued(op *opContext, deferred []DeferredDecision) []DeferredDecision {
	for i := range e.queue.entries {
		e.queue.entries[i].skipped = false
	}
	for {
		i := e.queue.nextIndex()
		if i < 0 {
			return deferred
		}
		next := &e.queue.entries[i]
		switch e.exceededLimit(op.now, &op.view.limits, next.tenant, next.request.Cost, op.settled) {
		case noLimit:
		case shareLimit:
			next.skipped = true
			continue
		default:
			return deferred
		}
		e.queue.recordGrant(next)
		entry := e.dequeue(i)
		d := e.grantSlot(op.now, &entry.request, entry.arrived, entry.tenant)
		deferred = append(deferred, DeferredDecision{Requester: entry.request.Requester, Endpoint: e.spec.ID, Decision: d})
	}
}
