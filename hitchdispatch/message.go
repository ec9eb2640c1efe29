package hitchdispatch

import (
	"math"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// RequestMsg asks the owner of a service's queue for a slot.
type RequestMsg struct {
	_            struct{} `cbor:",toarray"`
	Service      hitchfleet.ServiceID
	From         hitchfleet.InstanceID
	ID           RequestID
	Zone         hitchfleet.AvailabilityZone
	Organisation hitchfleet.OrganisationID
	Call         hitchfleet.Key
	Rank         uint8
	// ObjectiveMilliseconds and DeadlineMilliseconds are the remaining times. The clocks of
	// instances differ, so that they aren't times of day.
	ObjectiveMilliseconds, DeadlineMilliseconds uint32
	Tried                                       []hitchfleet.RunID
	MayRepeat                                   bool
	Repeats                                     uint8
	Holding                                     Holding
}

// ResultMsg tells the owner that an attempt ended and its slot is free.
type ResultMsg struct {
	_                   struct{} `cbor:",toarray"`
	Service             hitchfleet.ServiceID
	From                hitchfleet.InstanceID
	ID                  RequestID
	Run                 hitchfleet.RunID
	Outcome             Outcome
	ElapsedMilliseconds float32
	Load                Load
}

// WithdrawMsg tells the owner that a request no longer needs a slot.
type WithdrawMsg struct {
	_       struct{} `cbor:",toarray"`
	Service hitchfleet.ServiceID
	From    hitchfleet.InstanceID
	ID      RequestID
}

// HoldingMsg tells the owner what an instance uses, once a second while that isn't nothing, and
// once more.
type HoldingMsg struct {
	_       struct{} `cbor:",toarray"`
	Service hitchfleet.ServiceID
	From    hitchfleet.InstanceID
	Holding Holding
}

// DecisionMsg is the owner's answer to a RequestMsg with the same ID.
type DecisionMsg struct {
	_      struct{} `cbor:",toarray"`
	ID     RequestID
	Kind   DecisionKind
	Run    hitchfleet.RunID
	Reason Reason
	// ReturnMilliseconds and AskMilliseconds are the times until ReturnAt and AskAt.
	ReturnMilliseconds, AskMilliseconds uint32
}

// maxDelay limits the times that a message names.
const maxDelay = 10 * time.Minute

// Message returns the question for a request.
func (r Request) Message(now time.Time, service hitchfleet.ServiceID, h Holding) RequestMsg {
	return RequestMsg{
		Service: service, From: r.From, ID: r.ID, Zone: r.Zone, Organisation: r.Organisation, Call: r.Call, Rank: r.Rank,
		ObjectiveMilliseconds: milliseconds(r.ObjectiveAt.Sub(now)), DeadlineMilliseconds: milliseconds(r.DeadlineAt.Sub(now)),
		Tried: r.Tried, MayRepeat: r.MayRepeat, Repeats: r.Repeats, Holding: h,
	}
}

// Request returns the request of a question.
func (m RequestMsg) Request(now time.Time) Request {
	return Request{
		Key: Key{m.From, m.ID}, Zone: m.Zone, Organisation: m.Organisation, Call: m.Call, Rank: m.Rank,
		ObjectiveAt: after(now, m.ObjectiveMilliseconds), DeadlineAt: after(now, m.DeadlineMilliseconds),
		Tried: m.Tried, MayRepeat: m.MayRepeat, Repeats: m.Repeats,
	}
}

// Message returns the message of a result.
func (r Result) Message(service hitchfleet.ServiceID) ResultMsg {
	return ResultMsg{
		Service: service, From: r.From, ID: r.ID, Run: r.Run, Outcome: r.Outcome,
		ElapsedMilliseconds: float32(r.Elapsed.Seconds() * 1000), Load: r.Load,
	}
}

// Result returns the result of a message.
func (m ResultMsg) Result() Result {
	elapsed := min(max(float64(m.ElapsedMilliseconds), 0), float64(maxDelay.Milliseconds()))
	if math.IsNaN(elapsed) {
		elapsed = 0
	}
	return Result{
		Key: Key{m.From, m.ID}, Run: m.Run, Outcome: m.Outcome,
		Elapsed: time.Duration(elapsed * float64(time.Millisecond)), Load: m.Load,
	}
}

// Message returns the answer to an instance.
func (d Decision) Message(now time.Time) DecisionMsg {
	return DecisionMsg{
		ID: d.ID, Kind: d.Kind, Run: d.Run, Reason: d.Reason,
		ReturnMilliseconds: milliseconds(d.ReturnAt.Sub(now)), AskMilliseconds: milliseconds(d.AskAt.Sub(now)),
	}
}

// Decision returns the decision of an answer that an instance has received.
func (m DecisionMsg) Decision(now time.Time, to hitchfleet.InstanceID) Decision {
	return Decision{
		Key: Key{to, m.ID}, Kind: m.Kind, Run: m.Run, Reason: m.Reason,
		ReturnAt: after(now, m.ReturnMilliseconds), AskAt: after(now, m.AskMilliseconds),
	}
}

// milliseconds returns a duration that isn't negative, in milliseconds.
func milliseconds(d time.Duration) uint32 { return uint32(min(max(d, 0), maxDelay).Milliseconds()) }

// after returns the time after a number of milliseconds.
func after(now time.Time, ms uint32) time.Time {
	return now.Add(min(time.Duration(ms)*time.Millisecond, maxDelay))
}
