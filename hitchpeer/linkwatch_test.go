package hitchpeer

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestLinkWatch(t *testing.T) {
	start := time.Unix(simStart, 0)
	tests := map[string]struct {
		calls      int
		receivedAt []time.Duration
		duration   time.Duration
		lastAction linkAction
		echoes     int
	}{
		"no calls, no echo":                {0, nil, 10 * time.Second, linkNoAction, 0},
		"no calls, idle timeout":           {0, nil, linkIdleTimeout, linkIdle, 0},
		"a call on an unresponsive link":   {1, nil, 2400 * time.Millisecond, linkUnresponsive, 4},
		"a call before its first echo":     {1, nil, 700 * time.Millisecond, linkNoAction, 0},
		"a long call on a responsive link": {1, []time.Duration{900 * time.Millisecond, 1800 * time.Millisecond}, 2400 * time.Millisecond, linkNoAction, 2},
		"several calls, not idle":          {3, nil, 700 * time.Millisecond, linkNoAction, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := linkWatch{}.withReceived(start).withCalls(start, test.calls)
			var lastAction linkAction
			echoes := 0
			for at := time.Duration(0); at <= test.duration && lastAction != linkUnresponsive; at += TickInterval {
				if slices.Contains(test.receivedAt, at) {
					w = w.withReceived(start.Add(at))
				}
				w, lastAction = w.update(start.Add(at))
				if lastAction == linkEcho {
					echoes++
				}
			}
			qt.Assert(t, lastAction, qt.Equals, test.lastAction)
			qt.Assert(t, echoes, qt.Equals, test.echoes)
			qt.Assert(t, w.isTrusted(start.Add(time.Hour)), qt.IsFalse)
		})
	}
}
