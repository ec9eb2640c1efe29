package hitchingress

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchbalance"
	"citronhitch.example/citronhitch/hitchfleet"
)

// TestARequestWaitsWhileItsPromptIsRead: it goes on at once when the prompt is read
// or the caller leaves, and never waits longer than a third of its time.
func TestARequestWaitsWhileItsPromptIsRead(t *testing.T) {
	tests := map[string]struct {
		after func(b *hitchbalance.Balancer, reader hitchbalance.Pick, cancel func())
		time  time.Duration
		want  time.Duration
	}{
		"the prompt is read": {func(b *hitchbalance.Balancer, p hitchbalance.Pick, _ func()) { b.Read(time.Now(), p) }, time.Minute, 100 * time.Millisecond},
		"the caller leaves":  {func(_ *hitchbalance.Balancer, _ hitchbalance.Pick, cancel func()) { cancel() }, time.Minute, 100 * time.Millisecond},
		"its time is short":  {func(*hitchbalance.Balancer, hitchbalance.Pick, func()) {}, 900 * time.Millisecond, 300 * time.Millisecond},
		"nothing happens":    {func(*hitchbalance.Balancer, hitchbalance.Pick, func()) {}, time.Minute, longestHold},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var b hitchbalance.Balancer
				b.SetFleet(time.Now(), hitchbalance.Fleet{Endpoints: []hitchfleet.Endpoint{{ID: "e", Service: "s", Born: 1}}})
				request := hitchbalance.Request{Service: "s", Prompt: hitchbalance.Prompt{Parts: []hitchbalance.Part{{ID: 1, Tokens: 8000}, {ID: 2, Tokens: 500}}}}
				reader, _ := b.Pick(time.Now(), request)
				waiting, _ := b.Pick(time.Now(), request)
				qt.Assert(t, waiting.Awaits != 0, qt.IsTrue)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				time.AfterFunc(100*time.Millisecond, func() { test.after(&b, reader, cancel) })
				j := &job{until: time.Now().Add(test.time)}
				(&Gateway{Balancer: &b}).hold(ctx, j, waiting)
				qt.Assert(t, j.entry.heldUntil.Sub(j.entry.heldFrom), qt.Equals, test.want)
			})
		})
	}
}
