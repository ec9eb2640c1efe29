package hitchclaim

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchoutcome"
)

// newCall returns a call with a new key whose home is homeA.
func newCall(t testing.TB, nonce byte, policy JournalPolicy) Call {
	minter := testMinter().WithPolicy(policy)
	minter.Entropy = &sequentialBytes{next: nonce}
	_, key, err := minter.Mint(start, homeA, "aquarium", "booking")
	qt.Assert(t, err, qt.IsNil)
	return Call{Key: key, Organisation: "aquarium", Route: "booking", RequestDigest: DigestOf([]byte("two adults"))}
}

// dispatchCall begins a call, journals it and returns its dispatched run.
func dispatchCall(t testing.TB, h *Home, call Call) Run {
	d := h.BeginCall(start, call)
	qt.Assert(t, d.Action, qt.Equals, ActionJournal)
	d = h.AuthorizeDispatch(start, d.Run, true)
	qt.Assert(t, d.Action, qt.Equals, ActionDispatch)
	return d.Run
}

func ticketResult() Result {
	return Result{Status: 201, Header: []HeaderField{{"Content-Type", "text/plain"}}, Body: []byte("ticket 17")}
}

// lostEndpointResult returns the refusal of a dispatched call after a lost connection.
// Its outcome is NotRun if unsent is set, else Unknown.
func lostEndpointResult(unsent bool, retryAt time.Time) Result {
	var tracker hitchoutcome.DispatchTracker
	_ = tracker.BeginDispatch()
	if unsent {
		tracker.MarkUnsent()
	}
	return Result{Refusal: tracker.Refuse(hitchoutcome.ReasonEndpointLost, retryAt, "lost")}
}

func TestRepeat(t *testing.T) {
	tests := map[string]struct {
		before  func(h *Home, run Run)
		change  func(c *Call)
		at      time.Time
		action  Action
		outcome hitchoutcome.Outcome
	}{
		"while the first runs":          {action: ActionWait},
		"after the answer":              {before: func(h *Home, run Run) { h.FinishRun(start, run, ticketResult()) }, action: ActionReplay},
		"after a lost endpoint":         {before: func(h *Home, run Run) { h.FinishRun(start, run, lostEndpointResult(false, start)) }, outcome: hitchoutcome.Unknown},
		"after an answer that is late":  {before: finishLate, action: ActionReplay},
		"after proof, to be repeated":   {before: func(h *Home, run Run) { h.FinishRun(start, run, lostEndpointResult(true, start)) }, action: ActionJournal},
		"after proof, for good":         {before: func(h *Home, run Run) { h.FinishRun(start, run, lostEndpointResult(true, time.Time{})) }, outcome: hitchoutcome.NotRun},
		"with another body":             {change: func(c *Call) { c.RequestDigest = DigestOf() }, outcome: hitchoutcome.NotRun},
		"by another organisation":       {change: func(c *Call) { c.Organisation = "school" }, outcome: hitchoutcome.NotRun},
		"at another home":               {change: func(c *Call) { c.Key.Home.Incarnation++ }, action: ActionForward},
		"of a finished key at deadline": {before: func(h *Home, run Run) { h.FinishRun(start, run, ticketResult()) }, at: start.Add(KeyTTL), action: ActionReplay},
		"of a swept key":                {before: finishAndSweep, at: start.Add(KeyTTL + Retention), outcome: hitchoutcome.Unknown},
		"of a swept key, clock back":    {before: finishAndSweep, outcome: hitchoutcome.Unknown},
		"of a key swept too early":      {before: sweepEarly, at: start.Add(KeyTTL), action: ActionReplay},
		"of an answer too large":        {before: finishLarge, outcome: hitchoutcome.Ran},
		"of a fenced home":              {before: func(h *Home, run Run) { h.Fence(); h.FinishRun(start, run, ticketResult()) }, action: ActionReplay},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := &Home{Self: homeA}
			call := newCall(t, 0, JournalRequired)
			run := dispatchCall(t, h, call)
			if test.before != nil {
				test.before(h, run)
			}
			if test.change != nil {
				test.change(&call)
			}
			now := start
			if !test.at.IsZero() {
				now = test.at
			}
			d := h.BeginCall(now, call)
			qt.Assert(t, d.Action, qt.Equals, test.action)
			switch d.Action {
			case ActionReplay:
				qt.Assert(t, d.Result, qt.DeepEquals, ticketResult())
			case ActionRefuse:
				qt.Assert(t, d.Refusal.Outcome, qt.Equals, test.outcome)
			}
		})
	}
}

func finishLate(h *Home, run Run) {
	h.FinishRun(start, run, lostEndpointResult(false, start))
	h.FinishRun(start, run, ticketResult())
}

func finishAndSweep(h *Home, run Run) {
	h.FinishRun(start, run, ticketResult())
	h.SweepExpired(start.Add(KeyTTL + Retention))
}

func sweepEarly(h *Home, run Run) {
	h.FinishRun(start, run, ticketResult())
	h.SweepExpired(start.Add(KeyTTL))
}

func finishLarge(h *Home, run Run) {
	h.FinishRun(start, run, Result{Status: 201, Body: make([]byte, MaxReplayBodyBytes+1)})
}

func TestNotDispatched(t *testing.T) {
	tests := map[string]struct {
		before    func(h *Home)
		at        time.Time
		policy    JournalPolicy
		committed bool
		action    Action
		isFinal   bool
	}{
		"journal failed":                 {isFinal: false},
		"journal failed, best effort":    {policy: JournalBestEffort, action: ActionDispatch},
		"paused past the key's deadline": {at: start.Add(KeyTTL), committed: true, isFinal: true},
		"home fenced while paused":       {before: (*Home).Fence, committed: true, isFinal: true},
		"home fenced, best effort":       {before: (*Home).Fence, policy: JournalBestEffort, isFinal: true},
		"home closed for a handover":     {before: (*Home).RefuseNewKeys, committed: true},
		"home moved":                     {before: func(h *Home) { h.ForwardTo(HomeID{Instance: "router-b"}) }, committed: true, action: ActionForward},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := &Home{Self: homeA}
			d := h.BeginCall(start, newCall(t, 0, test.policy))
			if test.before != nil {
				test.before(h)
			}
			d = h.AuthorizeDispatch(later(start, test.at), d.Run, test.committed)
			qt.Assert(t, d.Action, qt.Equals, test.action)
			if d.Action == ActionRefuse {
				qt.Assert(t, d.Refusal.Outcome, qt.Equals, hitchoutcome.NotRun)
				qt.Assert(t, d.Refusal.RetryAt.IsZero(), qt.Equals, test.isFinal)
			}
		})
	}
}

func TestFullHomeRefusesNewKeysAndKeepsUnfinished(t *testing.T) {
	h := &Home{Self: homeA, Capacity: 2}
	first := newCall(t, 0, JournalRequired)
	run := dispatchCall(t, h, first)
	dispatchCall(t, h, newCall(t, 50, JournalRequired))
	d := h.BeginCall(start, newCall(t, 100, JournalRequired))
	qt.Assert(t, d.Refusal.Reason, qt.Equals, hitchoutcome.ReasonOverloaded)
	qt.Assert(t, d.Refusal.Outcome, qt.Equals, hitchoutcome.NotRun)
	h.FinishRun(start, run, ticketResult())
	qt.Assert(t, h.SweepExpired(start.Add(KeyTTL+Retention)), qt.Equals, 1)
	qt.Assert(t, h.RunningCount(), qt.Equals, 1)
}

func TestWaitersOfAFreedKeyShareOneRun(t *testing.T) {
	h := &Home{Self: homeA}
	call := newCall(t, 0, JournalRequired)
	run := dispatchCall(t, h, call)
	wait := h.BeginCall(start, call)
	h.FinishRun(start, run, lostEndpointResult(true, start))
	<-wait.Done
	qt.Assert(t, h.BeginCall(start, call).Action, qt.Equals, ActionJournal)
	qt.Assert(t, h.BeginCall(start, call).Action, qt.Equals, ActionWait)
	late := h.FinishRun(start, run, ticketResult())
	qt.Assert(t, late.Refusal.Outcome, qt.Equals, hitchoutcome.Unknown)
}

func TestHomeHandingOverAnswersUnknown(t *testing.T) {
	h := &Home{Self: homeA}
	d := h.BeginCall(start, newCall(t, 0, JournalRequired))
	h.RefuseNewKeys()
	qt.Assert(t, h.ExportHandover().Entries, qt.HasLen, 0)
	d = h.AuthorizeDispatch(start, d.Run, true)
	qt.Assert(t, d.Refusal.Outcome, qt.Equals, hitchoutcome.Unknown)
	d = h.BeginCall(start, newCall(t, 50, JournalRequired))
	qt.Assert(t, d.Refusal.Outcome, qt.Equals, hitchoutcome.Unknown)
	d = h.BeginCall(start.Add(KeyTTL), newCall(t, 50, JournalRequired))
	qt.Assert(t, d.Refusal.Outcome, qt.Equals, hitchoutcome.Unknown, qt.Commentf("the successor may have run it before it expired"))
	h.ForwardTo(homeA)
	qt.Assert(t, h.BeginCall(start, newCall(t, 50, JournalRequired)).Action, qt.Equals, ActionForward)
}

func TestFencedHomeRefusesPermanently(t *testing.T) {
	h := &Home{Self: homeA}
	h.Fence()
	h.ForwardTo(HomeID{Instance: "router-b"})
	d := h.BeginCall(start, newCall(t, 0, JournalBestEffort))
	qt.Assert(t, d.Action, qt.Equals, ActionRefuse)
	qt.Assert(t, d.Refusal.Outcome, qt.Equals, hitchoutcome.NotRun)
	qt.Assert(t, d.Refusal.RetryAt.IsZero(), qt.IsTrue)
}

func TestResolve(t *testing.T) {
	tests := map[string]struct {
		outcome hitchoutcome.Outcome
		at      time.Time
		want    string
		repeat  hitchoutcome.Outcome
	}{
		"ran":                  {hitchoutcome.Ran, start, "", hitchoutcome.Ran},
		"not run, too soon":    {hitchoutcome.NotRun, start.Add(KeyTTL), "booking .* may still run until .*", hitchoutcome.Unknown},
		"not run, late enough": {hitchoutcome.NotRun, start.Add(KeyTTL + lateArrivalMargin), "", hitchoutcome.NotRun},
		"not resolved":         {hitchoutcome.Unknown, start, ".*must be Ran or NotRun", hitchoutcome.Unknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := &Home{Self: homeA}
			call := newCall(t, 0, JournalRequired)
			run := dispatchCall(t, h, call)
			h.FinishRun(start, run, lostEndpointResult(false, start))
			qt.Assert(t, h.Doubts(), qt.HasLen, 1)
			_, err := h.ResolveDoubt(test.at, run.Key, Resolution{Outcome: test.outcome})
			if test.want != "" {
				qt.Assert(t, err, qt.ErrorMatches, test.want)
			}
			qt.Assert(t, h.BeginCall(start, call).Refusal.Outcome, qt.Equals, test.repeat)
		})
	}
}
