package hitchsoak

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestConfigurationsKeepNoMemory guards against instances that keep each configuration that they have applied, until they run
// out of memory (rule LOST).
func TestConfigurationsKeepNoMemory(t *testing.T) {
	const (
		versions, routes = 100, 6000 // 0.95 MB each
		interval         = 200 * time.Millisecond
		maxMegabytes     = 100
	)
	f := startEndlessFleet(t, 361, buildProgram(t))
	atStart := f.checkMemory(t)
	var list strings.Builder
	for n := range routes {
		fmt.Fprintf(&list, `{"name":"r%d","host":"h%d.example","pathPrefix":"/lookup/","kind":"idempotent","service":"shop","timeoutMs":3000,"maxAttempts":2,"targetLatencyMs":300},`, n, n)
	}
	cfg := strings.Replace(emptyLists, `"routes":[`, `"routes":[`+list.String(), 1)
	for n := range versions {
		f.store.Put("op/config", fmt.Appendf(nil, cfg, 1000+n))
		time.Sleep(interval)
	}
	peak := f.checkMemory(t)
	t.Logf("%d bytes, %d versions: %d MB at the start, then up to %d MB", len(cfg), versions, atStart, peak)
	qt.Check(t, peak < maxMegabytes, qt.IsTrue)
}
