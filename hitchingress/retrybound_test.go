package hitchingress

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchbalance"
)

// TestRetriesInOverloadKeepFleetBound covers a short overload in which retries use up the
// budget. The fleet's bound compares those of each window with the requests of that window,
// of the one before it and of the one half a window before it.
func TestRetriesInOverloadKeepFleetBound(t *testing.T) {
	const (
		ratio, slack = 0.2, 4.0
		step         = 50 * time.Millisecond
		windowSteps  = int(10 * time.Second / step)
		quiet, busy  = 4, 18 // requests in a step
	)
	for name, length := range map[string]time.Duration{"5 s": 5 * time.Second, "7 s": 7 * time.Second, "8 s": 8 * time.Second, "10 s": 10 * time.Second, "12 s": 12 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &Gateway{Balancer: &hitchbalance.Balancer{}, RetryRatio: ratio, RetrySlack: slack}
				g.updateRetrySlack(time.Now(), 1)
				budget := &g.serviceState("s").retryBudget
				var requests, retries []int // by step
				for at := time.Duration(0); at < 60*time.Second; at += step {
					now, n := time.Now(), quiet
					if at >= 25*time.Second && at < 25*time.Second+length {
						n = busy
					}
					for range n {
						budget.RecordFirstAttempt(now)
					}
					taken := 0
					for at >= 26*time.Second && at < 28*time.Second+length && budget.TryRetry(now) { // the first requests fail late
						taken++
					}
					requests, retries = append(requests, n), append(retries, taken)
					time.Sleep(step)
				}
				count := func(list []int, from int) (n int) {
					for _, v := range list[from : from+windowSteps] {
						n += v
					}
					return n
				}
				for from := windowSteps; from+windowSteps <= len(retries); from++ {
					most := max(count(requests, from), count(requests, from-windowSteps/2), count(requests, from-windowSteps))
					allowed, got := ratio*float64(most)+slack, float64(count(retries, from))
					qt.Assert(t, got <= allowed, qt.IsTrue, qt.Commentf("%v retries from %s on, %v allowed", got, time.Duration(from)*step, allowed))
				}
			})
		})
	}
}
