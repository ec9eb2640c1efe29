package hitchrouter

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"citronhitch.example/citronhitch/hitchclaim"
)

// Bookings holds the keys that this process may run, and their journal. Set the
// fields, call Start, and then Run.
type Bookings struct {
	Store hitchclaim.Store
	// Secrets sign and check keys.
	Secrets func() hitchclaim.Secrets
	Log     hclog.Logger
	Now     func() time.Time
	// OnHome is called with each home of this process, so that others learn its
	// incarnation.
	OnHome func(hitchclaim.HomeID)

	mu      sync.Mutex
	current *bookingHome
	former  []*bookingHome
	homes   int
	closed  bool
}

// bookingHome is one home of this process with its journal.
type bookingHome struct {
	home    hitchclaim.Home
	journal hitchclaim.Journal

	mu      sync.Mutex
	waiting map[hitchclaim.Run]chan bool
	moved   chan struct{}
	timer   *time.Timer
}

// maxFormer bounds the fenced homes that are kept for their answers.
const maxFormer = 4

// Start opens the first home.
func (b *Bookings) Start(self hitchclaim.HomeID) {
	b.mu.Lock()
	h := b.open(self)
	b.mu.Unlock()
	b.step(h, h.journal.Tick(b.now()))
}

// open makes a home the current one. The caller lets its journal open at once
// afterwards: one that opens late could miss that it was ended.
func (b *Bookings) open(self hitchclaim.HomeID) *bookingHome {
	h := &bookingHome{waiting: make(map[hitchclaim.Run]chan bool), moved: make(chan struct{})}
	h.home.Self = self
	h.journal.Self = self
	h.journal.SetHomes(max(b.homes, 1))
	if b.current != nil {
		b.former = append(b.former, b.current)
		b.former = b.former[max(0, len(b.former)-maxFormer):]
	}
	b.current = h
	if b.OnHome != nil {
		b.OnHome(self)
	}
	return h
}

// SetHomes sets the number of homes in the fleet.
func (b *Bookings) SetHomes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.homes = n
	if b.current != nil {
		b.current.journal.SetHomes(max(n, 1))
	}
}

// Self returns the home that this process mints keys for.
func (b *Bookings) Self() hitchclaim.HomeID {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current == nil {
		return hitchclaim.HomeID{}
	}
	return b.current.home.Self
}

// homeOf returns the home of this process with an ID. One that was fenced still
// knows its answers.
func (b *Bookings) homeOf(id hitchclaim.HomeID) (*bookingHome, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range append(slices.Clone(b.former), b.current) {
		if h != nil && h.home.Self == id {
			return h, true
		}
	}
	return nil, false
}

func (b *Bookings) now() time.Time {
	if b.Now != nil {
		return b.Now()
	}
	return time.Now()
}

func (b *Bookings) sweep(now time.Time) {
	b.mu.Lock()
	all := append(slices.Clone(b.former), b.current)
	b.mu.Unlock()
	for _, h := range all {
		if h != nil {
			h.home.Sweep(now)
		}
	}
}

// fenced replaces a home that another router has ended.
func (b *Bookings) fenced(h *bookingHome) {
	h.home.Fence()
	if next := b.replace(h); next != nil {
		b.step(next, next.journal.Tick(b.now()))
	}
}

// replace opens a home in place of one that was ended, or returns nil if that
// isn't the current one.
func (b *Bookings) replace(h *bookingHome) *bookingHome {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != h || b.closed {
		return nil
	}
	self := h.home.Self
	self.Incarnation = hitchclaim.NewIncarnation(b.now(), self.Incarnation)
	if b.Log != nil {
		b.Log.Warn("home fenced", "Was", h.home.Self.String(), "Now", self.String())
	}
	return b.open(self)
}

// commit journals a record and reports whether it stands in the store by the
// deadline.
func (b *Bookings) commit(ctx context.Context, h *bookingHome, record hitchclaim.Record, until time.Time) bool {
	done := make(chan bool, 1)
	h.mu.Lock()
	h.waiting[record.Run] = done
	h.mu.Unlock()
	b.step(h, h.journal.Put(b.now(), record))
	timer := time.NewTimer(until.Sub(b.now()))
	defer timer.Stop()
	committed := false
	select {
	case committed = <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
	h.mu.Lock()
	delete(h.waiting, record.Run)
	h.mu.Unlock()
	return committed
}

// record journals what became of a run, without waiting.
func (b *Bookings) record(h *bookingHome, record hitchclaim.Record) {
	b.step(h, h.journal.Put(b.now(), record))
}

// step carries out what a journal asks for.
func (b *Bookings) step(h *bookingHome, step hitchclaim.JournalStep) {
	for _, run := range step.Committed {
		h.answer(run, true)
	}
	for _, run := range step.Failed {
		h.answer(run, false)
	}
	if step.Fenced {
		b.fenced(h)
	}
	if step.HandedOver {
		close(h.moved)
	}
	for _, command := range step.Commands {
		go func() {
			answer := b.Store.Do(context.Background(), command)
			b.step(h, h.journal.Stored(b.now(), answer))
		}()
	}
	b.wake(h, step.Wake)
}

// wake lets time pass in a journal when it asks for it.
func (b *Bookings) wake(h *bookingHome, at time.Time) {
	if at.IsZero() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.timer != nil {
		h.timer.Stop()
	}
	h.timer = time.AfterFunc(at.Sub(b.now()), func() { b.step(h, h.journal.Tick(b.now())) })
}

func (h *bookingHome) answer(run hitchclaim.Run, committed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if done, ok := h.waiting[run]; ok {
		done <- committed
		delete(h.waiting, run)
	}
}
