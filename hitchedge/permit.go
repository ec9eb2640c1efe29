package hitchedge

import (
	"context"
	"net"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchdigest"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchquota"
)

// Times of questions for permits.
const (
	// permitTimeout is how long an owner may take to answer, and permitTries how often it is
	// asked: if each lost datagram led to the next instance, both would give permits.
	permitTimeout = 40 * time.Millisecond
	permitTries   = 2
	// ownerCount is how many instances may give permits for an endpoint: the second one if
	// the first doesn't respond.
	ownerCount = 2
	// ownerRestTime is how long an instance that didn't respond isn't asked.
	ownerRestTime = 500 * time.Millisecond
)

// permits asks the owners of endpoints for permits, and gives those for its own endpoints.
// The zero value is ready to use.
type permits struct {
	// issuer gives permits as an owner. If no owner responds, reserve gives this instance its
	// share of an equal division.
	issuer  hitchquota.Issuer
	reserve hitchquota.Issuer

	mu      sync.Mutex
	lastID  uint32
	waiting map[uint32]chan hitchquota.PermitReplyMsg
	// restUntil is until when instances that didn't respond aren't asked.
	restUntil map[hitchfleet.InstanceID]time.Time
}

// open registers a question and returns its ID and the channel of its answer.
func (p *permits) open() (id uint32, reply <-chan hitchquota.PermitReplyMsg) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting == nil {
		p.waiting = make(map[uint32]chan hitchquota.PermitReplyMsg)
	}
	p.lastID++
	ch := make(chan hitchquota.PermitReplyMsg, 1)
	p.waiting[p.lastID] = ch
	return p.lastID, ch
}

// close ends the wait for an answer.
func (p *permits) close(id uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, id)
}

// receive passes an answer to the question that waits for it.
func (p *permits) receive(m hitchquota.PermitReplyMsg) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ch := p.waiting[m.ID]; ch != nil {
		ch <- m
		delete(p.waiting, m.ID)
	}
}

// isResting reports whether an instance didn't respond recently.
func (p *permits) isResting(now time.Time, id hitchfleet.InstanceID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	until, ok := p.restUntil[id]
	if ok && !now.Before(until) {
		delete(p.restUntil, id)
	}
	return now.Before(until)
}

// rest records that an instance didn't respond.
func (p *permits) rest(now time.Time, id hitchfleet.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.restUntil == nil {
		p.restUntil = make(map[hitchfleet.InstanceID]time.Time)
	}
	p.restUntil[id] = now.Add(ownerRestTime)
}

// askPermit asks for a permit for a request to a run of an endpoint: its owner, or the next
// instance if that one doesn't respond.
func (e *Edge) askPermit(ctx context.Context, run hitchfleet.RunID) hitchquota.Permit {
	instances := e.liveInstances()
	for _, owner := range hitchquota.Owners(run, instances, ownerCount) {
		now := time.Now()
		if owner.ID == e.Settings.Self.ID {
			return e.permits.issuer.Issue(now, run, e.gateway.Quotas.Quota(now, run))
		}
		if e.permits.isResting(now, owner.ID) {
			continue
		}
		permit, ok := e.askOwner(ctx, owner, run)
		if ok {
			return permit
		}
		if ctx.Err() != nil { // the request has ended, which says nothing of the owner
			return hitchquota.Permit{AvailableAt: now, ReturnAt: now}
		}
		e.permits.rest(time.Now(), owner.ID)
		e.Log.Info("no answer about a permit", "Owner", owner.ID, "Instances", len(instances))
	}
	now := time.Now()
	quota := e.gateway.Quotas.Quota(now, run)
	quota.PerSecond /= float64(max(len(instances), 1))
	return e.permits.reserve.Issue(now, run, quota)
}

// askOwner asks one instance. It returns false if that doesn't respond.
func (e *Edge) askOwner(ctx context.Context, owner hitchfleet.Instance, run hitchfleet.RunID) (permit hitchquota.Permit, ok bool) {
	for n := 0; n < permitTries && ctx.Err() == nil; n++ {
		if permit, ok = e.askOwnerOnce(ctx, owner, run); ok {
			return permit, true
		}
	}
	return permit, false
}

// askOwnerOnce sends one question. It returns false if no answer arrives in time.
func (e *Edge) askOwnerOnce(ctx context.Context, owner hitchfleet.Instance, run hitchfleet.RunID) (_ hitchquota.Permit, ok bool) {
	socket := e.socket.Load()
	if socket == nil {
		return hitchquota.Permit{}, false
	}
	id, reply := e.permits.open()
	defer e.permits.close(id)
	request := hitchquota.PermitRequestMsg{ID: id, From: e.Settings.Self.ID, Notice: e.gateway.Quotas.Notice(time.Now(), run)}
	e.send(socket, hitchdigest.Packet{PermitRequest: &request}, owner)
	timer := time.NewTimer(permitTimeout)
	defer timer.Stop()
	select {
	case m := <-reply:
		return m.Permit(time.Now()), true
	case <-timer.C:
	case <-ctx.Done():
	}
	return hitchquota.Permit{}, false
}

// liveInstances returns the instances in the view, this one too, that aren't silent.
func (e *Edge) liveInstances() []hitchfleet.Instance {
	now := time.Now()
	live := []hitchfleet.Instance{e.Settings.Self}
	for _, i := range e.otherInstances() {
		if !e.liveness.IsSilent(now, i.ID) {
			live = append(live, i)
		}
	}
	return live
}

// answerPermit answers the question of another instance.
func (e *Edge) answerPermit(now time.Time, m hitchquota.PermitRequestMsg, from *net.UDPAddr) {
	socket := e.socket.Load()
	if socket == nil {
		return
	}
	e.gateway.ReceiveQuotas(now, hitchquota.NoticesMsg{From: m.From, Notices: []hitchquota.Notice{m.Notice}}, false)
	permit := e.permits.issuer.Issue(now, m.Notice.Run, e.gateway.Quotas.Quota(now, m.Notice.Run))
	reply := permit.Reply(now, m.ID)
	e.sendTo(socket, hitchdigest.Packet{PermitReply: &reply}, from)
}
