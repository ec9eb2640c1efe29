package hitchrecent

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var limits = Limits{Seconds: 60, Size: 10}

func TestEntriesAreKeptForOneToTwoLengths(t *testing.T) {
	start := time.Now()
	tests := map[string]struct {
		addedAt, at time.Duration
		want        bool
	}{
		"just added":                 {0, 0, true},
		"added first, a length ago":  {0, time.Minute, true},
		"added first, two ago":       {0, 2 * time.Minute, false},
		"added last, a length ago":   {59 * time.Second, 119 * time.Second, true},
		"added last, two ago":        {59 * time.Second, 179 * time.Second, false},
		"not asked for in very long": {0, time.Hour, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var m Map[string, int]
			m.Add(start, limits, "first", 1)
			m.Add(start.Add(test.addedAt), limits, "a", 2)
			m.Expire(start.Add(test.at), limits)
			value, ok := m.Get("a")
			qt.Assert(t, ok, qt.Equals, test.want)
			qt.Assert(t, value == 2, qt.Equals, test.want)
		})
	}
}

func TestSizeIsBounded(t *testing.T) {
	var m Map[int, int]
	now := time.Now()
	for n := range 1000 {
		m.Add(now, limits, n, n)
		_, ok := m.Get(n)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, m.Len() <= 2*limits.Size, qt.IsTrue)
	}
	sum := 0
	m.Each(func(int) { sum++ })
	qt.Assert(t, sum, qt.Equals, m.Len())
}
