package hitchquota

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Notice is a quota as it is sent to other instances.
type Notice struct {
	_         struct{} `cbor:",toarray"`
	Run       hitchfleet.RunID
	PerSecond float32
	IsLimited bool
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
}

// PermitReplyMsg is the answer to a PermitRequestMsg with the same ID.
type PermitReplyMsg struct {
	_         struct{} `cbor:",toarray"`
	ID        uint32
	IsGranted bool
	// AvailableMilliseconds and ReturnMilliseconds are the times until the permit's
	// AvailableAt and ReturnAt.
	AvailableMilliseconds, ReturnMilliseconds uint32
}

// Reply returns the answer to a question.
func (p Permit) Reply(now time.Time, id uint32) PermitReplyMsg {
	return PermitReplyMsg{
		ID: id, IsGranted: p.IsGranted,
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
	return Permit{AvailableAt: after(m.AvailableMilliseconds), ReturnAt: after(m.ReturnMilliseconds)}
}

// milliseconds returns a duration that isn't negative, in milliseconds.
func milliseconds(d time.Duration) uint32 { return uint32(max(d, 0).Milliseconds()) }

// Notice returns what is known of a run of an endpoint.
func (t *Tracker) Notice(now time.Time, run hitchfleet.RunID) Notice {
	quota, namedAt := t.QuotaSince(now, run)
	return newNotice(now, run, quota, namedAt)
}

func newNotice(now time.Time, run hitchfleet.RunID, q Quota, namedAt time.Time) Notice {
	return Notice{Run: run, PerSecond: float32(q.PerSecond), IsLimited: q.IsLimited, AgeMilliseconds: milliseconds(now.Sub(namedAt))}
}

// quota returns the quota of a notice, and when it was named.
func (n Notice) quota(now time.Time) (q Quota, namedAt time.Time) {
	age := min(time.Duration(n.AgeMilliseconds)*time.Millisecond, quotaTTL)
	return Quota{PerSecond: float64(n.PerSecond), IsLimited: n.IsLimited}, now.Add(-age)
}
