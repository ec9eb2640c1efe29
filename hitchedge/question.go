package hitchedge

import (
	"context"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchdigest"
	"citronhitch.example/citronhitch/hitchfleet"
)

// Times of questions to the owner of a key.
const (
	// answerTimeout is how long an owner may take to answer, and answerTries how often it is
	// asked: if each lost datagram led to the next instance, both would decide.
	answerTimeout = 40 * time.Millisecond
	answerTries   = 2
	// ownerCount is how many instances may decide about a key: the second one if the first
	// doesn't respond.
	ownerCount = 2
	// ownerRestTime is how long an instance that didn't respond isn't asked.
	ownerRestTime = 500 * time.Millisecond
	// patientTimeout is how long an owner may take whose answer takes effect although it is late.
	patientTimeout = 120 * time.Millisecond
)

// questions holds the questions that wait for an answer of type A. The zero value is ready to
// use.
type questions[A any] struct {
	mu      sync.Mutex
	lastID  uint32
	waiting map[uint32]chan A
}

// open registers a question and returns its ID and the channel of its answer.
func (q *questions[A]) open() (id uint32, answer <-chan A) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting == nil {
		q.waiting = make(map[uint32]chan A)
	}
	q.lastID++
	ch := make(chan A, 1)
	q.waiting[q.lastID] = ch
	return q.lastID, ch
}

// close ends the wait for an answer.
func (q *questions[A]) close(id uint32) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, id)
}

// receive passes an answer to the question that waits for it.
func (q *questions[A]) receive(id uint32, answer A) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if ch := q.waiting[id]; ch != nil {
		ch <- answer
		delete(q.waiting, id)
	}
}

// restingOwners holds the instances that didn't respond recently. The zero value holds none.
type restingOwners struct {
	mu    sync.Mutex
	until map[hitchfleet.InstanceID]time.Time
}

// isResting reports whether an instance didn't respond recently.
func (r *restingOwners) isResting(now time.Time, id hitchfleet.InstanceID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	until, ok := r.until[id]
	if ok && !now.Before(until) {
		delete(r.until, id)
	}
	return now.Before(until)
}

// rest records that an instance didn't respond.
func (r *restingOwners) rest(now time.Time, id hitchfleet.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.until == nil {
		r.until = make(map[hitchfleet.InstanceID]time.Time)
	}
	r.until[id] = now.Add(ownerRestTime)
}

// question is one about a key, for the instance that decides about it.
type question[A any] struct {
	about string // for the log
	key   hitchfleet.Key
	// questions takes the answer. packet returns the datagram that asks, with the ID of the
	// question.
	questions *questions[A]
	packet    func(id uint32) hitchdigest.Packet
	// decide answers at this instance, if isReady returns true; nil means always.
	decide  func(now time.Time) A
	isReady func(now time.Time) bool
	// isPatient is set if a late answer is better than that of the next owner.
	isPatient bool
}

// askOwner asks the owner of a key, or the next instance if that one doesn't respond. It
// returns false if none of them responds, or ctx ends.
func askOwner[A any](ctx context.Context, e *Edge, q question[A]) (answer A, ok bool) {
	for _, owner := range hitchfleet.Owners(q.key, e.liveInstances(), ownerCount) {
		now := time.Now()
		if owner.ID == e.Settings.Self.ID {
			if q.isReady != nil && !q.isReady(now) {
				continue
			}
			return q.decide(now), true
		}
		if e.restingOwners.isResting(now, owner.ID) {
			continue
		}
		for n := 0; n < answerTries && ctx.Err() == nil; n++ {
			if answer, ok = askOnce(ctx, e, q, owner); ok {
				return answer, true
			}
		}
		if ctx.Err() != nil { // the request has ended, which says nothing of the owner
			return answer, false
		}
		e.restingOwners.rest(time.Now(), owner.ID)
		e.Log.Info("no answer from an owner", "Question", q.about, "Owner", owner.ID)
	}
	return answer, false
}

// askOnce sends one question. It returns false if no answer arrives in time.
func askOnce[A any](ctx context.Context, e *Edge, q question[A], owner hitchfleet.Instance) (answer A, ok bool) {
	socket := e.socket.Load()
	if socket == nil {
		return answer, false
	}
	id, answers := q.questions.open()
	defer q.questions.close(id)
	e.send(socket, q.packet(id), owner)
	timeout := answerTimeout
	if q.isPatient {
		timeout = patientTimeout
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case answer = <-answers:
		return answer, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return answer, false
}

// liveInstances returns the instances in the view, this one too, that aren't silent.
func (e *Edge) liveInstances() []hitchfleet.Instance {
	now := time.Now()
	live := []hitchfleet.Instance{e.Settings.Self}
	for _, i := range e.otherInstances() {
		if !e.liveness.IsSilent(now, i.ID) {
			live = append(live, i)
		}
	}
	return live
}
