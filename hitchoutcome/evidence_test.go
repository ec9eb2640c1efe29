package hitchoutcome

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestDispatchTrackerOutcome(t *testing.T) {
	tests := map[string]struct {
		calls func(e *Evidence)
		want  Outcome
	}{
		"nothing dispatched":     {func(*Evidence) {}, NotRun},
		"dispatched":             {func(e *Evidence) { _ = e.Dispatching() }, Unknown},
		"connection refused":     {func(e *Evidence) { _ = e.Dispatching(); e.Unsent() }, NotRun},
		"one of two is unsent":   {func(e *Evidence) { _ = e.Dispatching(); _ = e.Dispatching(); e.Unsent() }, Unknown},
		"answered":               {func(e *Evidence) { _ = e.Dispatching(); e.Answered() }, Ran},
		"second of two answered": {func(e *Evidence) { _ = e.Dispatching(); _ = e.Dispatching(); e.Answered() }, Ran},
		"unsent before dispatch": {func(e *Evidence) { e.Unsent(); _ = e.Dispatching() }, Unknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var e Evidence
			test.calls(&e)
			qt.Assert(t, e.Outcome(), qt.Equals, test.want)
			refusal := e.Refuse(ReasonTimeout, time.Time{}, "late")
			qt.Assert(t, refusal.Outcome, qt.Equals, test.want)
			qt.Assert(t, e.Dispatching(), qt.Equals, ErrClosed)
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
