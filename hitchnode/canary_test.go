package hitchnode_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchapi"
	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchdev"
	"citronhitch.example/citronhitch/hitchfake"
)

// canaryFleet is a small fleet whose engines hold versions, with callers that chat.
type canaryFleet struct {
	hitchdev.Fleet
	t      *testing.T
	chats  atomic.Int64
	failed atomic.Int64
}

func startCanaryFleet(t *testing.T) *canaryFleet {
	d := hitchdev.Kustakvariet()
	d.Routers, d.Engines, d.Services, d.Organisations, d.LagMillis, d.TokensPerSecond = 3, 4, 1, 2, 50, 5000
	f := &canaryFleet{Fleet: hitchdev.Fleet{Deployment: d}, t: t}
	qt.Assert(t, f.Start(t.Context()), qt.IsNil)
	t.Cleanup(func() { qt.Check(t, f.Stop(context.Background()), qt.IsNil) })
	for _, host := range f.Engines() {
		host.Engine.LoadMillis, host.Engine.ColdMillis = 300, 300
		host.Engine.SetLoadedVersions("v1")
	}
	return f
}

// change makes a change at a router.
func (f *canaryFleet) change(n int, intent hitchconfig.Intent) {
	f.t.Helper()
	operators := f.Routers()[n].Operators()
	plan, err := operators.Plan(f.t.Context(), "operator", intent)
	qt.Assert(f.t, err, qt.IsNil)
	token, err := plan.Token.Encode()
	qt.Assert(f.t, err, qt.IsNil)
	_, err = operators.Confirm(f.t.Context(), "operator", token)
	qt.Assert(f.t, err, qt.IsNil)
}

func (f *canaryFleet) weigh(v1, v2 int) {
	f.t.Helper()
	f.change(0, hitchconfig.Intent{Kind: hitchconfig.SetVersionWeights, Route: f.Deployment.EngineRoute, Versions: []hitchconfig.ModelVersion{
		{Name: "v1", Weight: v1}, {Name: "v2", Weight: v2},
	}})
}

// chat lets a few callers chat, each turn in one of 40 chats, until ctx is done.
func (f *canaryFleet) chat(ctx context.Context) (wait func()) {
	var group sync.WaitGroup
	for n := range 4 {
		client := f.Client(n % f.Deployment.Organisations)
		group.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				f.turn(ctx, func(body []byte, chat string) error {
					_, err := client.Chat(context.WithoutCancel(ctx), chat, body, nil)
					return err
				}, fmt.Sprintf("chat-%d-%d", n, i%10))
			}
		})
	}
	return group.Wait
}

func (f *canaryFleet) turn(ctx context.Context, ask func(body []byte, chat string) error, chat string) {
	body, err := json.Marshal(hitchfake.ChatRequest{
		Model: string(f.Deployment.EngineRoute), Stream: true, MaxTokens: 20,
		Messages: []hitchfake.Message{{Role: "user", Content: "turtles of " + chat}},
	})
	qt.Check(f.t, err, qt.IsNil)
	f.chats.Add(1)
	if err := ask(body, chat); err != nil {
		f.failed.Add(1)
		f.t.Logf("%s: %v", chat, err)
	}
}

// submitted returns how many chats the engines that hold a version alone have
// served, and how many such engines there are.
func (f *canaryFleet) submitted(version string) (chats uint64, engines int) {
	for _, host := range f.Engines() {
		if versions := host.Engine.Models().Versions; len(versions) == 1 && versions[0] == (hitchfake.LoadedVersion{Name: version, Ready: true}) {
			chats, engines = chats+host.Engine.Records().Submitted, engines+1
		}
	}
	return chats, engines
}

func (f *canaryFleet) await(what string, holds func() bool) {
	f.t.Helper()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	end := time.NewTimer(2 * time.Minute)
	defer end.Stop()
	for !holds() {
		select {
		case <-ticker.C:
		case <-end.C:
			f.t.Fatalf("never: %s", what)
		}
	}
}

// serves waits until so many engines serve a version and chats come to them.
func (f *canaryFleet) serves(version string, engines int) {
	f.t.Helper()
	f.await(fmt.Sprintf("%d engines serve %s", engines, version), func() bool {
		_, n := f.submitted(version)
		return n == engines
	})
	was, _ := f.submitted(version)
	f.await("chats come to "+version, func() bool {
		now, _ := f.submitted(version)
		return now > was
	})
}

// A new version comes to one engine of four and gets its part of the chats; then
// to more; then all go back. No chat fails meanwhile.
func TestCanaryAndRollBack(t *testing.T) {
	f := startCanaryFleet(t)
	limits := hitchconfig.Limits{LoadsPerMinute: 600}
	f.change(1, hitchconfig.Intent{Kind: hitchconfig.SetLimits, NewLimits: &limits})
	ctx, stop := context.WithCancel(t.Context())
	wait := f.chat(ctx)
	f.change(2, hitchconfig.Intent{Kind: hitchconfig.AddModelVersion, Route: f.Deployment.EngineRoute, Versions: []hitchconfig.ModelVersion{{Name: "v2"}}})
	f.serves("v1", 4)
	f.weigh(75, 25)
	f.serves("v2", 1)
	f.serves("v1", 3)
	f.await("status shows the engine of v2", func() bool {
		status, err := f.Routers()[2].Operators().Status(t.Context())
		return err == nil && lo.CountBy(status.Endpoints, func(e hitchapi.EndpointStatus) bool { return e.Version == "v2" }) == 1
	})
	f.weigh(50, 50)
	f.serves("v2", 2)
	f.weigh(100, 0)
	f.serves("v1", 4)
	stop()
	wait()
	t.Logf("Chats=%d Failed=%d", f.chats.Load(), f.failed.Load())
	qt.Assert(t, f.failed.Load(), qt.Equals, int64(0), qt.Commentf("of %d chats", f.chats.Load()))
	qt.Assert(t, lo.SumBy(f.Engines(), func(h *hitchdev.EngineHost) int { return h.Engine.Records().Falls }), qt.Equals, 0)
}
