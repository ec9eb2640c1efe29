package hitchoutcome

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestDispatchTrackerOutcome(t *testing.T) {
	tests := map[string]struct {
		calls func(tracker *DispatchTracker)
		want  Outcome
	}{
		"nothing dispatched": {func(*DispatchTracker) {}, NotRun},
		"dispatched":         {func(tracker *DispatchTracker) { _ = tracker.BeginDispatch() }, Unknown},
		"connection refused": {func(tracker *DispatchTracker) { _ = tracker.BeginDispatch(); tracker.MarkUnsent() }, NotRun},
		"one of two is unsent": {func(tracker *DispatchTracker) {
			_ = tracker.BeginDispatch()
			_ = tracker.BeginDispatch()
			tracker.MarkUnsent()
		}, Unknown},
		"answered": {func(tracker *DispatchTracker) { _ = tracker.BeginDispatch(); tracker.MarkAnswered() }, Ran},
		"second of two answered": {func(tracker *DispatchTracker) {
			_ = tracker.BeginDispatch()
			_ = tracker.BeginDispatch()
			tracker.MarkAnswered()
		}, Ran},
		"unsent before dispatch": {func(tracker *DispatchTracker) { tracker.MarkUnsent(); _ = tracker.BeginDispatch() }, Unknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var tracker DispatchTracker
			test.calls(&tracker)
			qt.Assert(t, tracker.Outcome(), qt.Equals, test.want)
			refusal := tracker.Refuse(ReasonTimeout, time.Time{}, "late")
			qt.Assert(t, refusal.Outcome, qt.Equals, test.want)
			qt.Assert(t, tracker.BeginDispatch(), qt.Equals, ErrClosed)
		})
	}
}

func TestOutcomeText(t *testing.T) {
	for _, want := range []Outcome{Unknown, NotRun, Ran} {
		text, err := want.MarshalText()
		qt.Assert(t, err, qt.IsNil)
		var got Outcome
		qt.Assert(t, got.UnmarshalText(text), qt.IsNil)
		qt.Assert(t, got, qt.Equals, want)
	}
	var o Outcome
	qt.Assert(t, o.UnmarshalText([]byte("Maybe")), qt.IsNotNil)
}
