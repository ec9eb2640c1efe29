package hitchnode_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchdev"
	"citronhitch.example/citronhitch/hitchfake"
	"citronhitch.example/citronhitch/hitchnode"
)

// A store that lost writes and accepted others since holds another configuration with
// the revision of the current one. Status must report the fork, and the routers must
// keep the configuration that they had.
func TestStatusReportsFork(t *testing.T) {
	tests := map[string]struct{ faults []hitchfake.Fault }{
		"by the watch":  {nil},
		"watches break": {[]hitchfake.Fault{{Kind: hitchfake.FaultDisconnect, Path: "/v3/watch"}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := hitchdev.Kustakvariet()
			d.Routers, d.Engines, d.Services, d.Organisations = 2, 1, 1, 1
			f := &hitchdev.Fleet{Deployment: d}
			qt.Assert(t, f.Start(t.Context()), qt.IsNil)
			t.Cleanup(func() { qt.Check(t, f.Stop(context.Background()), qt.IsNil) })
			f.Store().Faults.Set(test.faults...)
			before, _ := f.Routers()[0].Revision()
			forkHead(t, f)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			ticker := time.NewTicker(50 * time.Millisecond)
			defer ticker.Stop()
			for isForked := false; !isForked; <-ticker.C {
				qt.Assert(t, ctx.Err(), qt.IsNil)
				for _, node := range f.Routers() {
					status, err := node.Operators().Status(ctx)
					qt.Assert(t, err, qt.IsNil)
					isForked = isForked || status.Forked
				}
			}
			after, isServing := f.Routers()[0].Revision()
			qt.Assert(t, after, qt.Equals, before)
			qt.Assert(t, isServing, qt.IsTrue)
		})
	}
}

// forkHead replaces the head in the store by the head of a different fleet.
func forkHead(t *testing.T, f *hitchdev.Fleet) {
	settings := f.Routers()[0].Settings
	other := &hitchdev.Fleet{Deployment: f.Deployment}
	other.Deployment.Organisations, other.Deployment.Routers = 1, 1
	other.Deployment.ServicePrefix = "/elsewhere"
	qt.Assert(t, other.Start(t.Context()), qt.IsNil)
	defer func() { qt.Check(t, other.Stop(context.Background()), qt.IsNil) }()
	from := hitchnode.ConfigStore(other.Routers()[0].Settings.Stores, "test")
	to := hitchnode.ConfigStore(settings.Stores, "test")
	head, err := from.Get(t.Context(), hitchconfig.HeadKey)
	qt.Assert(t, err, qt.IsNil)
	was, err := to.Get(t.Context(), hitchconfig.HeadKey)
	qt.Assert(t, err, qt.IsNil)
	outcome, err := to.Swap(t.Context(), hitchconfig.HeadKey, was.Revision, head.Data)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, outcome, qt.Equals, hitchconfig.SwapDone)
}
