// Package hitchpath decides whether an instance's own network path to the endpoints is broken,
// rather than the endpoints: no endpoint responds on a new connection from it, while other
// instances reach them. Such an instance is cut off. It relays its callers' requests through the
// others until its path works again.
//
//	m := hitchpath.Monitor{Ask: ask, Endpoints: endpoints, Confirm: confirm}
//	m.RecordFailure(now)
//	if m.SendsElsewhere(now) {
//		// ... relay the request through m.Relay(nil) ...
//	}
package hitchpath

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchforward"
)

// Times and limits of the checks of a path.
const (
	// roundTimeout is how long the endpoints of a round may take to answer, and roundInterval
	// the pause between two rounds.
	roundTimeout  = 250 * time.Millisecond
	roundInterval = 150 * time.Millisecond
	// askInterval is after how long the next endpoint of a round is asked while none has answered:
	// on a path that works a round costs one question.
	askInterval = 40 * time.Millisecond
	// endpointsPerRound is the number of endpoints of a round.
	endpointsPerRound = 4
	// failedRounds is the number of rounds in a row without any endpoint after which others
	// are asked, and passedRounds the number of rounds after which the path works again.
	failedRounds = 2
	passedRounds = 3
	// minSilence is how long endpoints that accept connections stay silent before others are asked:
	// longer than a sound endpoint's pause of a second, of which suspicion takes a part.
	minSilence = time.Second
	// minCheckInterval is the least time between the end of a check that found nothing and
	// the next one.
	minCheckInterval = 500 * time.Millisecond
	// maxDoubt is how long others are asked, if none of them reaches endpoints either.
	maxDoubt = 10 * time.Second
	// relayInterval is how often it is asked which instances reach endpoints.
	relayInterval = 500 * time.Millisecond
	// returnTime is how long requests take to return to the instance's own path.
	returnTime = 3 * time.Second
	// contactTTL is how long a response shows that the path works, and answerTTL how long the
	// answer to a question does. It is shorter than a check, so that no answer from before a
	// silence of all endpoints confirms a cut.
	contactTTL = time.Second
	answerTTL  = 300 * time.Millisecond
)

// Evidence is what the questions of a round show of the path.
type Evidence uint8

// The evidence of a round, in the order in which it prevails.
const (
	// Unreached means that no endpoint accepted a connection.
	Unreached Evidence = iota
	// Broken means that a connection was accepted and broke before an answer.
	Broken
	// Silent means that a connection was accepted and nothing came in time.
	Silent
	// Answered means that an endpoint answered.
	Answered
)

// String returns the evidence's name in logs.
func (e Evidence) String() string {
	return [...]string{"Unreached", "Broken", "Silent", "Answered"}[e]
}

// EvidenceOf returns what the result of a question to an endpoint shows.
func EvidenceOf(err error) Evidence {
	var failure *hitchforward.Failure
	switch {
	case err == nil:
		return Answered
	case !errors.As(err, &failure) || failure.Kind == hitchforward.FailureUnsent:
		return Unreached
	case failure.Kind == hitchforward.FailureSilent:
		return Silent
	default:
		return Broken
	}
}

// needsAnswer reports whether another instance must have an answer of an endpoint to confirm that
// the path is broken. Otherwise one of whose endpoints none answers questions would seem cut off.
func (e Evidence) needsAnswer() bool { return e == Broken || e == Silent }

// State is what is known of the path.
type State uint8

// The states of a path.
const (
	// InTouch means that nothing is known against the path.
	InTouch State = iota
	// Doubted means that it is being checked.
	Doubted
	// CutOff means that the path is broken, while others reach endpoints.
	CutOff
	// Returning means that the path works again, and requests return to it.
	Returning
)

// String returns the state's name in logs and metrics.
func (s State) String() string { return [...]string{"InTouch", "Doubted", "CutOff", "Returning"}[s] }

// Change is a change of the state, with its evidence.
type Change struct {
	Old, New State
	// Failures counts the failed requests since the last contact with an endpoint, of which the
	// first was at FirstFailureAt, and Rounds those of the check.
	Failures       int
	FirstFailureAt time.Time
	Rounds         int
	// Evidence is that of the last round.
	Evidence Evidence
	// ContactAt is when an endpoint last responded.
	ContactAt time.Time
	// Relays are the instances that reach endpoints.
	Relays []hitchfleet.Instance
}

// Monitor holds the state of an instance's path. Its function fields are set before the first
// failure is recorded. Its methods are safe for concurrent use.
type Monitor struct {
	// IsOff is set if the path counts as working whatever is seen of it.
	IsOff bool
	// Ask asks an endpoint on a new connection something that runs nothing there.
	Ask func(ctx context.Context, e hitchfleet.Endpoint) Evidence
	// Endpoints returns the endpoints that should answer.
	Endpoints func() []hitchfleet.Endpoint
	// Confirm returns other instances that reach endpoints now. If needsAnswer is set, an endpoint
	// has answered a question of theirs.
	Confirm func(ctx context.Context, needsAnswer bool) []hitchfleet.Instance
	// OnChange is called with each change of the state; nil means not at all.
	OnChange func(c Change)

	mu        sync.Mutex
	state     State
	changedAt time.Time
	contactAt time.Time
	// openedAt is when the newest connection was opened on which an endpoint has responded, and
	// answeredAt when one last answered a question.
	openedAt, answeredAt time.Time
	// failures and firstFailureAt are those since the last contact.
	failures       int
	firstFailureAt time.Time
	isChecking     bool
	// verdict is closed once the check that runs has found out whether the path is broken, as far
	// as two rounds show. It is nil if that is known, or none runs.
	verdict     chan struct{}
	nextCheckAt time.Time
	relays      []hitchfleet.Instance
	// cutOff is closed when the path is found broken. It is nil while nobody waits for that.
	cutOff chan struct{}
}

// RecordContact records a response from an endpoint, and when its connection was opened: the zero
// time if that isn't known.
func (m *Monitor) RecordContact(now, openedAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.contactAt, m.failures = now, 0
	if openedAt.After(m.openedAt) {
		m.openedAt = openedAt
	}
}

// HasContactSince reports whether an endpoint has responded since a time.
func (m *Monitor) HasContactSince(at time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.contactAt.After(at)
}

// RecordFailure records a request that didn't reach an endpoint, or has no response. Unless the
// path was checked just now, it is checked in the background.
func (m *Monitor) RecordFailure(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failures == 0 {
		m.firstFailureAt = now
	}
	m.failures++
	if m.IsOff || m.Ask == nil || m.isChecking || now.Before(m.nextCheckAt) {
		return
	}
	m.isChecking, m.verdict = true, make(chan struct{})
	go m.check()
}

// State returns the state of the path.
func (m *Monitor) State(now time.Time) State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stateAt(now)
}

// stateAt returns the state of the path. It is called with mu held.
func (m *Monitor) stateAt(now time.Time) State {
	if m.state == Returning && now.Sub(m.changedAt) >= returnTime {
		return InTouch
	}
	return m.state
}

// ReachesEndpoints reports whether the path works: an endpoint has responded just now, or accepts
// a new connection. If needsAnswer is set, one answers a question, or has done so just now.
func (m *Monitor) ReachesEndpoints(now time.Time, needsAnswer bool) bool {
	m.mu.Lock()
	state, contactAt, answeredAt := m.stateAt(now), m.contactAt, m.answeredAt
	m.mu.Unlock()
	switch {
	case state == CutOff || state == Doubted:
		return false
	case now.Sub(answeredAt) < answerTTL, !needsAnswer && now.Sub(contactAt) < contactTTL:
		return true
	default:
		evidence := m.round(now)
		return evidence == Answered || !needsAnswer && evidence != Unreached
	}
}

// IsBroken reports whether the path is broken now, so that an endpoint that refuses connections
// hasn't ended: others don't accept one or break it, while other instances reach them.
func (m *Monitor) IsBroken() bool {
	if m.IsOff || m.Ask == nil {
		return false
	}
	now := time.Now()
	if m.State(now) == CutOff {
		return true
	}
	evidence := m.round(now)
	return (evidence == Unreached || evidence == Broken) && len(m.confirm(evidence.needsAnswer())) > 0
}

// SendsElsewhere reports whether the next request goes through another instance: each one while
// this one is cut off, and then fewer and fewer.
func (m *Monitor) SendsElsewhere(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch m.stateAt(now) {
	case CutOff:
		return true
	case Returning:
		return rand.Float64() >= now.Sub(m.changedAt).Seconds()/returnTime.Seconds()
	default:
		return false
	}
}

// Relay returns an instance that reaches endpoints, other than the given ones. It returns false
// if none is known.
func (m *Monitor) Relay(except []hitchfleet.InstanceID) (hitchfleet.Instance, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	candidates := slices.DeleteFunc(slices.Clone(m.relays), func(i hitchfleet.Instance) bool { return slices.Contains(except, i.ID) })
	if len(candidates) == 0 {
		return hitchfleet.Instance{}, false
	}
	return candidates[rand.IntN(len(candidates))], true
}

// AwaitCutOff returns a channel that is closed once the path is found broken, or nil if that is
// known already.
func (m *Monitor) AwaitCutOff() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state == CutOff {
		return nil
	}
	if m.cutOff == nil {
		m.cutOff = make(chan struct{})
	}
	return m.cutOff
}

// AwaitVerdict returns a channel that is closed once the check that runs has found out whether the
// path is broken, or nil if none runs, or it has.
func (m *Monitor) AwaitVerdict() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.verdict
}

// reachVerdict lets those go on that await the verdict of the check.
func (m *Monitor) reachVerdict() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.verdict != nil {
		close(m.verdict)
		m.verdict = nil
	}
}

// check checks the path until it is in touch, or returns to be so.
func (m *Monitor) check() {
	defer m.endCheck()
	relays := m.findRelays()
	m.reachVerdict()
	if len(relays) > 0 {
		m.awaitReturn(relays)
	}
}

// findRelays checks the path, and asks others once it has failed. It returns no instance if the
// path works, or no other one reaches endpoints.
func (m *Monitor) findRelays() []hitchfleet.Instance {
	begin := time.Now()
	for rounds := 1; time.Since(begin) < maxDoubt; rounds++ {
		evidence := m.round(begin)
		if evidence == Answered {
			m.setState(InTouch, rounds, evidence, nil)
			return nil
		}
		m.setState(Doubted, rounds, evidence, nil)
		if rounds >= failedRounds && (evidence != Silent || time.Since(begin) >= minSilence) {
			relays := m.confirm(evidence.needsAnswer())
			if len(relays) > 0 && evidence.needsAnswer() && m.round(time.Now()) == Answered {
				m.setState(InTouch, rounds, Answered, nil)
				return nil // the endpoints were silent, and answered the others once that was over
			}
			if len(relays) > 0 {
				m.setState(CutOff, rounds, evidence, relays)
				return relays
			}
			m.reachVerdict()
		}
		time.Sleep(roundInterval)
	}
	m.setState(InTouch, 0, Unreached, nil)
	return nil
}

// awaitReturn checks a broken path until it works again.
func (m *Monitor) awaitReturn(relays []hitchfleet.Instance) {
	askedAt := time.Now()
	for passed := 0; passed < passedRounds; {
		time.Sleep(roundInterval)
		evidence := m.round(time.Now())
		if evidence == Answered {
			passed++
		} else {
			passed = 0
		}
		if time.Since(askedAt) >= relayInterval {
			askedAt = time.Now()
			relays = m.confirm(evidence.needsAnswer())
			m.setRelays(relays)
		}
	}
	m.setState(Returning, passedRounds, Answered, relays)
}

// confirm returns other instances that reach endpoints.
func (m *Monitor) confirm(needsAnswer bool) []hitchfleet.Instance {
	ctx, cancel := context.WithTimeout(context.Background(), roundTimeout)
	defer cancel()
	return m.Confirm(ctx, needsAnswer)
}

// round asks some random endpoints, the next one once the one before has failed or is late, until
// one answers. A response to a request on a connection that was opened after begin counts too, and
// so does a fleet without endpoints.
func (m *Monitor) round(begin time.Time) (evidence Evidence) {
	endpoints := m.sample()
	if len(endpoints) == 0 || m.hasOpenedSince(begin) {
		return Answered
	}
	ctx, cancel := context.WithTimeout(context.Background(), roundTimeout)
	defer cancel()
	results := make(chan Evidence, len(endpoints))
	next := time.NewTicker(askInterval)
	defer next.Stop()
	for asked, finished := 0, 0; finished < len(endpoints); {
		if asked < len(endpoints) {
			e := endpoints[asked]
			go func() { results <- m.Ask(ctx, e) }()
			asked++
		}
		select {
		case result := <-results:
			finished++
			evidence = max(evidence, result)
		case <-next.C:
		}
		if evidence == Answered {
			m.mu.Lock()
			m.answeredAt = time.Now()
			m.mu.Unlock()
			return Answered
		}
	}
	if m.hasOpenedSince(begin) {
		return Answered
	}
	return evidence
}

// hasOpenedSince reports whether an endpoint has responded on a connection that was opened since a
// time.
func (m *Monitor) hasOpenedSince(at time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.openedAt.After(at)
}

// sample returns the endpoints of a round, from as many availability zones as possible.
func (m *Monitor) sample() (sample []hitchfleet.Endpoint) {
	endpoints := m.Endpoints()
	rand.Shuffle(len(endpoints), func(i, j int) { endpoints[i], endpoints[j] = endpoints[j], endpoints[i] })
	seen := make(map[hitchfleet.AvailabilityZone]bool)
	var others []hitchfleet.Endpoint
	for _, e := range endpoints {
		if seen[e.Zone] {
			others = append(others, e)
			continue
		}
		seen[e.Zone] = true
		sample = append(sample, e)
	}
	sample = append(sample, others...)
	return sample[:min(len(sample), endpointsPerRound)]
}

// setRelays replaces the instances that reach endpoints, unless none was found, as those that
// were known may go on doing so.
func (m *Monitor) setRelays(relays []hitchfleet.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(relays) > 0 {
		m.relays = relays
	}
}

// setState changes the state.
func (m *Monitor) setState(state State, rounds int, evidence Evidence, relays []hitchfleet.Instance) {
	now := time.Now()
	m.mu.Lock()
	change := Change{Old: m.stateAt(now), New: state, Failures: m.failures, FirstFailureAt: m.firstFailureAt, Rounds: rounds, Evidence: evidence, ContactAt: m.contactAt, Relays: relays}
	if change.Old == state {
		m.mu.Unlock()
		return
	}
	m.state, m.changedAt = state, now
	if len(relays) > 0 {
		m.relays = relays
	}
	if state == CutOff && m.cutOff != nil {
		close(m.cutOff)
		m.cutOff = nil
	}
	m.mu.Unlock()
	if m.OnChange != nil {
		m.OnChange(change)
	}
}

// endCheck ends a check.
func (m *Monitor) endCheck() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.isChecking, m.nextCheckAt = false, time.Now().Add(minCheckInterval)
	m.failures = 0
}
