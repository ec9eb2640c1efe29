package hitchoutcome

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestDispatchTrackerOutcome(t *testing.T) {
	tests := map[string]struct {
		calls func(e *DispatchTracker)
		want  Outcome
	}{
		"nothing dispatched":     {func(*DispatchTracker) {}, NotRun},
		"dispatched":             {func(e *DispatchTracker) { _ = e.BeginDispatch() }, Unknown},
		"connection refused":     {func(e *DispatchTracker) { _ = e.BeginDispatch(); e.MarkUnsent() }, NotRun},
		"one of two is unsent":   {func(e *DispatchTracker) { _ = e.BeginDispatch(); _ = e.BeginDispatch(); e.MarkUnsent() }, Unknown},
		"answered":               {func(e *DispatchTracker) { _ = e.BeginDispatch(); e.MarkAnswered() }, Ran},
		"second of two answered": {func(e *DispatchTracker) { _ = e.BeginDispatch(); _ = e.BeginDispatch(); e.MarkAnswered() }, Ran},
		"unsent before dispatch": {func(e *DispatchTracker) { e.MarkUnsent(); _ = e.BeginDispatch() }, Unknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var e DispatchTracker
			test.calls(&e)
			qt.Assert(t, e.Outcome(), qt.Equals, test.want)
			refusal := e.Refuse(ReasonTimeout, time.Time{}, "late")
			qt.Assert(t, refusal.Outcome, qt.Equals, test.want)
			qt.Assert(t, e.BeginDispatch(), qt.Equals, ErrClosed)
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
