package hitchretry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)

func TestDecisions(t *testing.T) {
	later := start.Add(time.Second)
	tests := map[string]struct {
		request  Request
		outcomes []Outcome
		want     Decision
	}{
		"unsent":                               {Request{MaxAttempts: 1, Deadline: later}, []Outcome{Unsent}, Retry},
		"refused":                              {Request{MaxAttempts: 1, Deadline: later}, []Outcome{Refused}, Retry},
		"lost and not repeatable":              {Request{MaxAttempts: 3, Deadline: later}, []Outcome{Lost}, GiveUp},
		"lost and repeatable":                  {Request{IsRetrySafe: true, MaxAttempts: 2, Deadline: later}, []Outcome{Lost}, Retry},
		"no attempts left":                     {Request{IsRetrySafe: true, MaxAttempts: 2, Deadline: later}, []Outcome{Lost, Lost}, GiveUp},
		"failed and not repeatable":            {Request{MaxAttempts: 2, Deadline: later}, []Outcome{Failed}, PassOn},
		"failed and repeatable":                {Request{IsRetrySafe: true, MaxAttempts: 2, Deadline: later}, []Outcome{Failed}, Retry},
		"failed in the last attempt":           {Request{IsRetrySafe: true, MaxAttempts: 2, Deadline: later}, []Outcome{Failed, Failed}, PassOn},
		"refused too often":                    {Request{MaxAttempts: 1, Deadline: later}, []Outcome{Refused, Refused, Refused, Refused}, RefuseNotRun},
		"deadline passed":                      {Request{MaxAttempts: 1, Deadline: start}, []Outcome{Refused}, RefuseNotRun},
		"deadline passed after a lost attempt": {Request{IsRetrySafe: true, MaxAttempts: 2, Deadline: start}, []Outcome{Lost}, GiveUp},
		"refused after a lost attempt":         {Request{IsRetrySafe: true, MaxAttempts: 2, Deadline: start}, []Outcome{Lost, Refused}, GiveUp},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r, got := test.request, Retry
			for _, o := range test.outcomes {
				r, got = r.AfterAttempt(start, o)
			}
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}

// TestRefusedAsNotRunOnlyIfNothingRan checks random sequences of outcomes: a request
// that may have run is never refused as not run, and one that may not be repeated runs
// at most once.
func TestRefusedAsNotRunOnlyIfNothingRan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Request{
			IsRetrySafe: rapid.Bool().Draw(t, "may repeat"),
			MaxAttempts: rapid.IntRange(1, 4).Draw(t, "max"),
			Deadline:    start.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "left")) * time.Millisecond),
		}
		runs := 0
		for d := Retry; d == Retry; {
			o := rapid.SampledFrom([]Outcome{Unsent, Refused, Lost, Failed}).Draw(t, "outcome")
			if o == Lost || o == Failed {
				runs++
			}
			r, d = r.AfterAttempt(start, o)
			if d == RefuseNotRun && runs > 0 {
				t.Fatalf("refused as not run after %d runs", runs)
			}
			if d == PassOn && o != Failed {
				t.Fatalf("forwarded a response after outcome %s", o)
			}
		}
		if !r.IsRetrySafe && runs > 1 || runs > r.MaxAttempts {
			t.Fatalf("%d runs of %+v", runs, r)
		}
	})
}

func TestDecisionWithoutRetry(t *testing.T) {
	r := Request{IsRetrySafe: true, MaxAttempts: 3, Deadline: start.Add(time.Minute)}
	r, d := r.AfterAttempt(start, Refused)
	qt.Assert(t, d, qt.Equals, Retry)
	qt.Assert(t, r.FinalDecision(Refused), qt.Equals, RefuseNotRun)
	r, _ = r.AfterAttempt(start, Lost)
	qt.Assert(t, r.FinalDecision(Lost), qt.Equals, GiveUp)
}

func TestRefusalsBeforeProgressDontCount(t *testing.T) {
	r := Request{IsRetrySafe: true, MaxAttempts: 3, Deadline: start.Add(time.Second)}
	for range maxNotRun + 1 {
		r, _ = r.AfterAttempt(start, Refused)
	}
	_, decision := r.AfterAttempt(start, Lost)
	qt.Assert(t, decision, qt.Equals, GiveUp)
	r, decision = r.AfterProgress().AfterAttempt(start, Lost)
	qt.Assert(t, decision, qt.Equals, Retry)
	r, _ = r.AfterProgress().AfterAttempt(start, Lost)
	_, decision = r.AfterProgress().AfterAttempt(start, Lost)
	qt.Assert(t, decision, qt.Equals, GiveUp)
}

// TestAttemptsBesideOpenOnes covers a request of which another instance makes several attempts.
func TestAttemptsBesideOpenOnes(t *testing.T) {
	tests := map[string]struct {
		request    Request
		open, left int
		isAllowed  bool
	}{
		"nothing is open":          {Request{IsRetrySafe: true, MaxAttempts: 2}, 0, 2, true},
		"one is open":              {Request{IsRetrySafe: true, MaxAttempts: 2}, 1, 1, true},
		"all are open":             {Request{IsRetrySafe: true, MaxAttempts: 2}, 2, 1, false},
		"one has run, one is open": {Request{IsRetrySafe: true, MaxAttempts: 2, possibleRuns: 1}, 1, 1, false},
		"it may not be repeated":   {Request{MaxAttempts: 2}, 1, 1, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, test.request.AttemptsLeft(test.open), qt.Equals, test.left)
			qt.Check(t, test.request.AllowsAttemptBeside(test.open), qt.Equals, test.isAllowed)
		})
	}
	r, decision := Request{IsRetrySafe: true, MaxAttempts: 2, Deadline: start.Add(time.Second)}.AfterAttempts(start, Failed, 2)
	qt.Assert(t, decision, qt.Equals, PassOn)
	qt.Assert(t, r.PossibleRuns(), qt.Equals, 2)
}
