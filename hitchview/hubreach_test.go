package hitchview

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestGraceAfterOwnCutIsThatOfTheStore guards against requests to an endpoint that has left
// while an instance was cut off: entries that expired in an outage of the store are back soon
// after the store is, which a hub has reached before this instance does.
func TestGraceAfterOwnCutIsThatOfTheStore(t *testing.T) {
	type status struct {
		at          time.Duration
		addr        string
		isReachable bool
	}
	const step = 200 * time.Millisecond
	said := func(from, to time.Duration, addr string, isReachable bool) (list []status) {
		for at := from; at < to; at += step {
			list = append(list, status{at, addr, isReachable})
		}
		return list
	}
	const cutEnd, readAgain = 8 * time.Second, 9 * time.Second
	tests := map[string]struct {
		statuses [][]status
		want     time.Duration
	}{
		"no hub":                                {nil, readAgain + expiredGrace},
		"a hub reaches it after the cut":        {[][]status{said(cutEnd, readAgain, "a", true)}, cutEnd + expiredGrace},
		"before and after the cut":              {[][]status{said(0, 4*time.Second, "a", true), said(cutEnd, readAgain, "a", true)}, cutEnd + expiredGrace},
		"all the time":                          {[][]status{said(0, readAgain, "a", true)}, expiredGrace},
		"a hub that had it last before the cut": {[][]status{said(0, 4*time.Second, "a", true)}, readAgain + expiredGrace},
		"no hub reaches it":                     {[][]status{said(cutEnd, readAgain, "a", false)}, readAgain + expiredGrace},
		"a hub reaches it late":                 {[][]status{said(cutEnd, readAgain-step, "a", false), said(readAgain-step, readAgain, "a", true)}, readAgain - step + expiredGrace},
		"one of two hubs reaches it":            {[][]status{said(cutEnd, readAgain, "a", true), said(cutEnd, readAgain, "b", false)}, cutEnd + expiredGrace},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var health storeHealth
			var reach hubReach
			health.recordSuccess(start)
			health.recordFailure(start.Add(5 * time.Second))
			for _, list := range test.statuses {
				for _, s := range list {
					reach.record(start.Add(s.at), HubStatus{Addr: s.addr, IsStoreReachable: s.isReachable})
				}
			}
			now := start.Add(readAgain)
			health.recordSuccess(now)
			qt.Assert(t, health.keepExpiredUntil(now, reach.since(now)), qt.Equals, start.Add(test.want))
		})
	}
}
