package hitchclaim

import (
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestConcurrentCallers begins calls with the same keys from many goroutines while the
// home sweeps, then closes the home and hands it over. Each key must be dispatched
// exactly once.
func TestConcurrentCallers(t *testing.T) {
	const keys, callers = 200, 16
	h := &Home{Self: homeA}
	first := newCall(t, 0, JournalRequired)
	var dispatches [keys]atomic.Int32
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for n := range keys {
				call := first
				call.Key = keyWithNonce(first.Key, n)
				callUntilAnswered(h, call, &dispatches[n])
			}
		})
	}
	wg.Go(func() {
		for range 50 {
			h.SweepExpired(start)
			h.RunningCount()
		}
	})
	wg.Wait()
	for n := range keys {
		qt.Assert(t, dispatches[n].Load(), qt.Equals, int32(1))
	}
	h.RefuseNewKeys()
	qt.Assert(t, h.ExportHandover().Entries, qt.HasLen, keys)
}

// callUntilAnswered handles a call until it is replayed or refused, and counts its
// dispatches.
func callUntilAnswered(h *Home, call Call, dispatches *atomic.Int32) {
	d := h.BeginCall(start, call)
	for d.Action != ActionReplay && d.Action != ActionRefuse {
		switch d.Action {
		case ActionJournal:
			d = h.AuthorizeDispatch(start, d.Run, true)
		case ActionDispatch:
			dispatches.Add(1)
			d = h.FinishRun(start, d.Run, ticketResult())
		default:
			<-d.Done
			d = h.BeginCall(start, call)
		}
	}
}

func FuzzDecodeSegment(f *testing.F) {
	s := Segment{Home: homeA, FencedAt: start, Records: []Record{{Run: Run{Number: 1}, Deadline: start, Body: []byte{1}}}}
	f.Add(s.Encode())
	f.Add(Segment{}.Encode())
	f.Add([]byte{0x80})
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := DecodeSegment(data)
		if err != nil {
			return
		}
		again, err := DecodeSegment(s.Encode())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, again, qt.DeepEquals, s)
	})
}
