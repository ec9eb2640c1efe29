package hitchplace

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSetEvictionAge(t *testing.T) {
	now := time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
	tests := map[string]struct {
		seconds float64
		want    time.Time
		ok      bool
	}{
		"positive":     {90, now.Add(-90 * time.Second), true},
		"zero":         {0, time.Time{}, false},
		"negative":     {-1, time.Time{}, false},
		"not a number": {math.NaN(), time.Time{}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var evictions EvictionTracker
			evictions.SetEvictionAge("engine", test.seconds)
			cutoff, ok := evictions.EvictionCutoff(now, "engine")
			qt.Assert(t, ok, qt.Equals, test.ok)
			qt.Assert(t, cutoff, qt.Equals, test.want)
			_, ok = evictions.EvictionAge("engine")
			qt.Assert(t, ok, qt.Equals, test.ok)
		})
	}
}
