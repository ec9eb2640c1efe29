package hitchclaim

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// TestMain sets the default seed and size of the model test. Flags override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.checks": "2000", "rapid.steps": "150"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// routerProcess is one router process: a home, its journal, and their pending commands
// and events.
type routerProcess struct {
	home         Home
	journal      Journal
	clockOffset  time.Duration // from model.now
	paused       bool
	dead         bool
	leaving      bool
	handover     []byte
	successor    *routerProcess
	commands     []StoreCommand // not run yet
	lateCommands []StoreCommand // reported as StoreUnknown, and may still take effect
	responses    []StoreResponse
	journaled    []journaledRun
	wakeAt       time.Time
	trackers     map[Run]*hitchoutcome.DispatchTracker
}

// journaledRun is a run and whether its journal record was committed.
type journaledRun struct {
	run Run
	ok  bool
}

// request is a dispatched call, which may have been delivered to the endpoint.
type request struct {
	from        *routerProcess
	run         Run
	isDelivered bool
}

// keyState is the model's state of one key.
type keyState struct {
	key           Key
	runs          int
	response      []byte // body of the endpoint's response
	isRetired     bool   // a caller got NotRun without RetryAt
	isReportedRan bool   // a caller got Ran
}

// model simulates routers, the key-value store and an endpoint.
type model struct {
	now          time.Time
	store        *fakeStore
	processes    []*routerProcess
	keys         []*keyState
	requests     []*request
	fencings     []*Fencing
	fencingSteps map[*Fencing]FencingStep
	snapshots    map[HomeID]JournalSnapshot
}

func newModel() *model {
	m := &model{now: start, store: newFakeStore(), fencingSteps: make(map[*Fencing]FencingStep), snapshots: make(map[HomeID]JournalSnapshot)}
	for i := range 3 {
		m.launch(HomeID{Instance: hitchfleet.InstanceID(fmt.Sprint("router-", i)), Incarnation: 1})
	}
	return m
}

func (m *model) launch(self HomeID) {
	p := &routerProcess{trackers: make(map[Run]*hitchoutcome.DispatchTracker)}
	p.home.Self, p.journal.Self = self, self
	p.journal.SegmentBytes = 250
	m.processes = append(m.processes, p)
	p.applyStep(p.journal.Tick(m.now))
}

func (p *routerProcess) applyStep(step JournalStep) {
	p.commands = append(p.commands, step.Commands...)
	for _, run := range step.Committed {
		p.journaled = append(p.journaled, journaledRun{run, true})
	}
	for _, run := range step.Failed {
		p.journaled = append(p.journaled, journaledRun{run, false})
	}
	if step.Fenced {
		p.home.Fence()
	}
	if step.HandedOver {
		p.home.ForwardTo(p.successor.home.Self)
	}
	p.wakeAt = step.NextTick
}

func (p *routerProcess) putRecord(now time.Time, decision Decision) {
	if !decision.Record.IsZero() {
		p.applyStep(p.journal.PutRecord(now, decision.Record))
	}
}

func (m *model) clock(p *routerProcess) time.Time { return m.now.Add(p.clockOffset) }

func (m *model) keyStateOf(id KeyID) *keyState {
	for _, k := range m.keys {
		if k.key.ID() == id {
			return k
		}
	}
	panic("unknown key")
}

// inFlight counts the requests for a key that may still reach the endpoint.
func (m *model) inFlight(id KeyID) int {
	n := 0
	for _, r := range m.requests {
		if r.run.Key == id && !r.isDelivered {
			n++
		}
	}
	return n
}

// checkRefusal fails the test if a refusal of a key contradicts the endpoint's runs.
func (m *model) checkRefusal(t *rapid.T, k *keyState, refusal *hitchoutcome.Refusal) {
	switch refusal.Outcome {
	case hitchoutcome.NotRun:
		if refusal.Reason == hitchoutcome.ReasonKeyReused {
			return
		}
		if k.runs+m.inFlight(k.key.ID()) > 0 {
			t.Fatalf("refused as NotRun, but the key ran or may still run: %v", refusal)
		}
		k.isRetired = k.isRetired || refusal.RetryAt.IsZero()
	case hitchoutcome.Ran:
		if k.runs == 0 {
			t.Fatalf("refused as Ran, but the key did not run: %v", refusal)
		}
		k.isReportedRan = true
	}
}

func (m *model) handleDecision(t *rapid.T, p *routerProcess, k *keyState, d Decision) {
	switch d.Action {
	case ActionJournal:
		p.applyStep(p.journal.PutRecord(m.clock(p), d.Record))
	case ActionDispatch:
		p.trackers[d.Run] = &hitchoutcome.DispatchTracker{}
		_ = p.trackers[d.Run].BeginDispatch()
		m.requests = append(m.requests, &request{from: p, run: d.Run})
	case ActionReplay:
		if k.runs != 1 || !bytes.Equal(d.Result.Body, k.response) {
			t.Fatalf("replayed %q of %d runs, want %q", d.Result.Body, k.runs, k.response)
		}
		p.putRecord(m.clock(p), d)
	case ActionRefuse:
		m.checkRefusal(t, k, d.Refusal)
		p.putRecord(m.clock(p), d)
	case ActionForward:
		p.putRecord(m.clock(p), d)
	case ActionWait:
		if d.Done == nil {
			t.Fatal("ActionWait without a Done channel")
		}
	}
}

// draw picks one element by its index, which keeps rapid's log short.
func draw[T any](t *rapid.T, all []T, label string) T {
	return all[rapid.IntRange(0, len(all)-1).Draw(t, label)]
}

// pickRunning draws one of the processes that are neither dead nor paused.
func (m *model) pickRunning(t *rapid.T) *routerProcess {
	var running []*routerProcess
	for _, p := range m.processes {
		if !p.dead && !p.paused {
			running = append(running, p)
		}
	}
	if len(running) == 0 {
		t.Skip("no process is running")
	}
	return draw(t, running, "process")
}

func (m *model) pickKey(t *rapid.T) *keyState {
	if len(m.keys) == 0 {
		t.Skip("no key is minted")
	}
	return draw(t, m.keys, "key")
}

func (m *model) mintKey(t *rapid.T) {
	home := draw(t, m.processes, "home").home.Self
	minter := testMinter().WithPolicy(JournalPolicy(rapid.IntRange(0, 1).Draw(t, "policy")))
	minter.Entropy = &sequentialBytes{next: byte(20 * len(m.keys))}
	_, key, err := minter.Mint(m.now, home, "aquarium", "booking")
	if err != nil || len(m.keys) > 8 {
		t.Skip("enough keys")
	}
	m.keys = append(m.keys, &keyState{key: key})
}

func (m *model) beginCall(t *rapid.T) {
	k, p := m.pickKey(t), m.pickRunning(t)
	call := Call{Key: k.key, Organisation: "aquarium", Route: "booking"}
	d := p.home.BeginCall(m.clock(p), call)
	if d.Action == ActionForward {
		for _, other := range m.processes {
			if other.home.Self == d.Home && !other.dead && !other.paused {
				p, d = other, other.home.BeginCall(m.clock(other), call)
				break
			}
		}
	}
	m.handleDecision(t, p, k, d)
}

// handleEvents lets a process handle store responses, journal results and ticks.
func (m *model) handleEvents(t *rapid.T) {
	p := m.pickRunning(t)
	for range rapid.IntRange(1, 6).Draw(t, "events") {
		switch {
		case len(p.responses) > 0:
			response := p.responses[0]
			p.responses = p.responses[1:]
			p.applyStep(p.journal.HandleStoreResponse(m.clock(p), response))
		case len(p.journaled) > 0 && rapid.Bool().Draw(t, "commit"):
			c := p.journaled[0]
			p.journaled = p.journaled[1:]
			m.handleDecision(t, p, m.keyStateOf(c.run.Key), p.home.AuthorizeDispatch(m.clock(p), c.run, c.ok))
		default:
			p.applyStep(p.journal.Tick(m.clock(p)))
		}
	}
}

// serveStore runs the commands of a process. Each is done, failed, or lost before or
// after it took effect.
func (m *model) serveStore(t *rapid.T) {
	p := draw(t, m.processes, "process")
	for len(p.commands) > 0 {
		c := p.commands[0]
		p.commands = p.commands[1:]
		switch rapid.IntRange(0, 9).Draw(t, "result") {
		case 0:
			p.lateCommands = append(p.lateCommands, c)
			p.responses = append(p.responses, StoreResponse{ID: c.ID, Status: StoreUnknown})
		case 1:
			m.store.apply(c)
			p.responses = append(p.responses, StoreResponse{ID: c.ID, Status: StoreUnknown})
		case 2:
			p.responses = append(p.responses, StoreResponse{ID: c.ID, Status: StoreFailed})
		default:
			p.responses = append(p.responses, m.store.apply(c))
		}
	}
}

// flushAll lets the store and all running processes handle their work without a fault.
func (m *model) flushAll(t *rapid.T) {
	for range 4 {
		m.now = m.now.Add(20 * time.Millisecond)
		for _, p := range m.processes {
			if p.dead || p.paused {
				continue
			}
			p.applyStep(p.journal.Tick(m.clock(p)))
			for _, c := range p.commands {
				p.responses = append(p.responses, m.store.apply(c))
			}
			for p.commands = nil; len(p.responses) > 0; p.responses = p.responses[1:] {
				p.applyStep(p.journal.HandleStoreResponse(m.clock(p), p.responses[0]))
			}
			for ; len(p.journaled) > 0; p.journaled = p.journaled[1:] {
				m.handleDecision(t, p, m.keyStateOf(p.journaled[0].run.Key), p.home.AuthorizeDispatch(m.clock(p), p.journaled[0].run, p.journaled[0].ok))
			}
		}
	}
}

// bookAndMaybeFlush mints a key, begins a call, and may flush all processes.
func (m *model) bookAndMaybeFlush(t *rapid.T) {
	m.mintKey(t)
	m.beginCall(t)
	if rapid.Bool().Draw(t, "flush") {
		m.flushAll(t)
	}
}

// applyLateCommand runs a command that was reported as lost before.
func (m *model) applyLateCommand(t *rapid.T) {
	p := draw(t, m.processes, "process")
	if len(p.lateCommands) == 0 {
		t.Skip("no late command")
	}
	m.store.apply(p.lateCommands[0])
	p.lateCommands = p.lateCommands[1:]
}

// deliverRequest delivers a request to the endpoint, which runs it.
func (m *model) deliverRequest(t *rapid.T) {
	if len(m.requests) == 0 {
		t.Skip("no request")
	}
	r := draw(t, m.requests, "request")
	k := m.keyStateOf(r.run.Key)
	if r.isDelivered || m.now.After(k.key.Deadline.Add(lateArrivalMargin)) {
		return
	}
	r.isDelivered = true
	k.runs++
	k.response = []byte(fmt.Sprintf("ticket %d of %s", k.runs, r.run.Key))
}

// finishRequest ends a request at its router: with a response, as never sent, or with a
// lost response.
func (m *model) finishRequest(t *rapid.T) {
	if len(m.requests) == 0 {
		t.Skip("no request")
	}
	r := draw(t, m.requests, "request")
	p, k := r.from, m.keyStateOf(r.run.Key)
	if p.dead || p.paused {
		return
	}
	tracker := p.trackers[r.run]
	result := Result{Status: 201, Body: k.response}
	if !r.isDelivered {
		if tracker.Outcome() == hitchoutcome.Unknown && rapid.Bool().Draw(t, "unsent") && !m.isInDoubt(p, r) {
			tracker.MarkUnsent()
			m.requests = without(m.requests, r)
		}
		retryAt := time.Time{}
		if rapid.Bool().Draw(t, "again") {
			retryAt = m.clock(p).Add(time.Second)
		}
		result = Result{Refusal: tracker.Refuse(hitchoutcome.ReasonEndpointLost, retryAt, "lost")}
	}
	m.handleDecision(t, p, k, p.home.FinishRun(m.clock(p), r.run, result))
}

// isInDoubt reports whether the router has recorded the request as Unknown.
func (m *model) isInDoubt(p *routerProcess, r *request) bool {
	for _, d := range p.home.Doubts() {
		if d.Record.Run == r.run {
			return true
		}
	}
	return false
}

func without(all []*request, r *request) (rest []*request) {
	for _, other := range all {
		if other != r {
			rest = append(rest, other)
		}
	}
	return rest
}
