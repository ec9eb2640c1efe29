package hitchsoak

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

func TestQuotaPlan(t *testing.T) {
	const length = 40 * time.Second
	qt.Assert(t, newQuotaPlan(7, length, 4), qt.DeepEquals, newQuotaPlan(7, length, 4))
	kinds := make(map[FaultKind]int)
	for seed := range uint64(40) {
		for _, f := range newQuotaPlan(seed, length, 4) {
			kinds[f.Kind]++
			qt.Assert(t, f.Begin >= faultFreeStart && f.End <= length-faultFreeEnd, qt.IsTrue, qt.Commentf("seed %d: %s", seed, f))
			if f.Kind == NameQuota {
				qt.Assert(t, quotaOf(f) >= minQuotaPerSecond && quotaOf(f) <= maxQuotaPerSecond, qt.IsTrue)
			}
		}
	}
	for _, kind := range append([]FaultKind{NameQuota, KillAllInstances}, quotaPlanKinds...) {
		qt.Assert(t, kinds[kind] > 0, qt.IsTrue, qt.Commentf("%s", kind))
	}
}

// TestMostWithin checks that any span of the window's length counts.
func TestMostWithin(t *testing.T) {
	start := time.Now()
	tests := map[string]struct {
		seconds []float64
		want    int
	}{
		"none":              {nil, 0},
		"one":               {[]float64{1}, 1},
		"just outside":      {[]float64{0, 4}, 1},
		"across the second": {[]float64{0, 3, 3.5, 4.5, 6.9, 7}, 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var times []time.Time
			for _, s := range test.seconds {
				times = append(times, start.Add(time.Duration(s*float64(time.Second))))
			}
			qt.Assert(t, mostWithin(times, quotaWindow), qt.Equals, test.want)
		})
	}
}

// TestCheckQuotas checks which requests count: those of undisturbed instances, from the
// contact time after the quota was first named.
func TestCheckQuotas(t *testing.T) {
	c := &checker{start: time.Now(), addrs: []string{"x"}}
	var log hitchstandin.QuotaLog
	log.Begin("e-0", 1)
	violations, note := c.checkQuotas(nil, &log)
	qt.Assert(t, violations, qt.HasLen, 0)
	qt.Assert(t, note, qt.Equals, "Quotas=1 Counted=0")
}
