package hitchnode_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchdev"
)

// An accepted change can still be undone after it has moved from the head to the
// history.
func TestUndoOfAnOldRevision(t *testing.T) {
	d := hitchdev.Kustakvariet()
	d.Routers, d.Engines, d.Services, d.Organisations = 2, 1, 1, 1
	f := &hitchdev.Fleet{Deployment: d}
	qt.Assert(t, f.Start(t.Context()), qt.IsNil)
	t.Cleanup(func() { qt.Check(t, f.Stop(context.Background()), qt.IsNil) })
	operators := f.Routers()[0].Operators()
	change := func(intent hitchconfig.Intent) hitchconfig.ConfirmResult {
		plan, err := operators.Plan(t.Context(), "maja", intent)
		qt.Assert(t, err, qt.IsNil)
		token, err := plan.Token.Encode()
		qt.Assert(t, err, qt.IsNil)
		accepted, err := operators.Confirm(t.Context(), "maja", token)
		qt.Assert(t, err, qt.IsNil)
		return accepted
	}
	drained := change(hitchconfig.Intent{Kind: hitchconfig.DrainEndpoint, Endpoint: "guide-llm-0"})
	old := drained.Change.Revision
	last := drained
	for n := 1; last.Head.Accepts[0].Revision <= old; n++ {
		limits := hitchconfig.Limits{QueueLength: n}
		last = change(hitchconfig.Intent{Kind: hitchconfig.SetLimits, NewLimits: &limits})
	}
	undone := change(hitchconfig.Intent{Kind: hitchconfig.Undo, Revision: old})
	qt.Assert(t, undone.Head.Configuration.Endpoint("guide-llm-0").Drained, qt.IsFalse)
	_, err := operators.Plan(t.Context(), "maja", hitchconfig.Intent{Kind: hitchconfig.Undo, Revision: old + 10_000})
	qt.Assert(t, err, qt.ErrorMatches, ".*not in the history.*")
}
