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
		calls   int
		heardAt []time.Duration
		runs    time.Duration
		last    linkAction
		echoes  int
	}{
		"no call is not tested":        {0, nil, 10 * time.Second, linkKeep, 0},
		"no call and no use":           {0, nil, linkIdleTimeout, linkIdle, 0},
		"a call on a silent link":      {1, nil, 2400 * time.Millisecond, linkSilent, 4},
		"a call before its first test": {1, nil, 700 * time.Millisecond, linkKeep, 0},
		"a long call on a live link":   {1, []time.Duration{900 * time.Millisecond, 1800 * time.Millisecond}, 2400 * time.Millisecond, linkKeep, 2},
		"many calls and no idling":     {3, nil, 700 * time.Millisecond, linkKeep, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := linkWatch{}.withHeard(start).withCalls(start, test.calls)
			var last linkAction
			echoes := 0
			for at := time.Duration(0); at <= test.runs && last != linkSilent; at += TickInterval {
				if slices.Contains(test.heardAt, at) {
					w = w.withHeard(start.Add(at))
				}
				w, last = w.update(start.Add(at))
				if last == linkEcho {
					echoes++
				}
			}
			qt.Assert(t, last, qt.Equals, test.last)
			qt.Assert(t, echoes, qt.Equals, test.echoes)
			qt.Assert(t, w.trusted(start.Add(time.Hour)), qt.IsFalse)
		})
	}
}
