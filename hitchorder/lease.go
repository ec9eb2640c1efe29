package hitchorder

import "time"

// Update returns the holder after a message, and the next call of the store to make,
// if any.
func (h Holder) Update(m Message, now time.Time) (Holder, []Action) {
	h = h.adjustClock(now)
	switch m.Kind {
	case TimePassed:
		return h.handleTick(now)
	case CandidateChanged:
		return h.setCandidate(m.Candidate, now)
	case Fenced:
		if m.Number > h.number {
			return h.reset(now), h.revokeLease()
		}
		return h, nil
	case LeaseRenewed, RenewFailed, LeaseExpired:
		return h.handleRenewal(m, now)
	case CallFailed:
		if h.phase == Idle || h.phase == Holding {
			return h, nil
		}
		return h.reset(now), h.revokeLease()
	default:
		return h.advance(m, now)
	}
}

// adjustClock sets the current time. After a backward step of the clock it clamps the
// deadlines, so that none is further ahead than its limit.
func (h Holder) adjustClock(now time.Time) Holder {
	if now.Before(h.now) {
		h.safeUntil = earlier(h.safeUntil, now) // it is unknown how long the lease still lasts
		h.nextCallAt = earlier(h.nextCallAt, now)
		h.callDeadline = earlier(h.callDeadline, now.Add(callTimeout))
	}
	h.now = now
	return h
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// reset returns the holder in the phase Idle, without lease and number.
func (h Holder) reset(now time.Time) Holder {
	return Holder{Self: h.Self, candidate: h.candidate, nextCallAt: now.Add(holderCheckInterval), now: now}
}

// revokeLease returns the call that revokes the lease, if there is one, so that the
// next holder needn't wait until it expires.
func (h Holder) revokeLease() []Action {
	if h.lease == 0 {
		return nil
	}
	return []Action{{Kind: RevokeLease, Lease: h.lease}}
}

func (h Holder) startCall(phase Phase, now time.Time, a Action) (Holder, []Action) {
	h.phase = phase
	h.callDeadline = now.Add(callTimeout)
	return h, []Action{a}
}

// setCandidate makes a new candidate check for a holder at once, and a former
// candidate revoke its lease.
func (h Holder) setCandidate(candidate bool, now time.Time) (Holder, []Action) {
	if candidate == h.candidate {
		return h, nil
	}
	h.candidate = candidate
	if !candidate {
		return h.reset(now), h.revokeLease()
	}
	h.nextCallAt = now
	return h, nil
}

func (h Holder) handleTick(now time.Time) (Holder, []Action) {
	switch h.phase {
	case Idle:
		if h.candidate && !now.Before(h.nextCallAt) {
			return h.startCall(ReadingHolder, now, Action{Kind: ReadHolder})
		}
	case Holding:
		if !now.Before(h.safeUntil) {
			return h.reset(now), h.revokeLease()
		}
		if !now.Before(h.nextCallAt) {
			h.nextCallAt = now.Add(renewInterval / 4)
			return h, []Action{{Kind: RenewLease, Lease: h.lease}}
		}
	default:
		if !now.Before(h.callDeadline) {
			return h.reset(now), h.revokeLease()
		}
	}
	return h, nil
}

// advance moves to the next phase if the message is the result that the current
// phase waits for. Any other result is late, and ignored.
func (h Holder) advance(m Message, now time.Time) (Holder, []Action) {
	switch {
	case h.phase == ReadingHolder && m.Kind == HolderRead && m.Exists:
		return h.reset(now), nil
	case h.phase == ReadingHolder && m.Kind == HolderRead:
		return h.startCall(GrantingLease, now, Action{Kind: GrantLease, Deadline: now.Add(leaseTTL)})
	case h.phase == GrantingLease && m.Kind == LeaseGranted:
		h.lease, h.safeUntil = m.Lease, m.Deadline.Add(-safetyMargin)
		return h.callWithinLease(ClaimingHolder, now, Action{Kind: ClaimHolder, Lease: m.Lease})
	case h.phase == ClaimingHolder && m.Kind == HolderClaimed:
		// The previous lease has expired, or the claim would have failed. The previous
		// holder stopped before that, but its last order may still be in flight.
		h.previousOrdersDoneAt = now.Add(OrderTimeout)
		return h.callWithinLease(ReadingFence, now, Action{Kind: ReadFence})
	case h.phase == ReadingFence && m.Kind == FenceRead:
		h.number = m.Fence.Number + 1
		fence := Fence{Number: h.number, Holder: h.Self}
		return h.callWithinLease(WritingFence, now, Action{Kind: WriteFence, Revision: m.Revision, Fence: fence})
	case h.phase == WritingFence && m.Kind == FenceWritten:
		if !now.Before(h.safeUntil) {
			return h.reset(now), h.revokeLease()
		}
		h.phase, h.nextCallAt = Holding, now
	}
	return h, nil
}

// callWithinLease makes a call only while the lease is certain to be valid.
func (h Holder) callWithinLease(phase Phase, now time.Time, a Action) (Holder, []Action) {
	if !now.Before(h.safeUntil) {
		return h.reset(now), h.revokeLease()
	}
	return h.startCall(phase, now, a)
}

// handleRenewal handles the result of a renewal. A result that arrives after safeUntil
// doesn't extend the permission: the lease may have expired in between.
func (h Holder) handleRenewal(m Message, now time.Time) (Holder, []Action) {
	if h.phase != Holding || (m.Lease != 0 && m.Lease != h.lease) {
		return h, nil
	}
	switch {
	case m.Kind == LeaseExpired || !now.Before(h.safeUntil):
		return h.reset(now), h.revokeLease()
	case m.Kind == LeaseRenewed:
		h.safeUntil = m.Deadline.Add(-safetyMargin)
		h.nextCallAt = now.Add(renewInterval)
	}
	return h, nil
}
