package hitchrouter

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"citronhitch.example/citronhitch/hitchclaim"
)

// Bookings runs the booking keys whose home is this process, and keeps their journal
// in the key-value store. Set the fields and call Start; Router.Run then does the
// periodic work.
type Bookings struct {
	Store hitchclaim.Store
	// Secrets returns the secrets that sign and verify booking keys.
	Secrets func() hitchclaim.Secrets
	Log     hclog.Logger
	Now     func() time.Time
	// OnHomeOpened is called with the ID of each home that this process opens, so that its
	// incarnation can be shared with the other routers.
	OnHomeOpened func(hitchclaim.HomeID)

	mu      sync.Mutex
	current *bookingHome
	// previous are fenced homes, kept to replay their results.
	previous []*bookingHome
	// homeCount is the number of homes in the fleet.
	homeCount int
	// closed is set once the handover to a successor has begun.
	closed bool
}

// bookingHome is one home of this process with its journal.
type bookingHome struct {
	home    hitchclaim.Home
	journal hitchclaim.Journal

	mu            sync.Mutex
	commitWaiters map[hitchclaim.Run]chan bool
	// handedOver is closed once the journal names the successor.
	handedOver chan struct{}
	// timer runs the journal's next Tick.
	timer *time.Timer
}

// maxPreviousHomes is the maximum number of fenced homes kept to replay results.
const maxPreviousHomes = 4

// Start opens the first home of this process.
func (b *Bookings) Start(self hitchclaim.HomeID) {
	b.mu.Lock()
	h := b.openHome(self)
	b.mu.Unlock()
	b.applyStep(h, h.journal.Tick(b.now()))
}

// openHome makes a new home the current one. The caller must call Tick on its journal
// right afterwards: a journal that is opened late could miss that another router has
// already fenced the home.
func (b *Bookings) openHome(self hitchclaim.HomeID) *bookingHome {
	h := &bookingHome{commitWaiters: make(map[hitchclaim.Run]chan bool), handedOver: make(chan struct{})}
	h.home.Self = self
	h.journal.Self = self
	h.journal.SetHomes(max(b.homeCount, 1))
	if b.current != nil {
		b.previous = append(b.previous, b.current)
		b.previous = b.previous[max(0, len(b.previous)-maxPreviousHomes):]
	}
	b.current = h
	if b.OnHomeOpened != nil {
		b.OnHomeOpened(self)
	}
	return h
}

// SetHomes sets the number of homes in the fleet.
func (b *Bookings) SetHomes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.homeCount = n
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

// localHome returns the home of this process with an ID, if there is one. It may be a
// fenced home, which can still replay its results.
func (b *Bookings) localHome(id hitchclaim.HomeID) (*bookingHome, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range append(slices.Clone(b.previous), b.current) {
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

func (b *Bookings) removeExpired(now time.Time) {
	b.mu.Lock()
	all := append(slices.Clone(b.previous), b.current)
	b.mu.Unlock()
	for _, h := range all {
		if h != nil {
			h.home.SweepExpired(now)
		}
	}
}

// handleFenced replaces a home that another router has fenced.
func (b *Bookings) handleFenced(h *bookingHome) {
	h.home.Fence()
	if next := b.replaceHome(h); next != nil {
		b.applyStep(next, next.journal.Tick(b.now()))
	}
}

// replaceHome opens a new home in place of a fenced one. It returns nil if that home
// isn't the current one or a handover has begun.
func (b *Bookings) replaceHome(h *bookingHome) *bookingHome {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != h || b.closed {
		return nil
	}
	self := h.home.Self
	self.Incarnation = hitchclaim.NewIncarnation(b.now(), self.Incarnation)
	if b.Log != nil {
		b.Log.Warn("booking home was fenced by another router; opening a new one", "Was", h.home.Self.String(), "Now", self.String())
	}
	return b.openHome(self)
}

// commitRecord journals a record and reports whether it was committed to the store
// before the deadline until.
func (b *Bookings) commitRecord(ctx context.Context, h *bookingHome, record hitchclaim.Record, until time.Time) bool {
	done := make(chan bool, 1)
	h.mu.Lock()
	h.commitWaiters[record.Run] = done
	h.mu.Unlock()
	b.applyStep(h, h.journal.PutRecord(b.now(), record))
	timer := time.NewTimer(until.Sub(b.now()))
	defer timer.Stop()
	committed := false
	select {
	case committed = <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
	h.mu.Lock()
	delete(h.commitWaiters, record.Run)
	h.mu.Unlock()
	return committed
}

// recordAsync journals the outcome of a run without waiting for the commit.
func (b *Bookings) recordAsync(h *bookingHome, record hitchclaim.Record) {
	b.applyStep(h, h.journal.PutRecord(b.now(), record))
}

// applyStep performs a step of a journal: it reports ended commits, handles a fence or
// a handover, and runs the store commands in the background. The result of each
// command leads to another step.
func (b *Bookings) applyStep(h *bookingHome, step hitchclaim.JournalStep) {
	for _, run := range step.Committed {
		h.finishCommit(run, true)
	}
	for _, run := range step.Failed {
		h.finishCommit(run, false)
	}
	if step.Fenced {
		b.handleFenced(h)
	}
	if step.HandedOver {
		close(h.handedOver)
	}
	for _, command := range step.Commands {
		go func() {
			result := b.Store.Do(context.Background(), command)
			b.applyStep(h, h.journal.HandleStoreResponse(b.now(), result))
		}()
	}
	b.scheduleTick(h, step.NextTick)
}

// scheduleTick schedules the journal's next Tick, in place of the one scheduled
// before. A zero time changes nothing.
func (b *Bookings) scheduleTick(h *bookingHome, at time.Time) {
	if at.IsZero() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.timer != nil {
		h.timer.Stop()
	}
	h.timer = time.AfterFunc(at.Sub(b.now()), func() { b.applyStep(h, h.journal.Tick(b.now())) })
}

// finishCommit reports the end of a run's commit to the goroutine that waits for it.
func (h *bookingHome) finishCommit(run hitchclaim.Run, committed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if done, ok := h.commitWaiters[run]; ok {
		done <- committed
		delete(h.commitWaiters, run)
	}
}
