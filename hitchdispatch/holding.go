package hitchdispatch

import (
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Times of holdings.
const (
	// holdGrace is how long after an assignment an instance may not know of it.
	holdGrace = 250 * time.Millisecond
	// holdingTTL is how long a slot that another owner assigned counts without being reported.
	holdingTTL = 4 * time.Second
	// staleSequence is after how long an instance's numbers may begin anew, as it has restarted.
	staleSequence = 2 * time.Second
	// askerTTL is how long an instance without requests is remembered.
	askerTTL = 10 * time.Second
)

// asker is an instance that asks for slots.
type asker struct {
	entries  map[RequestID]*entry
	sequence uint32
	heldAt   time.Time
}

// asker returns the entry of an instance, which is created on first use.
func (s *Scheduler) asker(now time.Time, id hitchfleet.InstanceID) *asker {
	if a := s.askers[id]; a != nil {
		return a
	}
	if s.askers == nil {
		s.askers = make(map[hitchfleet.InstanceID]*asker)
	}
	for other, a := range s.askers {
		if len(a.entries) == 0 && now.Sub(a.heldAt) > askerTTL {
			delete(s.askers, other)
		}
	}
	a := &asker{entries: make(map[RequestID]*entry), heldAt: now}
	s.askers[id] = a
	return a
}

// hold records what an instance uses.
func (s *Scheduler) hold(now time.Time, from hitchfleet.InstanceID, h Holding) {
	a := s.asker(now, from)
	if int32(h.Sequence-a.sequence) <= 0 && now.Sub(a.heldAt) < staleSequence {
		return
	}
	a.sequence, a.heldAt = h.Sequence, now
	for _, held := range h.Held {
		s.adopt(now, a, Key{from, held.ID}, held.Run)
	}
	for _, e := range a.entries {
		switch {
		case e.state == stateAssigned && now.Sub(e.answeredAt) >= holdGrace:
			if !slices.ContainsFunc(h.Held, func(held Held) bool { return held.ID == e.ID }) {
				s.mend(now, e)
			}
		case e.state == stateWaiting && h.IsWhole && now.Sub(e.submittedAt) >= holdGrace:
			if !slices.Contains(h.Waiting, e.ID) {
				s.end(now, e)
				s.stats.Mended++
			}
		}
	}
}

// mend frees the slot of an attempt whose result is missing.
func (s *Scheduler) mend(now time.Time, e *entry) {
	s.end(now, e)
	e.isMended = !e.isAdopted
	s.stats.Mended++
}

// adopt records a slot that an instance uses and that this owner may not have assigned.
func (s *Scheduler) adopt(now time.Time, a *asker, key Key, run hitchfleet.RunID) {
	p := s.endpoint(run)
	e := a.entries[key.ID]
	switch {
	case e == nil && p != nil:
		e = &entry{Request: Request{Key: key}, state: stateAssigned, endpoint: p, assignedAt: now, answeredAt: now, submittedAt: now, isAdopted: true}
		p.inUse++
		a.entries[key.ID] = e
	case e == nil || e.state != stateAssigned:
		return
	}
	// A stream may go on after the deadline of its first event.
	if due := now.Add(holdingTTL); e.isAdopted || due.After(e.dueAt) {
		s.setDue(e, due)
	}
}

// endpoint returns the state of a run of an endpoint, and nil if it isn't listed.
func (s *Scheduler) endpoint(run hitchfleet.RunID) *endpoint {
	for _, p := range s.endpoints {
		if p.run == run {
			return p
		}
	}
	return nil
}
