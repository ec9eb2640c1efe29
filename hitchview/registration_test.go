package hitchview

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchroute"
)

// registrationHarness runs a registration against a store that counts the calls.
type registrationHarness struct {
	view          atomic.Pointer[View]
	changed       chan struct{}
	puts, removes atomic.Int64
	isDown        atomic.Bool
	// lostRemoves is the number of removals that get no response from now on.
	lostRemoves atomic.Int64
	// whileLeaving, if set, is called before the end of the process.
	whileLeaving func()
	revision     atomic.Int64
}

var registered = hitchfleet.Instance{ID: "self", Addr: "10.0.0.1:80"}

func runRegistration(t *testing.T, body func(h *registrationHarness)) {
	synctest.Test(t, func(t *testing.T) {
		h := &registrationHarness{changed: make(chan struct{}, 1)}
		h.revision.Store(10)
		h.view.Store(&View{})
		r := &Registration{
			Self: registered, View: func() View { return *h.view.Load() }, Changed: h.changed,
			Put: func(context.Context, hitchfleet.Instance) (hitchfleet.Revision, error) {
				h.puts.Add(1)
				if h.isDown.Load() {
					return 0, errors.New("the store is unavailable")
				}
				return hitchfleet.Revision(h.revision.Add(1)), nil
			},
			Remove: func(ctx context.Context, _ hitchfleet.InstanceID) (hitchfleet.Revision, error) {
				h.removes.Add(1)
				if h.lostRemoves.Add(-1) < 0 {
					return hitchfleet.Revision(h.revision.Add(1)), nil
				}
				<-ctx.Done()
				return 0, ctx.Err()
			},
		}
		end, stop := context.WithCancel(t.Context())
		leaving, leave := context.WithCancel(end)
		done := make(chan struct{})
		go func() { defer close(done); r.Run(end, leaving) }()
		defer func() {
			leave()
			time.Sleep(5 * time.Second)
			if h.whileLeaving != nil {
				h.whileLeaving()
			}
			stop()
			<-done
		}()
		body(h)
	})
}

// setView sets the view, and lets the registration react.
func (h *registrationHarness) setView(messages ...Msg) {
	v := h.view.Load().Apply(Batch{Revision: hitchfleet.Revision(h.revision.Load()), Messages: messages})
	h.view.Store(&v)
	select {
	case h.changed <- struct{}{}:
	default:
	}
	synctest.Wait()
}

var firstTable = TableMsg{1, hitchroute.NewTable(hitchroute.Config{Version: 1})}

func TestEntryIsWrittenOnce(t *testing.T) {
	runRegistration(t, func(h *registrationHarness) {
		synctest.Wait()
		qt.Assert(t, h.puts.Load(), qt.Equals, int64(0)) // no configuration yet
		h.setView(firstTable)
		qt.Assert(t, h.puts.Load(), qt.Equals, int64(1))
		h.setView(InstanceMsg{11, registered})
		time.Sleep(time.Minute)
		qt.Assert(t, h.puts.Load(), qt.Equals, int64(1))
	})
}

// TestRestartKeepsEntry covers an instance that restarts before its entry is removed.
func TestRestartKeepsEntry(t *testing.T) {
	runRegistration(t, func(h *registrationHarness) {
		h.setView(firstTable, InstanceMsg{9, registered})
		time.Sleep(time.Minute)
		qt.Assert(t, h.puts.Load(), qt.Equals, int64(0))
	})
}

func TestEntryIsWrittenAnew(t *testing.T) {
	tests := map[string]Msg{
		"a hub removed it":            InstanceRemovedMsg{12, registered.ID},
		"it has another address":      InstanceMsg{12, hitchfleet.Instance{ID: registered.ID, Addr: "10.0.0.9:80"}},
		"another program spoiled it":  InstanceRemovedMsg{13, registered.ID},
		"it says that it is stopping": InstanceMsg{12, hitchfleet.Instance{ID: registered.ID, Addr: registered.Addr, Leaving: true}},
	}
	for name, msg := range tests {
		t.Run(name, func(t *testing.T) {
			runRegistration(t, func(h *registrationHarness) {
				h.setView(firstTable)
				h.setView(InstanceMsg{11, registered})
				h.revision.Store(int64(revisionOf(msg)))
				h.setView(msg)
				qt.Assert(t, h.puts.Load(), qt.Equals, int64(2))
			})
		})
	}
}

// TestViewOlderThanTheWriteChangesNothing covers a view that a hub updates seconds
// after the entry was written.
func TestViewOlderThanTheWriteChangesNothing(t *testing.T) {
	runRegistration(t, func(h *registrationHarness) {
		h.setView(firstTable)
		h.revision.Store(10)
		h.setView(firstTable)
		time.Sleep(time.Minute)
		qt.Assert(t, h.puts.Load(), qt.Equals, int64(1))
	})
}

// TestRegistrationBacksOffDuringOutage covers many instances that start while the store
// is unavailable.
func TestRegistrationBacksOffDuringOutage(t *testing.T) {
	runRegistration(t, func(h *registrationHarness) {
		h.isDown.Store(true)
		h.setView(firstTable)
		time.Sleep(10 * time.Second)
		calls := h.puts.Load()
		qt.Assert(t, calls >= 4 && calls <= 13, qt.IsTrue, qt.Commentf("%d calls", calls))
		h.isDown.Store(false)
		time.Sleep(2 * maxRegisterDelay)
		h.setView(InstanceMsg{11, registered})
		calls = h.puts.Load()
		time.Sleep(time.Minute)
		qt.Assert(t, h.puts.Load(), qt.Equals, calls)
	})
}

func TestShutdownRemovesEntry(t *testing.T) {
	var h *registrationHarness
	runRegistration(t, func(running *registrationHarness) {
		h = running
		h.setView(firstTable)
	})
	qt.Assert(t, h.removes.Load(), qt.Equals, int64(1))
	runRegistration(t, func(running *registrationHarness) { h = running })
	qt.Assert(t, h.removes.Load(), qt.Equals, int64(0))
}

// TestShutdownRemovesEntryDespiteLostCalls covers a connection to the store that has gone
// silent when the instance stops: directories name the instance until its entry is
// removed.
func TestShutdownRemovesEntryDespiteLostCalls(t *testing.T) {
	var h *registrationHarness
	runRegistration(t, func(running *registrationHarness) {
		h = running
		h.setView(firstTable)
		h.lostRemoves.Store(2)
	})
	qt.Assert(t, h.removes.Load(), qt.Equals, int64(3))
}

// TestShutdownDoesNotWaitForTheStore covers an outage of the store that outlasts the
// process.
func TestShutdownDoesNotWaitForTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		end, stop := context.WithCancel(t.Context())
		view := View{}.Apply(Batch{Revision: 9, Messages: []Msg{firstTable, InstanceMsg{9, registered}}})
		r := &Registration{
			Self: registered, View: func() View { return view },
			Remove: func(ctx context.Context, _ hitchfleet.InstanceID) (hitchfleet.Revision, error) {
				<-ctx.Done()
				return 0, ctx.Err()
			},
		}
		leaving, leave := context.WithCancel(end)
		leave()
		time.AfterFunc(7*time.Second, stop)
		start := time.Now()
		r.Run(end, leaving)
		qt.Assert(t, time.Since(start), qt.Equals, 7*time.Second)
		qt.Assert(t, r.HasLeft(), qt.IsFalse)
	})
}

// TestStoppingInstanceLeavesAgainAfterReturnOfOlderStore covers a store that comes back
// from a copy which still has the entry of an instance that is stopping.
func TestStoppingInstanceLeavesAgainAfterReturnOfOlderStore(t *testing.T) {
	var h *registrationHarness
	runRegistration(t, func(running *registrationHarness) {
		h = running
		h.setView(firstTable)
		h.whileLeaving = func() {
			h.revision.Store(int64(rev(1, 9)))
			h.setView(InstanceMsg{rev(1, 9), registered})
		}
	})
	qt.Assert(t, h.removes.Load(), qt.Equals, int64(2))
}

// TestEntryIsWrittenAgainAfterReturnOfOlderStore covers a store that comes back from a copy
// without the instance's entry, whose revisions are lower than that of the lost write.
func TestEntryIsWrittenAgainAfterReturnOfOlderStore(t *testing.T) {
	runRegistration(t, func(h *registrationHarness) {
		h.setView(firstTable)
		h.setView(InstanceMsg{11, registered})
		qt.Assert(t, h.puts.Load(), qt.Equals, int64(1))
		h.revision.Store(int64(rev(1, 5)))
		v := h.view.Load().Apply(Batch{Revision: rev(1, 5), IsSnapshot: true, KeepExpiredUntil: time.Now().Add(time.Minute)})
		h.view.Store(&v)
		h.changed <- struct{}{}
		synctest.Wait()
		qt.Assert(t, h.puts.Load(), qt.Equals, int64(2))
	})
}

// TestStoppingInstanceLeavesAgainAfterLateWrite covers a write of the entry that got no
// response and that the store executes after the removal.
func TestStoppingInstanceLeavesAgainAfterLateWrite(t *testing.T) {
	var h *registrationHarness
	runRegistration(t, func(running *registrationHarness) {
		h = running
		h.setView(firstTable)
		h.whileLeaving = func() { h.setView(InstanceMsg{hitchfleet.Revision(h.revision.Add(1)), registered}) }
	})
	qt.Assert(t, h.removes.Load(), qt.Equals, int64(2))
}
