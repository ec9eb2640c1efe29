package hitchorder

import "time"

// Update returns the holder after a message, and the call of the store that is
// wanted next, if any.
func (h Holder) Update(m Message, now time.Time) (Holder, []Action) {
	h = h.at(now)
	switch m.Kind {
	case TimePassed:
		return h.timePassed(now)
	case CandidateChanged:
		return h.candidateChanged(m.Candidate, now)
	case Fenced:
		if m.Number > h.number {
			return h.idle(now), h.revoke()
		}
		return h, nil
	case LeaseRenewed, RenewFailed, LeaseLapsed:
		return h.renewed(m, now)
	case CallFailed:
		if h.phase == Idle || h.phase == Holding {
			return h, nil
		}
		return h.idle(now), h.revoke()
	default:
		return h.step(m, now)
	}
}

// at clamps the deadlines after a backward step of the clock, so that none lies
// further ahead than its limit.
func (h Holder) at(now time.Time) Holder {
	if now.Before(h.now) {
		h.safeUntil = earlier(h.safeUntil, now) // the lease's end is no longer known
		h.nextAt = earlier(h.nextAt, now)
		h.callUntil = earlier(h.callUntil, now.Add(callFor))
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

// idle gives up what the router holds or tries to get.
func (h Holder) idle(now time.Time) Holder {
	return Holder{Self: h.Self, candidate: h.candidate, nextAt: now.Add(lookEvery), now: now}
}

// revoke ends the lease, if there is one, so that the next holder needn't wait
// for its end.
func (h Holder) revoke() []Action {
	if h.lease == 0 {
		return nil
	}
	return []Action{{Kind: RevokeLease, Lease: h.lease}}
}

func (h Holder) call(phase Phase, now time.Time, a Action) (Holder, []Action) {
	h.phase = phase
	h.callUntil = now.Add(callFor)
	return h, []Action{a}
}

// candidateChanged starts to look at once, or gives up.
func (h Holder) candidateChanged(candidate bool, now time.Time) (Holder, []Action) {
	if candidate == h.candidate {
		return h, nil
	}
	h.candidate = candidate
	if !candidate {
		return h.idle(now), h.revoke()
	}
	h.nextAt = now
	return h, nil
}

func (h Holder) timePassed(now time.Time) (Holder, []Action) {
	switch h.phase {
	case Idle:
		if h.candidate && !now.Before(h.nextAt) {
			return h.call(Looking, now, Action{Kind: ReadHolder})
		}
	case Holding:
		if !now.Before(h.safeUntil) {
			return h.idle(now), h.revoke()
		}
		if !now.Before(h.nextAt) {
			h.nextAt = now.Add(renewEvery / 4)
			return h, []Action{{Kind: RenewLease, Lease: h.lease}}
		}
	default:
		if !now.Before(h.callUntil) {
			return h.idle(now), h.revoke()
		}
	}
	return h, nil
}

// step goes on to the next phase by the answer that the phase waits for; other
// answers are late and change nothing.
func (h Holder) step(m Message, now time.Time) (Holder, []Action) {
	switch {
	case h.phase == Looking && m.Kind == HolderSeen && m.Exists:
		return h.idle(now), nil
	case h.phase == Looking && m.Kind == HolderSeen:
		return h.call(Leasing, now, Action{Kind: GrantLease, Deadline: now.Add(leaseFor)})
	case h.phase == Leasing && m.Kind == LeaseGranted:
		h.lease, h.safeUntil = m.Lease, m.Deadline.Add(-safetyMargin)
		return h.safely(Claiming, now, Action{Kind: Claim, Lease: m.Lease})
	case h.phase == Claiming && m.Kind == Claimed:
		// The lease before has ended, or the claim would have failed. Its holder
		// stopped before that; its last order may be on its way.
		h.clearAt = now.Add(OrderFlight)
		return h.safely(Reading, now, Action{Kind: ReadFence})
	case h.phase == Reading && m.Kind == FenceRead:
		h.number = m.Fence.Number + 1
		fence := Fence{Number: h.number, Holder: h.Self}
		return h.safely(Numbering, now, Action{Kind: WriteFence, Revision: m.Revision, Fence: fence})
	case h.phase == Numbering && m.Kind == FenceWritten:
		if !now.Before(h.safeUntil) {
			return h.idle(now), h.revoke()
		}
		h.phase, h.nextAt = Holding, now
	}
	return h, nil
}

// safely makes a call only while the lease surely lasts.
func (h Holder) safely(phase Phase, now time.Time, a Action) (Holder, []Action) {
	if !now.Before(h.safeUntil) {
		return h.idle(now), h.revoke()
	}
	return h.call(phase, now, a)
}

// renewed takes the answer to a renewal. One that comes after the holder had to
// stop doesn't bring it back: the lease may have ended in between.
func (h Holder) renewed(m Message, now time.Time) (Holder, []Action) {
	if h.phase != Holding || (m.Lease != 0 && m.Lease != h.lease) {
		return h, nil
	}
	switch {
	case m.Kind == LeaseLapsed || !now.Before(h.safeUntil):
		return h.idle(now), h.revoke()
	case m.Kind == LeaseRenewed:
		h.safeUntil = m.Deadline.Add(-safetyMargin)
		h.nextAt = now.Add(renewEvery)
	}
	return h, nil
}
