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

// TestWaitForPrefill checks that the wait ends as soon as the prefill has completed or
// the caller has disconnected, and after a third of the request's time at the latest.
func TestWaitForPrefill(t *testing.T) {
	tests := map[string]struct {
		event   func(b *hitchbalance.Balancer, prefilling hitchbalance.Pick, cancel func())
		timeout time.Duration
		want    time.Duration
	}{
		"prefill completed":        {func(b *hitchbalance.Balancer, p hitchbalance.Pick, _ func()) { b.ObservePrefill(time.Now(), p) }, time.Minute, 100 * time.Millisecond},
		"caller disconnected":      {func(_ *hitchbalance.Balancer, _ hitchbalance.Pick, cancel func()) { cancel() }, time.Minute, 100 * time.Millisecond},
		"short timeout":            {func(*hitchbalance.Balancer, hitchbalance.Pick, func()) {}, 900 * time.Millisecond, 300 * time.Millisecond},
		"prefill doesn't complete": {func(*hitchbalance.Balancer, hitchbalance.Pick, func()) {}, time.Minute, maxPrefillWait},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var b hitchbalance.Balancer
				b.SetFleet(time.Now(), hitchbalance.Fleet{Endpoints: []hitchfleet.Endpoint{{ID: "e", Service: "s", Born: 1}}})
				request := hitchbalance.Request{Service: "s", Prompt: hitchbalance.Prompt{Parts: []hitchbalance.Part{{ID: 1, Tokens: 8000}, {ID: 2, Tokens: 500}}}}
				prefilling, _ := b.Pick(time.Now(), request)
				waiting, _ := b.Pick(time.Now(), request)
				qt.Assert(t, waiting.PendingPrefix != 0, qt.IsTrue)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				time.AfterFunc(100*time.Millisecond, func() { test.event(&b, prefilling, cancel) })
				req := &proxyRequest{effectiveDeadline: time.Now().Add(test.timeout)}
				(&Gateway{Balancer: &b}).waitForPrefill(ctx, req, waiting)
				qt.Assert(t, req.logEntry.prefillWaitUntil.Sub(req.logEntry.prefillWaitFrom), qt.Equals, test.want)
			})
		})
	}
}
