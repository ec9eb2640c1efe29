// Package hitchorder decides which orders engines get: load a model version or an
// adapter, unload one, or change the role. Only one router at a time sends orders:
// the holder of a lease. Each holder has a higher fencing number than the previous
// one.
//
//	holder, actions := holder.Update(hitchorder.Message{Kind: hitchorder.TimePassed}, now)
//	reconciler, orders := reconciler.Reconcile(holder.Grant(now), desired, observed, now)
//	// before each order is sent: if !holder.MaySend(order, time.Now()) { drop it }
package hitchorder

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

const (
	// leaseTTL is the time to live of the holder's lease.
	leaseTTL = 15 * time.Second
	// renewInterval is the time from one renewal of the lease to the next.
	renewInterval = leaseTTL / 3
	// safetyMargin is how long before the deadline of its lease a holder stops
	// sending orders. It covers the drift between its clock and the store's.
	safetyMargin = 3 * time.Second
	// OrderTimeout is the longest time that an order may be in flight. The sender
	// of an order gives up after this time.
	OrderTimeout = 5 * time.Second
	// holderCheckInterval is how often a candidate checks whether there is a holder.
	holderCheckInterval = 5 * time.Second
	// callTimeout is how long a response of the store is waited for.
	callTimeout = 5 * time.Second
)

// Keys of the key-value service.
const (
	// HolderKey is attached to the holder's lease. Its value is the holder's ID.
	HolderKey = "citronhitch/orders/holder"
	// FenceKey holds the Fence. It has no lease, so it never expires.
	FenceKey = "citronhitch/orders/fence"
)

// Fence is the latest fencing number and the router that it was assigned to.
type Fence struct {
	Number uint64
	Holder hitchfleet.InstanceID
}

// Phase is the progress of a router towards becoming the holder.
type Phase uint8

// The phases of a holder, in their order.
const (
	// Idle: the router isn't a candidate, or waits for its next check for a holder.
	Idle Phase = iota
	// ReadingHolder: HolderKey is being read.
	ReadingHolder
	// GrantingLease: a lease is being requested.
	GrantingLease
	// ClaimingHolder: HolderKey is being created with the lease.
	ClaimingHolder
	// ReadingFence: the fence is being read.
	ReadingFence
	// WritingFence: the next fencing number is being written.
	WritingFence
	// Holding: this router may send orders.
	Holding
)

// Holder decides whether a router may send orders. It is an immutable value:
// Update returns the next state. The zero value with Self set is a router that isn't
// a candidate. A failure at any step leads back to Idle: a lease that isn't renewed
// expires, and a fencing number that was written but never used does no harm.
type Holder struct {
	Self hitchfleet.InstanceID

	phase                Phase
	candidate            bool
	lease                int64
	number               uint64
	safeUntil            time.Time // no orders are sent from here on, unless the lease is renewed
	previousOrdersDoneAt time.Time // by then, orders of the previous holder have arrived or are lost
	nextCallAt           time.Time // next check for a holder, or next renewal
	callDeadline         time.Time // deadline for the store's response
	now                  time.Time
}

// MessageKind is the event that a message reports to a holder.
type MessageKind uint8

// The kinds of messages to a holder.
const (
	// TimePassed is the periodic tick, about once a second.
	TimePassed MessageKind = iota
	// CandidateChanged sets whether the router may become the holder (Candidate).
	CandidateChanged
	// HolderRead reports whether HolderKey exists (Exists).
	HolderRead
	// LeaseGranted has Lease and its Deadline, counted from before the call.
	LeaseGranted
	// LeaseRenewed has the new Deadline of the lease, counted from before the call.
	LeaseRenewed
	// HolderClaimed reports that HolderKey was created with the lease.
	HolderClaimed
	// FenceRead has the Fence and its Revision in the store, 0 if there is none.
	FenceRead
	// FenceWritten reports that the new fencing number was written.
	FenceWritten
	// CallFailed reports that the call failed or was rejected, or that its effect is
	// unknown.
	CallFailed
	// RenewFailed reports that the store didn't respond to a renewal.
	RenewFailed
	// LeaseExpired reports that the lease has expired in the store.
	LeaseExpired
	// Fenced reports that an engine has rejected an order, since it has received a
	// higher Number.
	Fenced
)

// Message is an event for a holder. Kind determines which of the other fields are
// used.
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

// ActionKind is the store call that an action requests.
type ActionKind uint8

// The kinds of actions.
const (
	// ReadHolder: get HolderKey. Results: HolderRead or CallFailed.
	ReadHolder ActionKind = iota
	// GrantLease: request a lease up to Deadline. Results: LeaseGranted or
	// CallFailed.
	GrantLease
	// ClaimHolder: create HolderKey with Lease if it doesn't exist. Results:
	// HolderClaimed or CallFailed.
	ClaimHolder
	// ReadFence: get FenceKey. Results: FenceRead or CallFailed.
	ReadFence
	// WriteFence: write Fence to FenceKey if the key is at Revision. Results:
	// FenceWritten or CallFailed.
	WriteFence
	// RenewLease: keep Lease alive. Results: LeaseRenewed, RenewFailed or
	// LeaseExpired.
	RenewLease
	// RevokeLease: revoke Lease. Its result is ignored.
	RevokeLease
)

// Action is a call of the store. Kind determines which of the other fields are used.
type Action struct {
	Kind     ActionKind
	Lease    int64
	Deadline time.Time
	Revision int64
	Fence    Fence
}

// Phase returns the progress of the router towards becoming the holder.
func (h Holder) Phase() Phase { return h.phase }

// Grant is the permission to send orders. The zero value permits none.
type Grant struct {
	// Number is the fencing number.
	Number uint64
	// Until is when the permission ends.
	Until time.Time
	// PreviousOrdersDoneAt is when the orders of the previous holder have arrived or
	// are lost. Engines that don't check fencing numbers get no orders before it.
	PreviousOrdersDoneAt time.Time
}

// Grant returns the permission that the router has at a time. There is none if the
// clock has stepped back since the latest Update, as the time left of the lease is
// then unknown.
func (h Holder) Grant(now time.Time) Grant {
	if h.phase != Holding || !now.Before(h.safeUntil) || now.Before(h.now) {
		return Grant{}
	}
	return Grant{Number: h.number, Until: h.safeUntil, PreviousOrdersDoneAt: h.previousOrdersDoneAt}
}

// MaySend reports whether an order may be sent at a time. Call it right before each
// order with a fresh clock reading: if the process was paused after it created the
// order, its lease may have expired.
func (h Holder) MaySend(o Order, now time.Time) bool {
	g := h.Grant(now)
	if g.Number == 0 || g.Number != o.Number || !now.Before(o.Deadline) {
		return false
	}
	return o.ChecksFencing || !now.Before(g.PreviousOrdersDoneAt)
}
