// Package hitchorder gives engines their orders: load a model version or an
// adapter, unload one, change the role. One router at a time does so. It holds a
// lease, and each holder has a higher fencing number than the one before.
//
//	holder, actions := holder.Update(hitchorder.Message{Kind: hitchorder.TimePassed}, now)
//	reconciler, orders := reconciler.Reconcile(holder.Grant(now), desired, observed, now)
//	// before each order is sent: if !holder.MayOrder(order, time.Now()) { drop it }
package hitchorder

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

const (
	// leaseFor is the time to live of the holder's lease.
	leaseFor = 15 * time.Second
	// renewEvery is when the lease is renewed after its latest renewal.
	renewEvery = leaseFor / 3
	// safetyMargin is how long before its lease's deadline a holder stops. It
	// covers the drift between its clock and the store's.
	safetyMargin = 3 * time.Second
	// OrderFlight is the longest time that an order may be on its way. Whoever
	// sends an order gives up after it.
	OrderFlight = 5 * time.Second
	// lookEvery is how often a candidate looks whether there is a holder.
	lookEvery = 5 * time.Second
	// callFor is how long an answer of the store is waited for.
	callFor = 5 * time.Second
)

// Keys of the key-value service.
const (
	// HolderKey lives by the holder's lease. Its value is the holder's ID.
	HolderKey = "citronhitch/orders/holder"
	// FenceKey holds the Fence. It lives without a lease.
	FenceKey = "citronhitch/orders/fence"
)

// Fence is the latest fencing number and who took it.
type Fence struct {
	Number uint64
	Holder hitchfleet.InstanceID
}

// Phase is how far a router has come in becoming the holder.
type Phase uint8

// The phases of a holder, in their order.
const (
	// Idle routers aren't candidates, or wait to look again.
	Idle Phase = iota
	// Looking: HolderKey is being read.
	Looking
	// Leasing: a lease is being granted.
	Leasing
	// Claiming: HolderKey is being created with the lease.
	Claiming
	// Reading: the fence is being read.
	Reading
	// Numbering: the next fencing number is being written.
	Numbering
	// Holding: this router may give orders.
	Holding
)

// Holder decides whether a router may give orders. It is an immutable value:
// Update returns the next one. The zero value, with an ID, is a router that isn't
// a candidate. A failure at any step leads back to Idle: a lease that isn't
// renewed ends by itself, and a number that was taken in vain does no harm.
type Holder struct {
	Self hitchfleet.InstanceID

	phase     Phase
	candidate bool
	lease     int64
	number    uint64
	safeUntil time.Time // stop giving orders
	clearAt   time.Time // orders of the holder before have arrived or are lost
	nextAt    time.Time // look or renew
	callUntil time.Time // give up on the store's answer
	now       time.Time
}

// MessageKind says what a holder is told.
type MessageKind uint8

// The kinds of messages to a holder.
const (
	// TimePassed is sent about once a second.
	TimePassed MessageKind = iota
	// CandidateChanged says by Candidate whether the router may become holder.
	CandidateChanged
	// HolderSeen says by Exists whether HolderKey exists.
	HolderSeen
	// LeaseGranted brings Lease and its Deadline, counted from before the call.
	LeaseGranted
	// LeaseRenewed brings the lease's new Deadline, counted from before the call.
	LeaseRenewed
	// Claimed says that HolderKey was created with the lease.
	Claimed
	// FenceRead brings the Fence and its Revision in the store; 0 if none.
	FenceRead
	// FenceWritten says that the number was taken.
	FenceWritten
	// CallFailed says that the call failed, was refused, or that its effect
	// isn't known.
	CallFailed
	// RenewFailed says that the store didn't answer a renewal.
	RenewFailed
	// LeaseLapsed says that the store has ended the lease.
	LeaseLapsed
	// Fenced says that an engine has refused an order, as it knows a higher
	// Number.
	Fenced
)

// Message is what a holder is told. Kind says which of the other fields count.
type Message struct {
	Kind      MessageKind
	Candidate bool
	Exists    bool
	Lease     int64
	Deadline  time.Time
	Fence     Fence
	Revision  int64
	Number    uint64
}

// ActionKind says which call of the store is wanted.
type ActionKind uint8

// The kinds of actions.
const (
	// ReadHolder: get HolderKey; answer with HolderSeen or CallFailed.
	ReadHolder ActionKind = iota
	// GrantLease: grant a lease up to Deadline; LeaseGranted or CallFailed.
	GrantLease
	// Claim: create HolderKey with Lease if it doesn't exist; Claimed or
	// CallFailed.
	Claim
	// ReadFence: get FenceKey; FenceRead or CallFailed.
	ReadFence
	// WriteFence: swap FenceKey from Revision to Fence; FenceWritten or
	// CallFailed.
	WriteFence
	// RenewLease: keep Lease alive; LeaseRenewed, RenewFailed or LeaseLapsed.
	RenewLease
	// RevokeLease: end Lease; no answer is wanted.
	RevokeLease
)

// Action is a call of the store. Kind says which of the other fields count.
type Action struct {
	Kind     ActionKind
	Lease    int64
	Deadline time.Time
	Revision int64
	Fence    Fence
}

// Phase returns the phase.
func (h Holder) Phase() Phase { return h.phase }

// Grant is what the holder may do from now on. The zero value allows nothing.
type Grant struct {
	Number uint64
	// Until is when the holder stops.
	Until time.Time
	// ClearAt is when engines that don't check numbers may get orders.
	ClearAt time.Time
}

// Grant returns what the router may do at a time. A clock that was stepped back
// since the latest Update can't tell whether the lease lasts.
func (h Holder) Grant(now time.Time) Grant {
	if h.phase != Holding || !now.Before(h.safeUntil) || now.Before(h.now) {
		return Grant{}
	}
	return Grant{Number: h.number, Until: h.safeUntil, ClearAt: h.clearAt}
}

// MayOrder tells whether an order may be sent at a time. It must be asked right
// before each order, with the clock read anew: a holder that was paused since
// finds that its lease may have ended.
func (h Holder) MayOrder(o Order, now time.Time) bool {
	g := h.Grant(now)
	if g.Number == 0 || g.Number != o.Number || !now.Before(o.Deadline) {
		return false
	}
	return o.ChecksFencing || !now.Before(g.ClearAt)
}
