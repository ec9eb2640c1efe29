package hitchquota

import (
	"math"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Notice is a quota as it is sent to other instances.
type Notice struct {
	_         struct{} `cbor:",toarray"`
	Run       hitchfleet.RunID
	PerSecond float32
	IsLimited bool
	// MaxInFlight is the number of requests that may be in flight; 0 if there is no limit.
	MaxInFlight uint16
	// AgeMilliseconds is the time since a response said so. The clocks of instances differ,
	// so that it isn't a time of day.
	AgeMilliseconds uint32
}

// NoticesMsg is a message of an instance to the hubs, or of a hub to all.
type NoticesMsg struct {
	_       struct{} `cbor:",toarray"`
	From    hitchfleet.InstanceID
	Notices []Notice
}

// PermitRequestMsg asks the owner of an endpoint for a permit. The notice says what the
// endpoint has named to the instance that asks.
type PermitRequestMsg struct {
	_      struct{} `cbor:",toarray"`
	ID     uint32
	From   hitchfleet.InstanceID
	Notice Notice
	// Holding is what the instance has in flight at the endpoint.
	Holding Holding
}

// HoldingMsg tells the owner of an endpoint what an instance has in flight there.
type HoldingMsg struct {
	_       struct{} `cbor:",toarray"`
	From    hitchfleet.InstanceID
	Run     hitchfleet.RunID
	Holding Holding
}

// PermitReplyMsg is the answer to a PermitRequestMsg with the same ID.
type PermitReplyMsg struct {
	_         struct{} `cbor:",toarray"`
	ID        uint32
	IsGranted bool
	// IsFull is set if there is no permit as too many requests are in flight.
	IsFull bool
	// AvailableMilliseconds and ReturnMilliseconds are the times until the permit's
	// AvailableAt and ReturnAt.
	AvailableMilliseconds, ReturnMilliseconds uint32
}

// Reply returns the answer to a question.
func (p Permit) Reply(now time.Time, id uint32) PermitReplyMsg {
	return PermitReplyMsg{
		ID: id, IsGranted: p.IsGranted, IsFull: p.IsFull,
		AvailableMilliseconds: milliseconds(p.AvailableAt.Sub(now)), ReturnMilliseconds: milliseconds(p.ReturnAt.Sub(now)),
	}
}

// Permit returns the permit of an answer.
func (m PermitReplyMsg) Permit(now time.Time) Permit {
	if m.IsGranted {
		return Permit{IsGranted: true}
	}
	after := func(ms uint32) time.Time {
		return now.Add(min(time.Duration(ms)*time.Millisecond, maxReturnDelay))
	}
	return Permit{IsFull: m.IsFull, AvailableAt: after(m.AvailableMilliseconds), ReturnAt: after(m.ReturnMilliseconds)}
}

// milliseconds returns a duration that isn't negative, in milliseconds.
func milliseconds(d time.Duration) uint32 { return uint32(max(d, 0).Milliseconds()) }

// Notice returns what is known of a run of an endpoint.
func (t *Tracker) Notice(now time.Time, run hitchfleet.RunID) Notice {
	quota, namedAt := t.QuotaSince(now, run)
	return newNotice(now, run, quota, namedAt)
}

func newNotice(now time.Time, run hitchfleet.RunID, q Quota, namedAt time.Time) Notice {
	return Notice{Run: run, PerSecond: float32(q.PerSecond), IsLimited: q.IsLimited, MaxInFlight: uint16(min(q.MaxInFlight, math.MaxUint16)), AgeMilliseconds: milliseconds(now.Sub(namedAt))}
}

// quota returns the quota of a notice, and when it was named.
func (n Notice) quota(now time.Time) (q Quota, namedAt time.Time) {
	age := min(time.Duration(n.AgeMilliseconds)*time.Millisecond, quotaTTL)
	return Quota{PerSecond: float64(n.PerSecond), IsLimited: n.IsLimited, MaxInFlight: int(n.MaxInFlight)}, now.Add(-age)
}
