package hitchclaim

import "time"

// Stored takes the end of a command. Answers to calls that aren't awaited any
// more are dropped.
func (j *Journal) Stored(now time.Time, a StoreAnswer) (step JournalStep) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if a.ID != j.command || j.phase == phaseIdle {
		return j.next(now, step)
	}
	if j.phase == phaseWriting {
		step = j.written(now, a)
	} else {
		step = j.readBack(now, a)
	}
	return j.next(now, step)
}

// written takes the end of a write.
func (j *Journal) written(now time.Time, a StoreAnswer) (step JournalStep) {
	j.phase = phaseIdle
	switch a.Status {
	case StoreDone:
		return j.committed(now, a.Revision)
	case StoreFailed:
		return j.failed(now)
	default:
		// The answer is lost or tells of another value: read before saying anything.
		j.unsure = true
		if a.Status == StoreLost {
			j.failures++
			j.probeAt = now
		}
		return step
	}
}

// committed takes a write that took effect.
func (j *Journal) committed(now time.Time, revision uint64) (step JournalStep) {
	if j.revision == 0 && !now.Before(j.openBy) {
		return j.end()
	}
	j.failures, j.unsure = 0, false
	j.revision = revision
	step.Committed, j.writing = j.writing, nil
	for _, s := range j.dropping {
		step.Commands = append(step.Commands, j.call(now, StoreCommand{
			Verb: StoreDelete, Name: SegmentName(j.Self, s.number), Was: s.revision,
		}))
	}
	j.dropping = nil
	if j.handoverWrite != 0 {
		j.fenced, step.HandedOver = true, true
		return step
	}
	if j.handover {
		j.dirtyBy, j.nextWrite = now, now
	}
	if j.closing {
		added := j.changes
		j.seal(now)
		j.head.Records, j.index, j.changes = nil, nil, nil
		for _, record := range added {
			j.add(record)
		}
	}
	return step
}

// seal goes on with a new segment, which is opened soon as a fence mark may be
// made in its place and removed again.
func (j *Journal) seal(now time.Time) {
	sealed := sealedSegment{number: j.head.Number, revision: j.revision, keepUntil: j.head.KeepUntil()}
	for _, record := range j.head.Records {
		sealed.deadline = later(sealed.deadline, record.Deadline)
		if j.unsettled[record.Run.Key].Run == record.Run {
			sealed.pending = append(sealed.pending, record.Run)
		}
	}
	j.sealed = append(j.sealed, sealed)
	j.head.Number++
	j.revision, j.closing = 0, false
	j.openBy = now.Add(openWindow)
	j.dirtyBy = earliest(j.dirtyBy, now.Add(settleWait))
}

// failed refuses the runs that wait, as the store is out.
func (j *Journal) failed(now time.Time) (step JournalStep) {
	j.failures++
	j.probeAt = now.Add(min(minProbe<<min(j.failures-1, 8), maxProbe))
	step.Failed = append(j.writing, j.waiting...)
	j.writing, j.waiting = nil, nil
	j.dirtyBy = earliest(j.dirtyBy, j.probeAt)
	return step
}

// readBack takes the value that stands in the store after a conflict, a lost
// answer or an outage.
func (j *Journal) readBack(now time.Time, a StoreAnswer) (step JournalStep) {
	j.phase = phaseIdle
	if a.Status != StoreDone {
		return j.failed(now)
	}
	if len(a.Values) == 0 {
		return j.absent(now)
	}
	stored := a.Values[0]
	segment, err := DecodeSegment(stored.Value)
	switch {
	case err != nil || !j.isOwn(segment):
		return j.end()
	case segment.Write == j.head.Write || !segment.Fenced.IsZero():
		return j.committed(now, stored.Revision)
	}
	// An earlier write stands there. If it sealed the segment, another router may
	// put the fence behind it, so that nothing may be written to it any more.
	j.revision = stored.Revision
	if segment.Sealed {
		j.seal(now)
	}
	j.again(now)
	return step
}

// absent takes the news that the open segment isn't in the store.
func (j *Journal) absent(now time.Time) (step JournalStep) {
	if j.revision != 0 || !now.Before(j.openBy) {
		return j.end()
	}
	j.again(now)
	return step
}

// again repeats the write that didn't take effect.
func (j *Journal) again(now time.Time) {
	j.failures, j.unsure = 0, false
	j.waiting = append(j.writing, j.waiting...)
	j.writing = nil
	j.dirtyBy = earliest(j.dirtyBy, now)
}

// end stops the journal: another router has fenced the home, or the journal
// can't be opened any more.
func (j *Journal) end() (step JournalStep) {
	j.fenced = true
	step.Fenced = true
	step.Failed = append(j.writing, j.waiting...)
	j.writing, j.waiting = nil, nil
	return step
}
