package hitchclaim

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"citronhitch.example/citronhitch/hitchoutcome"
)

// advanceTime advances the time of the model.
func (m *model) advanceTime(t *rapid.T) {
	m.now = m.now.Add(rapid.SampledFrom([]time.Duration{
		time.Millisecond, 20 * time.Millisecond, 20 * time.Millisecond, time.Second, time.Second, 2 * time.Second,
		time.Minute, 6 * time.Minute, 20 * time.Minute,
	}).Draw(t, "time"))
}

// skewClock sets the clock of a process forward or back.
func (m *model) skewClock(t *rapid.T) {
	m.pickRunning(t).clockOffset = time.Duration(rapid.IntRange(-30, 30).Draw(t, "offset")) * time.Second
}

// togglePause pauses or resumes a process.
func (m *model) togglePause(t *rapid.T) {
	p := draw(t, m.processes, "process")
	p.paused = !p.paused && rapid.Bool().Draw(t, "pause")
}

// crashProcess ends a process and restarts its instance in a new incarnation.
func (m *model) crashProcess(t *rapid.T) {
	p := m.pickRunning(t)
	if len(m.processes) > 5 || rapid.IntRange(0, 2).Draw(t, "crash") > 0 {
		t.Skip("enough processes")
	}
	p.dead = true
	m.launch(HomeID{Instance: p.home.Self.Instance, Incarnation: p.home.Self.Incarnation + 1})
}

// advanceFencing starts to fence any home, dead or alive, or continues a fencing.
func (m *model) advanceFencing(t *rapid.T) {
	if len(m.fencings) == 0 || rapid.IntRange(0, 3).Draw(t, "new") == 0 {
		f := &Fencing{Home: draw(t, m.processes, "home").home.Self}
		m.fencings = append(m.fencings, f)
		m.fencingSteps[f] = f.Start(m.now)
	}
	f := draw(t, m.fencings, "fencing")
	for range rapid.IntRange(1, 4).Draw(t, "rounds") {
		step := m.fencingSteps[f]
		if len(step.Commands) == 0 {
			break
		}
		response := m.store.apply(step.Commands[0])
		if rapid.IntRange(0, 9).Draw(t, "result") == 0 {
			response = StoreResponse{ID: response.ID, Status: StoreUnknown}
		}
		m.fencingSteps[f] = f.HandleStoreResponse(m.now, response)
	}
	if step := m.fencingSteps[f]; step.Done {
		m.snapshots[f.Home] = step.Journal
	}
}

// fenceAndAnswer fences the home of a key, or its successor, without a store fault, and
// answers a caller of the key from the journals.
func (m *model) fenceAndAnswer(t *rapid.T) {
	k := m.pickKey(t)
	home := k.key.Home
	if snapshot, found := m.snapshots[home]; found {
		if successor, moved := snapshot.Successor(); moved {
			home = successor
		}
	}
	f := Fencing{Home: home}
	step := f.Start(m.now)
	for !step.Done {
		step = f.HandleStoreResponse(m.now, m.store.apply(step.Commands[0]))
	}
	m.snapshots[home] = step.Journal
	m.checkVerdict(t, k)
}

// answerFromJournals answers a caller from the journals that are fenced already.
func (m *model) answerFromJournals(t *rapid.T) {
	m.checkVerdict(t, m.pickKey(t))
}

// checkVerdict checks the refusal derived from the fenced journals of the key's home and
// its successors.
func (m *model) checkVerdict(t *rapid.T, k *keyState) {
	var chain []JournalSnapshot
	for home := k.key.Home; ; {
		snapshot, found := m.snapshots[home]
		if !found {
			break
		}
		chain = append(chain, snapshot)
		successor, moved := snapshot.Successor()
		if !moved || slices.ContainsFunc(chain, func(js JournalSnapshot) bool { return js.Home == successor }) {
			break
		}
		home = successor
	}
	if len(chain) > 0 {
		m.checkRefusal(t, k, DetermineOutcome(m.now, k.key, chain...).Refusal(m.now))
	}
}

// startHandover lets a process leave and write the handover to its journal.
func (m *model) startHandover(t *rapid.T) {
	p, successor := m.pickRunning(t), m.pickRunning(t)
	if p == successor {
		t.Skip("a home can't be its own successor")
	}
	if !p.leaving {
		p.leaving, p.successor = true, successor
		p.home.RefuseNewKeys()
		if rapid.Bool().Draw(t, "drain") && p.home.RunningCount() > 0 {
			p.leaving = false
			return
		}
		handover := p.home.ExportHandover()
		p.handover = handover.Encode()
		p.applyStep(p.journal.WriteHandover(m.clock(p), successor.home.Self, handover.Digest()))
	}
}

// adoptHandover lets the successor of a leaving process adopt its keys, if the store
// names it as successor.
func (m *model) adoptHandover(t *rapid.T) {
	p := draw(t, m.processes, "leaving")
	if p.handover == nil || p.successor.dead || p.successor.paused {
		t.Skip("nothing to adopt")
	}
	handover, err := DecodeHandover(p.handover)
	if err != nil {
		t.Fatal(err)
	}
	snapshot, err := NewJournalSnapshot(p.home.Self, m.store.list(homeJournalPrefix(p.home.Self)))
	if err != nil {
		t.Fatal(err)
	}
	_ = p.successor.home.AdoptKeys(handover, snapshot)
}

// resolveDoubts lets an operator resolve bookings in doubt with their actual outcome.
func (m *model) resolveDoubts(t *rapid.T) {
	p := m.pickRunning(t)
	for _, d := range p.home.Doubts() {
		resolution := Resolution{Outcome: hitchoutcome.NotRun}
		if m.keyStateOf(d.Record.Run.Key).runs > 0 {
			resolution.Outcome = hitchoutcome.Ran
		}
		if m.now.Before(d.Record.Deadline.Add(lateArrivalMargin + MaxClockSkew)) {
			continue
		}
		if record, err := p.home.ResolveDoubt(m.clock(p), d.Record.Run.Key, resolution); err == nil {
			p.applyStep(p.journal.PutRecord(m.clock(p), record))
			m.requests = m.withoutUndelivered(d.Record.Run.Key)
		}
	}
}

// withoutUndelivered returns the requests except the undelivered ones for a key, which
// can't be delivered any more.
func (m *model) withoutUndelivered(id KeyID) (rest []*request) {
	for _, r := range m.requests {
		if r.run.Key != id || r.isDelivered {
			rest = append(rest, r)
		}
	}
	return rest
}

// removeExpired sweeps a home and deletes its journal if that may be deleted.
func (m *model) removeExpired(t *rapid.T) {
	p := draw(t, m.processes, "process")
	if !p.dead && !p.paused {
		p.home.SweepExpired(m.clock(p))
	}
	snapshot, err := NewJournalSnapshot(p.home.Self, m.store.list(homeJournalPrefix(p.home.Self)))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range snapshot.RemoveCommands(m.now) {
		m.store.apply(c)
	}
}

func (m *model) checkInvariants(t *rapid.T) {
	for _, k := range m.keys {
		if k.runs > 1 {
			t.Fatalf("key of %s ran %d times", k.key.Home, k.runs)
		}
		if k.isRetired && k.runs+m.inFlight(k.key.ID()) > 0 {
			t.Fatalf("a call ran or may still run after it was refused as NotRun permanently")
		}
	}
}

// TestKeyLifecycle runs homes, journals, fencings and handovers in random order, with
// pauses, crashes, lost responses, clock skew and late writes. It checks that no key
// runs twice, that no key runs after a final NotRun, and that a retry gets the first
// response byte for byte. The order of the map's keys determines what a seed runs.
func TestKeyLifecycle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			"":         m.checkInvariants,
			"mint":     m.mintKey,
			"begin":    m.beginCall,
			"work":     m.handleEvents,
			"serve":    m.serveStore,
			"book":     m.bookAndMaybeFlush,
			"book2":    m.bookAndMaybeFlush,
			"book3":    m.bookAndMaybeFlush,
			"flush":    m.flushAll,
			"flush2":   m.flushAll,
			"land":     m.applyLateCommand,
			"arrive":   m.deliverRequest,
			"finish":   m.finishRequest,
			"pass":     m.advanceTime,
			"skew":     m.skewClock,
			"pause":    m.togglePause,
			"crash":    m.crashProcess,
			"fence":    m.advanceFencing,
			"judge":    m.answerFromJournals,
			"bury":     m.fenceAndAnswer,
			"handOver": m.startHandover,
			"adopt":    m.adoptHandover,
			"resolve":  m.resolveDoubts,
			"clean":    m.removeExpired,
		})
	})
}
