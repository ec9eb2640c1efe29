package hitchedge

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"citronhitch.example/citronhitch/hitchdigest"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchpath"
	hitchplatform "citronhitch.example/citronhitch/platform"
)

// askedInstances is how many other instances are asked whether they reach endpoints.
const askedInstances = 6

// initPath connects the monitor of this instance's path to the endpoints.
func (e *Edge) initPath() {
	path := &e.gateway.Path
	question := hitchplatform.PathQuestion(e.Settings.Self.ID)
	path.Ask = func(ctx context.Context, endpoint hitchfleet.Endpoint) hitchpath.Evidence {
		return hitchpath.EvidenceOf(e.conns.Ask(ctx, endpoint.Addr, question))
	}
	path.Endpoints = func() []hitchfleet.Endpoint { return e.gateway.View().Endpoints() }
	path.Confirm = e.findRelays
	path.OnChange = e.logPathChange
}

// logPathChange logs a decision about this instance's path to the endpoints. What requests have
// seen of endpoints on a broken path says nothing of these.
func (e *Edge) logPathChange(c hitchpath.Change) {
	now := time.Now()
	e.metrics.CountPathChange(c.New)
	if c.Old == hitchpath.CutOff || c.New == hitchpath.CutOff {
		e.balancer.ForgetFailures()
	}
	e.Log.Warn("path to the endpoints", "State", c.New, "Old", c.Old, "Failures", c.Failures, "FirstFailureAge", age(now, c.FirstFailureAt),
		"Rounds", c.Rounds, "Evidence", c.Evidence, "ContactAge", age(now, c.ContactAt), "Relays", instanceIDs(c.Relays))
}

// age returns the time since an earlier one, and 0 if there is none.
func age(now, then time.Time) time.Duration {
	if then.IsZero() {
		return 0
	}
	return now.Sub(then)
}

// findRelays asks some live instances of the region whether they reach endpoints, and returns
// those that do.
func (e *Edge) findRelays(ctx context.Context, needsAnswer bool) (relays []hitchfleet.Instance) {
	candidates := hitchdigest.InRegion(e.liveInstances()[1:], e.Settings.Self.Region)
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	candidates = e.withoutCutOff(time.Now(), candidates)
	candidates = candidates[:min(len(candidates), askedInstances)]
	answers := make(chan *hitchfleet.Instance, len(candidates))
	for _, i := range candidates {
		go func() {
			if e.reachesEndpoints(ctx, i, needsAnswer) {
				answers <- &i
			} else {
				answers <- nil
			}
		}()
	}
	for range candidates {
		if i := <-answers; i != nil {
			relays = append(relays, *i)
		}
	}
	return relays
}

// reachesEndpoints asks another instance whether it reaches endpoints.
func (e *Edge) reachesEndpoints(ctx context.Context, i hitchfleet.Instance, needsAnswer bool) bool {
	q := question[bool]{questions: &e.pathQuestions, isPatient: needsAnswer, packet: func(id uint32) hitchdigest.Packet {
		return hitchdigest.Packet{PathRequest: &hitchpath.RequestMsg{ID: id, From: e.Settings.Self.ID, NeedsAnswer: needsAnswer}}
	}}
	for n := 0; n < answerTries && ctx.Err() == nil; n++ {
		if reaches, ok := askOnce(ctx, e, q, i); ok {
			return reaches
		}
	}
	return false
}

// withoutCutOff returns the instances that don't say that they are cut off from endpoints, or
// all if there are no others.
func (e *Edge) withoutCutOff(now time.Time, instances []hitchfleet.Instance) (reaching []hitchfleet.Instance) {
	for _, i := range instances {
		isCutOff := e.cutOffs.IsCutOff(now, i.ID)
		if i.ID == e.Settings.Self.ID {
			isCutOff = e.gateway.Path.State(now) == hitchpath.CutOff
		}
		if !isCutOff {
			reaching = append(reaching, i)
		}
	}
	if len(reaching) == 0 {
		return instances
	}
	return reaching
}

// answerPath answers the question of another instance whether this one reaches endpoints, and
// accepts requests that are relayed. A check may take a while.
func (e *Edge) answerPath(m hitchpath.RequestMsg, from *net.UDPAddr) {
	go func() {
		socket := e.socket.Load()
		if socket == nil {
			return
		}
		reaches := e.gateway.IsReady() && e.gateway.Path.ReachesEndpoints(time.Now(), m.NeedsAnswer)
		e.sendTo(socket, hitchdigest.Packet{PathReply: &hitchpath.ReplyMsg{ID: m.ID, From: e.Settings.Self.ID, ReachesEndpoints: reaches}}, from.AddrPort())
	}()
}
