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

// TopicSuspicions is the topic on which a router shares at which messages engines crash.
var TopicSuspicions = hitchpeer.Topic{Name: "Suspicions", Volatile: true}

// Times of crashed engines.
const (
	// maxCrashCheck limits the check whether an engine has crashed.
	maxCrashCheck = 150 * time.Millisecond
	// minDownTime is shorter than an engine takes to start again, so that its crashes can be
	// told apart by their time.
	minDownTime = 5 * time.Second
)

// MessagePart returns the part of a prompt that a message of a chat is.
func MessagePart(role, content string) hitchfleet.PartID {
	return hitchfleet.PartID(hitchfleet.KeyOf(role, content))
}

// admitParts returns a refusal if engines crash at one of the messages of a request.
func (rt *Router) admitParts(req *proxyRequest, tracker *hitchoutcome.DispatchTracker) *hitchoutcome.Refusal {
	refusal := rt.Quarantine.Admit(rt.now(), req.parts).Refusal
	rt.logQuarantine()
	if refusal == nil {
		return nil
	}
	return tracker.Refuse(hitchoutcome.ReasonQuarantined, refusal.ReleaseAt, "engines crash when they answer message %s", refusal.Part)
}

// observeAnswer records that an engine has begun its answer in the current attempt.
func (rt *Router) observeAnswer(req *proxyRequest) {
	if req.hasAnswer || len(req.parts) == 0 {
		return
	}
	req.hasAnswer = true
	rt.Quarantine.RecordAnswer(rt.now(), req.parts)
	rt.logQuarantine()
}

// observeAttempt records what an attempt that has ended shows about the messages of its
// request: an answer, or a crash of the engine before it.
func (rt *Router) observeAttempt(req *proxyRequest, e hitchfleet.Endpoint, err error) {
	if err == nil {
		rt.observeAnswer(req)
		return
	}
	var failure *hitchforward.Failure
	if req.hasAnswer || len(req.parts) == 0 || !errors.As(err, &failure) || failure.Kind != hitchforward.FailureCut {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxCrashCheck)
	defer cancel()
	if !rt.Forward.IsGone(ctx, e) {
		return
	}
	now := rt.now()
	run := e.Born
	if run == 0 {
		run = now.UnixMilli() / minDownTime.Milliseconds()
	}
	rt.log().Info("engine crashed before its answer began", "Route", req.route.ID, "Chat", req.key, "Endpoint", e.ID, "Messages", len(req.parts))
	rt.Quarantine.RecordCrash(now, hitchfleet.RunIDOf(e.ID, run), req.parts)
	rt.logQuarantine()
}

// logQuarantine logs each decision about a message.
func (rt *Router) logQuarantine() {
	now := rt.now()
	for _, d := range rt.Quarantine.TakeDecisions() {
		rt.log().Warn("quarantine of a message", d.LogPairs(now)...)
	}
}

// shareSuspicions shares what this router knows of messages at which engines crash.
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
		rt.log().Warn("suspicions of messages could not be shared", "Error", err)
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

// trialRank returns how many other routers try a message before this one.
func (rt *Router) trialRank(part hitchfleet.PartID) (rank int) {
	own := hitchfleet.Score(hitchfleet.Key(part), rt.Self.Key())
	for _, i := range rt.View().LiveRouters {
		if hitchfleet.Score(hitchfleet.Key(part), i.Key()) > own {
			rank++
		}
	}
	return rank
}
