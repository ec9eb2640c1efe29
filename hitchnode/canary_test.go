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

// canaryFleet is a small fleet whose engines hold model versions, and whose callers
// send chats.
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

// applyIntent plans and confirms a configuration change at a router.
func (f *canaryFleet) applyIntent(n int, intent hitchconfig.Intent) {
	f.t.Helper()
	operators := f.Routers()[n].Operators()
	plan, err := operators.Plan(f.t.Context(), "operator", intent)
	qt.Assert(f.t, err, qt.IsNil)
	token, err := plan.Token.Encode()
	qt.Assert(f.t, err, qt.IsNil)
	_, err = operators.Confirm(f.t.Context(), "operator", token)
	qt.Assert(f.t, err, qt.IsNil)
}

func (f *canaryFleet) setWeights(v1, v2 int) {
	f.t.Helper()
	f.applyIntent(0, hitchconfig.Intent{Kind: hitchconfig.SetVersionWeights, Route: f.Deployment.EngineRoute, Versions: []hitchconfig.ModelVersion{
		{Name: "v1", Weight: v1}, {Name: "v2", Weight: v2},
	}})
}

// startChats starts 4 callers that send requests, spread over 40 chats, until ctx is done.
func (f *canaryFleet) startChats(ctx context.Context) (wait func()) {
	var group sync.WaitGroup
	for n := range 4 {
		client := f.Client(n % f.Deployment.Organisations)
		group.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				f.sendChat(ctx, func(body []byte, chat string) error {
					_, err := client.Chat(context.WithoutCancel(ctx), chat, body, nil)
					return err
				}, fmt.Sprintf("chat-%d-%d", n, i%10))
			}
		})
	}
	return group.Wait
}

func (f *canaryFleet) sendChat(ctx context.Context, sendRequest func(body []byte, chat string) error, chat string) {
	body, err := json.Marshal(hitchfake.ChatRequest{
		Model: string(f.Deployment.EngineRoute), Stream: true, MaxTokens: 20,
		Messages: []hitchfake.Message{{Role: "user", Content: "turtles of " + chat}},
	})
	qt.Check(f.t, err, qt.IsNil)
	f.chats.Add(1)
	if err := sendRequest(body, chat); err != nil {
		f.failed.Add(1)
		f.t.Logf("%s: %v", chat, err)
	}
}

// countEngines counts the engines that hold a version and no other, and the chats that
// they have received.
func (f *canaryFleet) countEngines(version string) (chats uint64, engines int) {
	for _, host := range f.Engines() {
		if versions := host.Engine.Models().Versions; len(versions) == 1 && versions[0] == (hitchfake.LoadedVersion{Name: version, Ready: true}) {
			chats, engines = chats+host.Engine.Records().Submitted, engines+1
		}
	}
	return chats, engines
}

func (f *canaryFleet) waitFor(description string, condition func() bool) {
	f.t.Helper()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	end := time.NewTimer(2 * time.Minute)
	defer end.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-end.C:
			f.t.Fatalf("timed out: %s", description)
		}
	}
}

// waitForEngines waits until a number of engines serve a version and receive chats.
func (f *canaryFleet) waitForEngines(version string, engines int) {
	f.t.Helper()
	f.waitFor(fmt.Sprintf("%d engines serve %s", engines, version), func() bool {
		_, n := f.countEngines(version)
		return n == engines
	})
	was, _ := f.countEngines(version)
	f.waitFor("engines receive chats for "+version, func() bool {
		now, _ := f.countEngines(version)
		return now > was
	})
}

// A new version is rolled out to one engine of four, then to two, and then rolled
// back. It receives chats at each step, and no chat fails meanwhile.
func TestCanaryAndRollBack(t *testing.T) {
	f := startCanaryFleet(t)
	limits := hitchconfig.Limits{LoadsPerMinute: 600}
	f.applyIntent(1, hitchconfig.Intent{Kind: hitchconfig.SetLimits, NewLimits: &limits})
	ctx, stop := context.WithCancel(t.Context())
	wait := f.startChats(ctx)
	f.applyIntent(2, hitchconfig.Intent{Kind: hitchconfig.AddModelVersion, Route: f.Deployment.EngineRoute, Versions: []hitchconfig.ModelVersion{{Name: "v2"}}})
	f.waitForEngines("v1", 4)
	f.setWeights(75, 25)
	f.waitForEngines("v2", 1)
	f.waitForEngines("v1", 3)
	f.waitFor("status shows the engine of v2", func() bool {
		status, err := f.Routers()[2].Operators().Status(t.Context())
		return err == nil && lo.CountBy(status.Endpoints, func(e hitchapi.EndpointStatus) bool { return e.Version == "v2" }) == 1
	})
	f.setWeights(50, 50)
	f.waitForEngines("v2", 2)
	f.setWeights(100, 0)
	f.waitForEngines("v1", 4)
	stop()
	wait()
	t.Logf("Chats=%d Failed=%d", f.chats.Load(), f.failed.Load())
	qt.Assert(t, f.failed.Load(), qt.Equals, int64(0), qt.Commentf("of %d chats", f.chats.Load()))
	qt.Assert(t, lo.SumBy(f.Engines(), func(h *hitchdev.EngineHost) int { return h.Engine.Records().Falls }), qt.Equals, 0)
}
