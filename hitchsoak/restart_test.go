package hitchsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// emptyLists is a configuration with an empty list of organisations, and with a route that has no service.
const emptyLists = `{"version":%d,"routes":[{"name":"lookup","host":"soak.example","pathPrefix":"/lookup/","kind":"idempotent","service":"shop","timeoutMs":3000,"maxAttempts":2},
{"name":"none","host":"soak.example","pathPrefix":"/none/","kind":"idempotent","service":"","trafficSplit":[],"timeoutMs":3000,"public":true}],"services":[{"name":"shop"}],"limits":{},"tenants":[]}`

// statusOf sends a lookup with a key, or without one, to an instance, and returns the status, or 0 without a response.
func (f *killedFleet) statusOf(instance int, path, key string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	c := caller{fleet: f.fleet}
	attempt := fmt.Sprintf("key-%d", time.Now().UnixNano())
	r, err := c.newRequest(ctx, rand.New(rand.NewPCG(1, 1)), call{Path: path, Instance: f.addrs()[instance], Attempt: attempt})
	qt.Check(f.t, err, qt.IsNil)
	r.Header.Del("Api-Key")
	if key != "" {
		r.Header.Set("Api-Key", key)
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusOK {
		qt.Check(f.t, f.runLog.Runs(attempt), qt.HasLen, 0)
	}
	return res.StatusCode
}

// TestEmptyListsStayClosedAfterRestart guards against routes that a restarted instance opens (rule ROUTE): it reads an empty list of
// organisations from other instances, as the store is away. A route without a service is refused at once.
func TestEmptyListsStayClosedAfterRestart(t *testing.T) {
	f := &killedFleet{fleet: &fleet{dir: t.TempDir()}, t: t}
	t.Cleanup(f.killInstances)
	qt.Assert(t, f.start(t.Context(), &Soak{Seed: 370, Program: os.Args[0], Instances: 3}), qt.IsNil)
	for n := range f.instances {
		qt.Assert(t, f.await(20*time.Second, func() bool { return f.statusOf(n, "/lookup/x", f.keys[0]) == http.StatusOK }), qt.IsTrue)
	}
	f.store.Put("op/config", fmt.Appendf(nil, emptyLists, 1000))
	closed := func(n int) bool { return f.statusOf(n, "/lookup/x", f.keys[0]) == http.StatusUnauthorized }
	for n := range f.instances {
		qt.Assert(t, f.await(5*time.Second, func() bool { return closed(n) }), qt.IsTrue)
	}
	const away = 30 * time.Second
	f.cutStore(away)
	for n, i := range f.instances { // seeds, which start by the store, and one that starts by the seeds
		i.signal(syscall.SIGKILL)
		_ = i.cmd.Wait()
		qt.Assert(t, i.start(), qt.IsNil)
		qt.Check(t, f.await(8*time.Second, func() bool { return closed(n) }), qt.IsTrue, qt.Commentf("instance %d", n))
		for _, key := range []string{f.keys[0], "unknown", ""} {
			qt.Check(t, f.statusOf(n, "/lookup/x", key), qt.Equals, http.StatusUnauthorized, qt.Commentf("instance %d, key %q", n, key))
		}
		begun := time.Now()
		qt.Check(t, f.statusOf(n, "/none/x", ""), qt.Equals, http.StatusServiceUnavailable)
		qt.Check(t, time.Since(begun) < time.Second, qt.IsTrue)
	}
}
