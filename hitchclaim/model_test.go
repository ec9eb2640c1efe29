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

// TestMain fixes the seed and the size of the model's runs, unless flags say
// otherwise.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.checks": "2000", "rapid.steps": "150"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// process is one router process: a home, its journal and what it has to do.
type process struct {
	home     Home
	journal  Journal
	offset   time.Duration // of its clock
	paused   bool
	dead     bool
	leaving  bool
	handover []byte
	heir     *process
	calls    []StoreCommand // to the store
	late     []StoreCommand // given up, and may still take effect
	answers  []StoreAnswer
	commits  []committed
	wake     time.Time
	evidence map[Run]*hitchoutcome.DispatchTracker
}

// committed is a run with the end of its journal record.
type committed struct {
	run Run
	ok  bool
}

// request is a call on its way to the endpoint, or answered by it.
type request struct {
	from    *process
	run     Run
	arrived bool
}

// keyLife is what the model knows of one key.
type keyLife struct {
	key     Key
	runs    int
	answer  []byte // of the endpoint
	retired bool   // a final NotRun was said
	ran     bool   // Ran was said
}

// world is a model of homes, the store and an endpoint.
type world struct {
	now       time.Time
	store     *fakeStore
	processes []*process
	keys      []*keyLife
	requests  []*request
	fencings  []*Fencing
	fencing   map[*Fencing]FencingStep
	ledgers   map[HomeID]Ledger
}

func newWorld() *world {
	w := &world{now: start, store: newFakeStore(), fencing: make(map[*Fencing]FencingStep), ledgers: make(map[HomeID]Ledger)}
	for i := range 3 {
		w.launch(HomeID{Instance: hitchfleet.InstanceID(fmt.Sprint("router-", i)), Incarnation: 1})
	}
	return w
}

func (w *world) launch(self HomeID) {
	p := &process{evidence: make(map[Run]*hitchoutcome.DispatchTracker)}
	p.home.Self, p.journal.Self = self, self
	p.journal.SegmentBytes = 250
	w.processes = append(w.processes, p)
	p.take(p.journal.Tick(w.now))
}

func (p *process) take(step JournalStep) {
	p.calls = append(p.calls, step.Commands...)
	for _, run := range step.Committed {
		p.commits = append(p.commits, committed{run, true})
	}
	for _, run := range step.Failed {
		p.commits = append(p.commits, committed{run, false})
	}
	if step.Fenced {
		p.home.Fence()
	}
	if step.HandedOver {
		p.home.MoveTo(p.heir.home.Self)
	}
	p.wake = step.Wake
}

func (p *process) settle(now time.Time, d Decision) {
	if !d.Record.IsZero() {
		p.take(p.journal.Put(now, d.Record))
	}
}

func (w *world) clock(p *process) time.Time { return w.now.Add(p.offset) }

func (w *world) life(id KeyID) *keyLife {
	for _, l := range w.keys {
		if l.key.ID() == id {
			return l
		}
	}
	panic("unknown key")
}

// underWay counts the requests for a key that may still reach the endpoint.
func (w *world) underWay(id KeyID) int {
	n := 0
	for _, r := range w.requests {
		if r.run.Key == id && !r.arrived {
			n++
		}
	}
	return n
}

// hear checks an answer to a caller of a key.
func (w *world) hear(t *rapid.T, l *keyLife, refusal *hitchoutcome.Refusal) {
	switch refusal.Outcome {
	case hitchoutcome.NotRun:
		if refusal.Reason == hitchoutcome.ReasonKeyReused {
			return
		}
		if l.runs+w.underWay(l.key.ID()) > 0 {
			t.Fatalf("NotRun was said of a key that ran or may run: %v", refusal)
		}
		l.retired = l.retired || refusal.RetryAt.IsZero()
	case hitchoutcome.Ran:
		if l.runs == 0 {
			t.Fatalf("Ran was said of a key that didn't run: %v", refusal)
		}
		l.ran = true
	}
}

func (w *world) decide(t *rapid.T, p *process, l *keyLife, d Decision) {
	switch d.Action {
	case ActionJournal:
		p.take(p.journal.Put(w.clock(p), d.Record))
	case ActionDispatch:
		p.evidence[d.Run] = &hitchoutcome.DispatchTracker{}
		_ = p.evidence[d.Run].BeginDispatch()
		w.requests = append(w.requests, &request{from: p, run: d.Run})
	case ActionReplay:
		if l.runs != 1 || !bytes.Equal(d.Result.Body, l.answer) {
			t.Fatalf("replayed %q of %d runs, want %q", d.Result.Body, l.runs, l.answer)
		}
		p.settle(w.clock(p), d)
	case ActionRefuse:
		w.hear(t, l, d.Refusal)
		p.settle(w.clock(p), d)
	case ActionForward:
		p.settle(w.clock(p), d)
	case ActionWait:
		if d.Done == nil {
			t.Fatal("a repeat waits for nothing")
		}
	}
}

// draw picks one of all by its index, which keeps the log of a walk short.
func draw[T any](t *rapid.T, all []T, label string) T {
	return all[rapid.IntRange(0, len(all)-1).Draw(t, label)]
}

// pick draws one of the live processes that aren't paused.
func (w *world) pick(t *rapid.T) *process {
	var up []*process
	for _, p := range w.processes {
		if !p.dead && !p.paused {
			up = append(up, p)
		}
	}
	if len(up) == 0 {
		t.Skip("no process is up")
	}
	return draw(t, up, "process")
}

func (w *world) pickKey(t *rapid.T) *keyLife {
	if len(w.keys) == 0 {
		t.Skip("no key is minted")
	}
	return draw(t, w.keys, "key")
}

func (w *world) mint(t *rapid.T) {
	home := draw(t, w.processes, "home").home.Self
	minter := testMinter().WithPolicy(JournalPolicy(rapid.IntRange(0, 1).Draw(t, "policy")))
	minter.Entropy = &entropy{next: byte(20 * len(w.keys))}
	_, key, err := minter.Mint(w.now, home, "aquarium", "booking")
	if err != nil || len(w.keys) > 8 {
		t.Skip("enough keys")
	}
	w.keys = append(w.keys, &keyLife{key: key})
}

func (w *world) begin(t *rapid.T) {
	l, p := w.pickKey(t), w.pick(t)
	call := Call{Key: l.key, Organisation: "aquarium", Route: "booking"}
	d := p.home.Begin(w.clock(p), call)
	if d.Action == ActionForward {
		for _, other := range w.processes {
			if other.home.Self == d.Home && !other.dead && !other.paused {
				p, d = other, other.home.Begin(w.clock(other), call)
				break
			}
		}
	}
	w.decide(t, p, l, d)
}

// work lets a process take its answers, commits and due times.
func (w *world) work(t *rapid.T) {
	p := w.pick(t)
	for range rapid.IntRange(1, 6).Draw(t, "events") {
		switch {
		case len(p.answers) > 0:
			a := p.answers[0]
			p.answers = p.answers[1:]
			p.take(p.journal.Stored(w.clock(p), a))
		case len(p.commits) > 0 && rapid.Bool().Draw(t, "commit"):
			c := p.commits[0]
			p.commits = p.commits[1:]
			w.decide(t, p, w.life(c.run.Key), p.home.Journaled(w.clock(p), c.run, c.ok))
		default:
			p.take(p.journal.Tick(w.clock(p)))
		}
	}
}

// serve ends a command of a process at the store: done, lost before or after
// it took effect, or failed.
func (w *world) serve(t *rapid.T) {
	p := draw(t, w.processes, "process")
	for len(p.calls) > 0 {
		c := p.calls[0]
		p.calls = p.calls[1:]
		switch rapid.IntRange(0, 9).Draw(t, "fate") {
		case 0:
			p.late = append(p.late, c)
			p.answers = append(p.answers, StoreAnswer{ID: c.ID, Status: StoreLost})
		case 1:
			w.store.apply(c)
			p.answers = append(p.answers, StoreAnswer{ID: c.ID, Status: StoreLost})
		case 2:
			p.answers = append(p.answers, StoreAnswer{ID: c.ID, Status: StoreFailed})
		default:
			p.answers = append(p.answers, w.store.apply(c))
		}
	}
}

// flush lets the store and all processes work without a fault.
func (w *world) flush(t *rapid.T) {
	for range 4 {
		w.now = w.now.Add(20 * time.Millisecond)
		for _, p := range w.processes {
			if p.dead || p.paused {
				continue
			}
			p.take(p.journal.Tick(w.clock(p)))
			for _, c := range p.calls {
				p.answers = append(p.answers, w.store.apply(c))
			}
			for p.calls = nil; len(p.answers) > 0; p.answers = p.answers[1:] {
				p.take(p.journal.Stored(w.clock(p), p.answers[0]))
			}
			for ; len(p.commits) > 0; p.commits = p.commits[1:] {
				w.decide(t, p, w.life(p.commits[0].run.Key), p.home.Journaled(w.clock(p), p.commits[0].run, p.commits[0].ok))
			}
		}
	}
}

// book mints a key and presents it to its home.
func (w *world) book(t *rapid.T) {
	w.mint(t)
	w.begin(t)
	if rapid.Bool().Draw(t, "flush") {
		w.flush(t)
	}
}

// land lets a command take effect whose answer was given up.
func (w *world) land(t *rapid.T) {
	p := draw(t, w.processes, "process")
	if len(p.late) == 0 {
		t.Skip("nothing is late")
	}
	w.store.apply(p.late[0])
	p.late = p.late[1:]
}

// arrive lets a request reach the endpoint, which runs it.
func (w *world) arrive(t *rapid.T) {
	if len(w.requests) == 0 {
		t.Skip("no request")
	}
	r := draw(t, w.requests, "request")
	l := w.life(r.run.Key)
	if r.arrived || w.now.After(l.key.Deadline.Add(settleMargin)) {
		return
	}
	r.arrived = true
	l.runs++
	l.answer = []byte(fmt.Sprintf("ticket %d of %s", l.runs, r.run.Key))
}

// finish ends a request at its router: answered, never sent, or lost.
func (w *world) finish(t *rapid.T) {
	if len(w.requests) == 0 {
		t.Skip("no request")
	}
	r := draw(t, w.requests, "request")
	p, l := r.from, w.life(r.run.Key)
	if p.dead || p.paused {
		return
	}
	evidence := p.evidence[r.run]
	result := Result{Status: 201, Body: l.answer}
	if !r.arrived {
		if evidence.Outcome() == hitchoutcome.Unknown && rapid.Bool().Draw(t, "unsent") && !w.gaveUp(p, r) {
			evidence.MarkUnsent()
			w.requests = without(w.requests, r)
		}
		again := time.Time{}
		if rapid.Bool().Draw(t, "again") {
			again = w.clock(p).Add(time.Second)
		}
		result = Result{Refusal: evidence.Refuse(hitchoutcome.ReasonEndpointLost, again, "lost")}
	}
	w.decide(t, p, l, p.home.Finish(w.clock(p), r.run, result))
}

// gaveUp tells whether the router has said Unknown of the request already.
func (w *world) gaveUp(p *process, r *request) bool {
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
