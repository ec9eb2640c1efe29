package hitchclaim

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"citronhitch.example/citronhitch/hitchoutcome"
)

// pass lets time pass for all.
func (w *world) pass(t *rapid.T) {
	w.now = w.now.Add(rapid.SampledFrom([]time.Duration{
		time.Millisecond, 20 * time.Millisecond, 20 * time.Millisecond, time.Second, time.Second, 2 * time.Second,
		time.Minute, 6 * time.Minute, 20 * time.Minute,
	}).Draw(t, "time"))
}

// skew moves the clock of a process, also back.
func (w *world) skew(t *rapid.T) {
	w.pick(t).offset = time.Duration(rapid.IntRange(-30, 30).Draw(t, "offset")) * time.Second
}

// pause stops a process at any point, or lets it go on.
func (w *world) pause(t *rapid.T) {
	p := draw(t, w.processes, "process")
	p.paused = !p.paused && rapid.Bool().Draw(t, "pause")
}

// crash ends a process and starts its instance again in a new incarnation.
func (w *world) crash(t *rapid.T) {
	p := w.pick(t)
	if len(w.processes) > 5 || rapid.IntRange(0, 2).Draw(t, "crash") > 0 {
		t.Skip("enough processes")
	}
	p.dead = true
	w.launch(HomeID{Instance: p.home.Self.Instance, Incarnation: p.home.Self.Incarnation + 1})
}

// fence starts to fence any home, lost or not, or goes on with a fencing.
func (w *world) fence(t *rapid.T) {
	if len(w.fencings) == 0 || rapid.IntRange(0, 3).Draw(t, "new") == 0 {
		f := &Fencing{Home: draw(t, w.processes, "home").home.Self}
		w.fencings = append(w.fencings, f)
		w.fencing[f] = f.Start(w.now)
	}
	f := draw(t, w.fencings, "fencing")
	for range rapid.IntRange(1, 4).Draw(t, "rounds") {
		step := w.fencing[f]
		if len(step.Commands) == 0 {
			break
		}
		answer := w.store.apply(step.Commands[0])
		if rapid.IntRange(0, 9).Draw(t, "fate") == 0 {
			answer = StoreAnswer{ID: answer.ID, Status: StoreLost}
		}
		w.fencing[f] = f.Stored(w.now, answer)
	}
	if step := w.fencing[f]; step.Done {
		w.ledgers[f.Home] = step.Ledger
	}
}

// bury fences the home of a key without a fault, and answers a caller of the key.
func (w *world) bury(t *rapid.T) {
	l := w.pickKey(t)
	home := l.key.Home
	if ledger, found := w.ledgers[home]; found {
		if successor, moved := ledger.Successor(); moved {
			home = successor
		}
	}
	f := Fencing{Home: home}
	step := f.Start(w.now)
	for !step.Done {
		step = f.Stored(w.now, w.store.apply(step.Commands[0]))
	}
	w.ledgers[home] = step.Ledger
	w.answer(t, l)
}

// judge answers a caller from the journals that were fenced.
func (w *world) judge(t *rapid.T) {
	w.answer(t, w.pickKey(t))
}

func (w *world) answer(t *rapid.T, l *keyLife) {
	var chain []Ledger
	for home := l.key.Home; ; {
		ledger, found := w.ledgers[home]
		if !found {
			break
		}
		chain = append(chain, ledger)
		successor, moved := ledger.Successor()
		if !moved || slices.ContainsFunc(chain, func(l Ledger) bool { return l.Home == successor }) {
			break
		}
		home = successor
	}
	if len(chain) > 0 {
		w.hear(t, l, Judge(w.now, l.key, chain...).Refusal(w.now))
	}
}

// handOver lets a process leave, and its successor adopt its keys as far as the
// store says so.
func (w *world) handOver(t *rapid.T) {
	p, heir := w.pick(t), w.pick(t)
	if p == heir {
		t.Skip("a home is no successor of its own")
	}
	if !p.leaving {
		p.leaving, p.heir = true, heir
		p.home.Close()
		if rapid.Bool().Draw(t, "drain") && p.home.Running() > 0 {
			p.leaving = false
			return
		}
		handover := p.home.HandOver()
		p.handover = handover.Encode()
		p.take(p.journal.HandOver(w.clock(p), heir.home.Self, handover.Digest()))
	}
}

func (w *world) adopt(t *rapid.T) {
	p := draw(t, w.processes, "leaving")
	if p.handover == nil || p.heir.dead || p.heir.paused {
		t.Skip("nothing to adopt")
	}
	handover, err := DecodeHandover(p.handover)
	if err != nil {
		t.Fatal(err)
	}
	ledger, err := NewLedger(p.home.Self, w.store.list(homePrefix(p.home.Self)))
	if err != nil {
		t.Fatal(err)
	}
	_ = p.heir.home.Adopt(handover, ledger)
}

// resolve lets an operator look a booking up and declare the truth.
func (w *world) resolve(t *rapid.T) {
	p := w.pick(t)
	for _, d := range p.home.Doubts() {
		truth := Truth{Outcome: hitchoutcome.NotRun}
		if w.life(d.Record.Run.Key).runs > 0 {
			truth.Outcome = hitchoutcome.Ran
		}
		if w.now.Before(d.Record.Deadline.Add(settleMargin + ClockSkew)) {
			continue
		}
		if record, err := p.home.Resolve(w.clock(p), d.Record.Run.Key, truth); err == nil {
			p.take(p.journal.Put(w.clock(p), record))
			w.requests = w.landed(d.Record.Run.Key)
		}
	}
}

// landed leaves out the requests for a key that can't arrive any more.
func (w *world) landed(id KeyID) (rest []*request) {
	for _, r := range w.requests {
		if r.run.Key != id || r.arrived {
			rest = append(rest, r)
		}
	}
	return rest
}

// clean removes journals that are over, and lets homes forget.
func (w *world) clean(t *rapid.T) {
	p := draw(t, w.processes, "process")
	if !p.dead && !p.paused {
		p.home.Sweep(w.clock(p))
	}
	ledger, err := NewLedger(p.home.Self, w.store.list(homePrefix(p.home.Self)))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range ledger.Remove(w.now) {
		w.store.apply(c)
	}
}

func (w *world) check(t *rapid.T) {
	for _, l := range w.keys {
		if l.runs > 1 {
			t.Fatalf("key of %s ran %d times", l.key.Home, l.runs)
		}
		if l.retired && l.runs+w.underWay(l.key.ID()) > 0 {
			t.Fatalf("a call ran, or may, after its final NotRun")
		}
	}
}

// TestLifeOfKeys drives homes, journals, fencings and handovers in any order, with
// pauses, crashes, lost answers, skewed clocks and late writes. No key runs twice,
// NotRun stays true, and a repeat gets the first answer byte for byte.
func TestLifeOfKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		t.Repeat(map[string]func(*rapid.T){
			"":         w.check,
			"mint":     w.mint,
			"begin":    w.begin,
			"work":     w.work,
			"serve":    w.serve,
			"book":     w.book,
			"book2":    w.book,
			"book3":    w.book,
			"flush":    w.flush,
			"flush2":   w.flush,
			"land":     w.land,
			"arrive":   w.arrive,
			"finish":   w.finish,
			"pass":     w.pass,
			"skew":     w.skew,
			"pause":    w.pause,
			"crash":    w.crash,
			"fence":    w.fence,
			"judge":    w.judge,
			"bury":     w.bury,
			"handOver": w.handOver,
			"adopt":    w.adopt,
			"resolve":  w.resolve,
			"clean":    w.clean,
		})
	})
}
