package hitchclaim

import "time"

// HandleStoreResponse handles the response to a command. Responses that aren't awaited
// any more are ignored.
func (j *Journal) HandleStoreResponse(now time.Time, response StoreResponse) (step JournalStep) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if response.ID != j.pendingCommand || j.phase == phaseIdle {
		return j.nextStep(now, step)
	}
	if j.phase == phaseWriting {
		step = j.handleWriteResponse(now, response)
	} else {
		step = j.handleReadResponse(now, response)
	}
	return j.nextStep(now, step)
}

// handleWriteResponse handles the response to a write.
func (j *Journal) handleWriteResponse(now time.Time, response StoreResponse) (step JournalStep) {
	j.phase = phaseIdle
	switch response.Status {
	case StoreDone:
		return j.handleCommitted(now, response.Revision)
	case StoreFailed:
		return j.handleStoreFailure(now)
	default:
		// The response was lost, or the stored value isn't the expected one: read the
		// segment before reporting any result.
		j.needsRead = true
		if response.Status == StoreUnknown {
			j.failures++
			j.nextProbeAt = now
		}
		return step
	}
}

// handleCommitted handles a write that took effect.
func (j *Journal) handleCommitted(now time.Time, revision uint64) (step JournalStep) {
	if j.revision == 0 && !now.Before(j.createBy) {
		return j.stop()
	}
	j.failures, j.needsRead = 0, false
	j.revision = revision
	step.Committed, j.writingRuns = j.writingRuns, nil
	for _, s := range j.segmentsToDelete {
		step.Commands = append(step.Commands, j.newCommand(now, StoreCommand{
			Op: StoreDelete, Name: SegmentName(j.Self, s.number), ExpectedRevision: s.revision,
		}))
	}
	j.segmentsToDelete = nil
	if j.handoverWrite != 0 {
		j.fenced, step.HandedOver = true, true
		return step
	}
	if j.isHandingOver {
		j.writeBy, j.nextWriteAt = now, now
	}
	if j.isSealingWrite {
		changed := j.changedRecords
		j.startNextSegment(now)
		j.openSegment.Records, j.recordIndex, j.changedRecords = nil, nil, nil
		for _, record := range changed {
			j.addRecord(record)
		}
	}
	return step
}

// startNextSegment continues with a new segment after the current one was sealed. The
// new segment is written soon, as the time for creating it is limited: a fence mark
// could be created in its place and deleted again.
func (j *Journal) startNextSegment(now time.Time) {
	sealed := sealedSegment{number: j.openSegment.Number, revision: j.revision, keepUntil: j.openSegment.KeepUntil()}
	for _, record := range j.openSegment.Records {
		sealed.latestDeadline = later(sealed.latestDeadline, record.Deadline)
		if j.pendingRuns[record.Run.Key].Run == record.Run {
			sealed.pendingRuns = append(sealed.pendingRuns, record.Run)
		}
	}
	j.sealedSegments = append(j.sealedSegments, sealed)
	j.openSegment.Number++
	j.revision, j.isSealingWrite = 0, false
	j.createBy = now.Add(segmentCreateWindow)
	j.writeBy = earlierNonZero(j.writeBy, now.Add(maxOutcomeDelay))
}

// handleStoreFailure fails the waiting runs, as the store is unavailable.
func (j *Journal) handleStoreFailure(now time.Time) (step JournalStep) {
	j.failures++
	j.nextProbeAt = now.Add(min(minProbeInterval<<min(j.failures-1, 8), maxProbeInterval))
	step.Failed = append(j.writingRuns, j.queuedRuns...)
	j.writingRuns, j.queuedRuns = nil, nil
	j.writeBy = earlierNonZero(j.writeBy, j.nextProbeAt)
	return step
}

// handleReadResponse handles the response to a read, which follows a conflict, a lost
// response or an outage of the store.
func (j *Journal) handleReadResponse(now time.Time, response StoreResponse) (step JournalStep) {
	j.phase = phaseIdle
	if response.Status != StoreDone {
		return j.handleStoreFailure(now)
	}
	if len(response.Values) == 0 {
		return j.handleMissingSegment(now)
	}
	stored := response.Values[0]
	segment, err := DecodeSegment(stored.Value)
	switch {
	case err != nil || !j.isOwnSegment(segment):
		return j.stop()
	case segment.WriteSequence == j.openSegment.WriteSequence || !segment.FencedAt.IsZero():
		return j.handleCommitted(now, stored.Revision)
	}
	// The store has an earlier write of this journal. If it sealed the segment, another
	// router may put its fence mark into the next one, so that the sealed segment must
	// not be written to any more.
	j.revision = stored.Revision
	if segment.Sealed {
		j.startNextSegment(now)
	}
	j.retryWrite(now)
	return step
}

// handleMissingSegment handles a read that found no value for openSegment.
func (j *Journal) handleMissingSegment(now time.Time) (step JournalStep) {
	if j.revision != 0 || !now.Before(j.createBy) {
		return j.stop()
	}
	j.retryWrite(now)
	return step
}

// retryWrite schedules another write after one that didn't take effect.
func (j *Journal) retryWrite(now time.Time) {
	j.failures, j.needsRead = 0, false
	j.queuedRuns = append(j.writingRuns, j.queuedRuns...)
	j.writingRuns = nil
	j.writeBy = earlierNonZero(j.writeBy, now)
}

// stop ends the journal: another router has fenced the home, or the next segment can't
// be created any more.
func (j *Journal) stop() (step JournalStep) {
	j.fenced = true
	step.Fenced = true
	step.Failed = append(j.writingRuns, j.queuedRuns...)
	j.writingRuns, j.queuedRuns = nil, nil
	return step
}
