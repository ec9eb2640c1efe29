package hitchrouter

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchforward"
	"citronhitch.example/citronhitch/hitchoutcome"
	"citronhitch.example/citronhitch/hitchpeer"
	"citronhitch.example/citronhitch/hitchquarantine"
)

// TopicSuspicions is the topic on which a router shares at which requests endpoints crash.
var TopicSuspicions = hitchpeer.Topic{Name: "Suspicions", Volatile: true}

// KindTurn asks a router for the turn of a request that may have crashed an endpoint.
const KindTurn hitchpeer.Kind = "Turn"

// Times of crashed endpoints.
const (
	// maxCrashCheck limits the check whether an endpoint has crashed.
	maxCrashCheck = 150 * time.Millisecond
	// minDownTime is shorter than an endpoint takes to start again, so that its crashes can be
	// told apart by their time.
	minDownTime = 5 * time.Second
	// turnTimeout limits a question for a turn.
	turnTimeout = 200 * time.Millisecond
	// minNewsInterval is the least time between two shares of what is known of crashes.
	minNewsInterval = shareInterval / 4
)

// MessagePart returns the part of a prompt that a message of a chat is.
func MessagePart(role, content string) hitchfleet.PartID {
	return hitchfleet.PartID(hitchfleet.KeyOf(role, content))
}

// traits returns what the request has in common with others at which endpoints may crash.
func (req *proxyRequest) traits() []hitchquarantine.Trait {
	if req.traitList == nil {
		req.traitList = append(hitchquarantine.PartTraits(req.parts), req.identity.Traits()...)
	}
	return req.traitList
}

// identityOf returns what identifies a call when it comes again.
func identityOf(organisation hitchfleet.OrganisationID, route hitchfleet.RouteID, call hitchforward.Call) hitchquarantine.Identity {
	return hitchquarantine.Identity{Method: call.Method, Host: string(route), Target: call.Path, Organisation: organisation, Body: call.Body}
}

// admit returns a refusal if endpoints crash at a request, or if it may have crashed one and
// doesn't get its turn in time.
func (rt *Router) admit(ctx context.Context, req *proxyRequest, tracker *hitchoutcome.DispatchTracker) *hitchoutcome.Refusal {
	if !rt.Quarantine.HasSuspects() {
		return nil
	}
	wait := hitchquarantine.TurnWait{
		Now: rt.now, Ask: rt.askTurn, HasTurn: req.hasTurn,
		Admit: func() hitchquarantine.Admission { return rt.Quarantine.Admit(rt.now(), req.traits()) },
	}
	refusal := wait.Run(ctx, req.deadline).Refusal
	req.hasTurn = wait.HasTurn
	rt.logQuarantine()
	if refusal == nil {
		return nil
	}
	return tracker.Refuse(hitchoutcome.ReasonQuarantined, refusal.ReleaseAt, "endpoints crash when they answer a request with %s", refusal.Trait)
}

// askTurn asks the router that gives the turns of a trait for one. If it doesn't respond, this
// router gives the turns of its own requests.
func (rt *Router) askTurn(ctx context.Context, trait hitchquarantine.Trait) hitchquarantine.Turn {
	if owners := hitchfleet.Owners(trait.Key(), rt.View().LiveRouters, 1); len(owners) > 0 && owners[0].ID != rt.Self.ID {
		if turn, err := rt.askTurnOf(ctx, owners[0].ID, trait); err == nil {
			return turn
		}
		rt.log().Info("no answer about the turn of a request", "Owner", owners[0].ID, "Trait", trait)
	}
	return rt.Quarantine.TakeTurn(rt.now(), trait)
}

// askTurnOf asks another router for a turn.
func (rt *Router) askTurnOf(ctx context.Context, owner hitchfleet.InstanceID, trait hitchquarantine.Trait) (turn hitchquarantine.Turn, err error) {
	ctx, cancel := context.WithTimeout(ctx, turnTimeout)
	defer cancel()
	question, err := cbor.Marshal(hitchquarantine.TurnRequestMsg{From: rt.Self.ID, Suspicion: rt.Quarantine.Suspicion(rt.now(), trait)})
	if err != nil {
		return turn, err
	}
	body, err := rt.Peers.call(ctx, owner, 0, KindTurn, question)
	if err != nil {
		return turn, err
	}
	var reply hitchquarantine.TurnReplyMsg
	if err := cbor.Unmarshal(body, &reply); err != nil {
		return turn, err
	}
	rt.Quarantine.Receive(rt.now(), reply.Suspicions(), false)
	return reply.Turn(rt.now()), nil
}

// handleTurn answers the question of another router for a turn.
func (rt *Router) handleTurn(_ context.Context, _ hitchfleet.Instance, body []byte) ([]byte, error) {
	var question hitchquarantine.TurnRequestMsg
	if err := cbor.Unmarshal(body, &question); err != nil {
		return nil, err
	}
	now, trait := rt.now(), question.Suspicion.Trait
	rt.Quarantine.Receive(now, question.Suspicions(), false)
	rt.logQuarantine()
	turn := rt.Quarantine.TakeTurn(now, trait)
	return cbor.Marshal(turn.Reply(now, question.ID, rt.Self.ID, rt.Quarantine.Suspicion(now, trait)))
}

// observeAnswer records that an endpoint has begun its answer in the current attempt.
func (rt *Router) observeAnswer(req *proxyRequest) {
	if req.hasAnswer {
		return
	}
	req.hasAnswer = true
	rt.ownPath().RecordContact(time.Now(), time.Time{})
	if !rt.Quarantine.HasSuspects() && len(req.parts) == 0 {
		return
	}
	rt.Quarantine.RecordAnswer(rt.now(), req.traits())
	rt.logQuarantine()
}

// observeAttempt records what an attempt that has ended shows about its request: an answer, or
// a crash of the endpoint before it.
func (rt *Router) observeAttempt(req *proxyRequest, e hitchfleet.Endpoint, err error) {
	if err == nil {
		rt.observeAnswer(req)
		return
	}
	if req.hasAnswer || !mayBeCrash(err) {
		return
	}
	req.hasTurn = false
	now := rt.now()
	if e.Born == 0 {
		e.Born = now.UnixMilli() / minDownTime.Milliseconds()
	}
	if !rt.isGone(e) || rt.ownPath().IsBroken() {
		rt.Quarantine.RecordLoss(now, e.Run(), req.traits())
		rt.crashWatch().Follow(now, e)
		return
	}
	rt.log().Info("endpoint crashed before its answer began", "Route", req.route.ID, "Chat", req.key, "Endpoint", e.ID, "Traits", req.traits())
	rt.Quarantine.RecordCrash(now, e.Run(), req.traits())
	rt.logQuarantine()
}

// mayBeCrash reports whether an attempt may have failed as its endpoint crashed.
func mayBeCrash(err error) bool {
	var failure *hitchforward.Failure
	if !errors.As(err, &failure) {
		return false
	}
	switch failure.Kind {
	case hitchforward.FailureCut, hitchforward.FailureSilent, hitchforward.FailureTimeout:
		return true
	default:
		return false
	}
}

// isGone reports whether nothing listens at an endpoint's address.
func (rt *Router) isGone(e hitchfleet.Endpoint) bool {
	ctx, cancel := context.WithTimeout(context.Background(), maxCrashCheck)
	defer cancel()
	return rt.Forward.IsGone(ctx, e)
}

// crashWatch returns the watch over endpoints that lost requests.
func (rt *Router) crashWatch() *hitchquarantine.CrashWatch {
	rt.crashWatchOnce.Do(func() {
		rt.crashes.Refuses = func(ctx context.Context, e hitchfleet.Endpoint) bool { return rt.Forward.IsGone(ctx, e) }
		rt.crashes.OnCrash = rt.confirmCrash
	})
	return &rt.crashes
}

// confirmCrash records that an endpoint has crashed which lost requests.
func (rt *Router) confirmCrash(e hitchfleet.Endpoint, evidence hitchquarantine.CrashEvidence, lostAgo time.Duration) {
	if evidence == hitchquarantine.AddressRefuses && rt.ownPath().IsBroken() {
		return
	}
	rt.log().Info("endpoint that lost requests has crashed", "Endpoint", e.ID, "Evidence", evidence, "LostAgo", lostAgo)
	rt.Quarantine.ConfirmCrash(rt.now(), e.Run())
	rt.logQuarantine()
}

// logQuarantine logs each decision about a trait of requests.
func (rt *Router) logQuarantine() {
	now := rt.now()
	for _, d := range rt.Quarantine.TakeDecisions() {
		rt.log().Warn("quarantine of requests", d.LogPairs(now)...)
	}
}

// shareNews shares what is new about crashes at once, until ctx is done.
func (rt *Router) shareNews(ctx context.Context) {
	for {
		select {
		case <-rt.Quarantine.News():
			rt.shareSuspicions()
		case <-ctx.Done():
			return
		}
		select {
		case <-time.After(minNewsInterval):
		case <-ctx.Done():
			return
		}
	}
}

// shareSuspicions shares what this router knows of requests at which endpoints crash.
func (rt *Router) shareSuspicions() {
	due := rt.Quarantine.Due(rt.now(), true)
	if len(due) == 0 {
		return
	}
	body, err := cbor.Marshal(hitchquarantine.SuspicionsMsg{From: rt.Self.ID, Suspicions: due})
	if err == nil {
		err = rt.Peers.share(TopicSuspicions, body)
	}
	if err != nil {
		rt.log().Warn("suspicions of requests could not be shared", "Error", err)
	}
}

// ApplySuspicions applies what another router shared. It ignores a message that names a
// different router as its sender.
func (rt *Router) ApplySuspicions(from hitchfleet.InstanceID, body []byte) {
	var msg hitchquarantine.SuspicionsMsg
	if err := cbor.Unmarshal(body, &msg); err != nil || msg.From != from {
		return
	}
	rt.Quarantine.Receive(rt.now(), msg, true)
	rt.logQuarantine()
}

// trialRank returns how many other routers try a trait before this one.
func (rt *Router) trialRank(trait hitchquarantine.Trait) int {
	return hitchquarantine.TrialRank(trait, rt.Self, rt.View().LiveRouters)
}
