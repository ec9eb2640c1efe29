package hitchsoak

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

// standstillPaths are those of requests that may run once at most, and of one that may be repeated.
var standstillPaths = []string{"/booking/x", "/booking/x", hitchstandin.OncePrefix + "x", hitchstandin.OncePrefix + "x", "/lookup/x"}

// TestInstanceThatStandsStillRunsRequestsOnce guards against second runs of requests whose instance stands still at
// a step of them and goes on, before or after their time is over (rule TWICE). No caller is told that a request
// that ran hasn't run.
func TestInstanceThatStandsStillRunsRequestsOnce(t *testing.T) {
	f := &killedFleet{fleet: &fleet{dir: t.TempDir(), variation: hitchstandin.Variation{AddsOnceRoute: true}}, t: t}
	t.Cleanup(f.killInstances)
	qt.Assert(t, f.start(t.Context(), &Soak{Seed: 340, Program: os.Args[0]}), qt.IsNil)
	for n, addr := range f.addrs() {
		qt.Assert(t, f.await(20*time.Second, func() bool {
			return f.request(&killedStream{}, addr, fmt.Sprintf("ready-%d-%d", n, time.Now().UnixNano()), "/stream/2x10/x") == http.StatusOK
		}), qt.IsTrue)
	}
	// A step is awaited for the third request of a case, a stream, whose run may be nil.
	read := func(*hitchstandin.Run) bool { return true }
	run := func(r *hitchstandin.Run) bool { return r != nil }
	const short, long = 400 * time.Millisecond, 4500 * time.Millisecond
	tests := map[string]struct {
		isReached func(run *hitchstandin.Run) bool
		length    time.Duration
		// isLost is set if endpoints close connections without a response meanwhile.
		isLost bool
	}{
		"before it reads":                 {read, short, false},
		"before it reads, too long":       {read, long, false},
		"endpoint runs":                   {run, short, false},
		"endpoint runs, too long":         {run, long, false},
		"endpoint runs, and is lost":      {run, short, true},
		"before it reads, and it is lost": {read, short, true},
		"first event":                     {func(r *hitchstandin.Run) bool { return r != nil && r.Events >= 1 }, short, false},
		"middle of a response":            {func(r *hitchstandin.Run) bool { return r != nil && r.Events >= 4 }, short, false},
		"endpoint has ended":              {func(r *hitchstandin.Run) bool { return r != nil && !r.EndedAt.IsZero() }, short, false},
	}
	n := 0
	for name, test := range tests {
		target := n % len(f.instances)
		n++
		t.Run(name, func(t *testing.T) {
			f.allowRetries(target, name)
			for _, e := range f.endpoints {
				e.SetDropResponses(test.isLost)
				defer e.SetDropResponses(false)
			}
			f.standStill(t, target, name, test.length, test.isReached)
		})
	}
}

// allowRetries sends requests to an instance, so that its retry budget allows some.
func (f *killedFleet) allowRetries(target int, name string) {
	var group sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 40}}
	for n := range 40 {
		path := standstillPaths[n%len(standstillPaths)]
		group.Go(func() {
			f.sendTo(client, target, path, fmt.Sprintf("%s-before-%d", strings.ReplaceAll(name, " ", "-"), n), time.Now())
		})
	}
	group.Wait()
}

// standStill sends requests to an instance, which stands still for a time once a step is reached.
func (f *killedFleet) standStill(t *testing.T, target int, name string, length time.Duration, isReached func(run *hitchstandin.Run) bool) {
	if strings.HasPrefix(name, "before it reads") {
		f.instances[target].signal(syscall.SIGSTOP)
	}
	attempt := func(n int) string { return fmt.Sprintf("%s-%d", strings.ReplaceAll(name, " ", "-"), n) }
	start := time.Now()
	calls := make([]lateCall, len(standstillPaths))
	var group sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	for i, path := range standstillPaths {
		group.Go(func() { calls[i] = f.sendTo(client, target, path, attempt(i), start) })
	}
	qt.Check(t, f.await(5*time.Second, func() bool { return isReached(f.runOf(attempt(2))) }), qt.IsTrue)
	f.instances[target].signal(syscall.SIGSTOP)
	time.Sleep(length)
	f.instances[target].signal(syscall.SIGCONT)
	group.Wait()
	time.Sleep(300 * time.Millisecond) // what was given up may still run
	for _, x := range calls {
		runs := f.runLog.Runs(x.Attempt)
		if x.Path != "/lookup/x" {
			qt.Check(t, len(runs) <= 1, qt.IsTrue, qt.Commentf("%s: %v", x.Attempt, runs))
		}
		if promisesNotRun(x.Status) {
			qt.Check(t, runs, qt.HasLen, 0, qt.Commentf("%+v", x))
		}
	}
}

// runOf returns the first run of an attempt, or nil.
func (f *killedFleet) runOf(attempt string) *hitchstandin.Run {
	if runs := f.runLog.Runs(attempt); len(runs) > 0 {
		return &runs[0]
	}
	return nil
}
