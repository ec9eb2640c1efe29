package hitchedge

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchpath"
)

// TestInstancesCutOffFromEndpointsServe guards against instances whose network path to all
// endpoints is cut, so that their callers are refused while others are served (rule RECOVER).
func TestInstancesCutOffFromEndpointsServe(t *testing.T) {
	const contactTime = 3 * time.Second
	tests := map[string]cutKind{
		"hanging": hanging, "reset": reset, "refused": refused, "reset and refused": resetAndRefused,
		"accepted and hanging": acceptedHanging, "new ones hanging": newHanging, "accepted and reset": acceptedReset, "reset at once": resetAtOnce,
	}
	for name, kind := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startPathFleet(t, 5, 6)
			f.callUntil(time.Now().Add(time.Second), "before")
			cut := []int{0, 3}
			for _, n := range cut {
				f.paths[n].cut(kind, contactTime+5*time.Second)
			}
			f.callUntil(time.Now().Add(contactTime), "contact")
			calls := f.callUntil(time.Now().Add(4*time.Second), "cut")
			for n, c := range calls {
				t.Logf("instance %d: %d of %d served: %v", n, c.served, c.sent, c.outcomes)
				qt.Check(t, 50*c.served >= 49*c.sent, qt.IsTrue)
				qt.Check(t, f.countCrashes(n), qt.Equals, 0)
			}
		})
	}
}

// TestCallersGoElsewhereAndComeBack covers what follows a cut: directories omit the instance,
// and once its path works again, requests return to it.
func TestCallersGoElsewhereAndComeBack(t *testing.T) {
	t.Parallel()
	f := startPathFleet(t, 4, 6)
	f.paths[0].cut(hanging, 5*time.Second)
	f.callUntil(time.Now().Add(3*time.Second), "cut")
	qt.Assert(t, f.states(), qt.DeepEquals, []hitchpath.State{hitchpath.CutOff, hitchpath.InTouch, hitchpath.InTouch, hitchpath.InTouch})
	for n, e := range f.edges {
		addrs, _ := e.directoryAddrs("r", "a")
		qt.Check(t, addrs, qt.Not(qt.Contains), f.edges[0].Settings.Self.Addr, qt.Commentf("directory of instance %d", n))
		qt.Check(t, addrs, qt.HasLen, 3)
	}
	f.callUntil(time.Now().Add(4*time.Second), "back")
	qt.Assert(t, f.states()[0], qt.Equals, hitchpath.Returning)
	f.callUntil(time.Now().Add(4*time.Second), "after")
	qt.Assert(t, f.states()[0], qt.Equals, hitchpath.InTouch)
	addrs, _ := f.edges[1].directoryAddrs("r", "a")
	qt.Check(t, addrs, qt.HasLen, 4)
	for _, change := range f.edges[0].balancer.TakeHealthChanges() {
		qt.Check(t, change.Failures, qt.Equals, 0)
	}
}

// TestStreamsGoOnThroughOthers covers long streams that are open when the path is cut: each
// reaches its caller whole, once.
func TestStreamsGoOnThroughOthers(t *testing.T) {
	for name, kind := range map[string]cutKind{
		"hanging": hanging, "reset": reset, "refused": refused,
		"accepted and hanging": acceptedHanging, "new ones hanging": newHanging, "accepted and reset": acceptedReset,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startPathFleet(t, 4, 6)
			f.callUntil(time.Now().Add(500*time.Millisecond), "before")
			var callers sync.WaitGroup
			for n := range 8 {
				callers.Go(func() {
					got := f.call(http.DefaultClient, 0, "/stream/60x25/x", fmt.Sprint("long-", n))
					qt.Check(t, got, qt.Equals, "served")
				})
			}
			time.Sleep(400 * time.Millisecond)
			f.paths[0].cut(kind, 4*time.Second)
			callers.Wait()
		})
	}
}

// TestPlannedStopAwaitsRelayedRequests covers a stream that an instance serves for another one
// that is cut off: a shutdown waits for its end, although no caller's connection is open.
func TestPlannedStopAwaitsRelayedRequests(t *testing.T) {
	t.Parallel()
	f := startPathFleet(t, 2, 3)
	f.paths[0].cut(hanging, 8*time.Second)
	f.callUntil(time.Now().Add(2*time.Second), "cut")
	served := make(chan string)
	go func() { served <- f.call(http.DefaultClient, 0, "/stream/60x25/x", "long") }()
	time.Sleep(400 * time.Millisecond)
	relay := f.edges[1]
	qt.Assert(t, relay.gateway.InFlight(), qt.Equals, 1)
	relay.awaitRelayed(time.Now().Add(4 * time.Second))
	qt.Assert(t, relay.gateway.InFlight(), qt.Equals, 0)
	qt.Assert(t, <-served, qt.Equals, "served")
}

// TestAllEndpointsDownIsNoCut guards against relays in a fleet whose endpoints are down: no
// instance reaches them, and requests would go in vain through another one.
func TestAllEndpointsDownIsNoCut(t *testing.T) {
	for name, kind := range map[string]cutKind{"refused": resetAndRefused, "silent": acceptedHanging, "reset": acceptedReset} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startPathFleet(t, 3, 3)
			for _, p := range f.paths {
				p.cut(kind, 4*time.Second)
			}
			f.callUntil(time.Now().Add(3*time.Second), "down")
			for _, s := range f.states() {
				qt.Check(t, s, qt.Not(qt.Equals), hitchpath.CutOff)
			}
		})
	}
}

// TestSecondOfSilenceIsNoCut guards against endpoints that are silent for a second at all instances
// being taken for a broken path.
func TestSecondOfSilenceIsNoCut(t *testing.T) {
	t.Parallel()
	f := startPathFleet(t, 3, 3)
	f.callUntil(time.Now().Add(time.Second), "before")
	for _, p := range f.paths {
		p.cut(acceptedHanging, time.Second)
	}
	for range 30 {
		f.callUntil(time.Now().Add(50*time.Millisecond), "silent")
		for _, s := range f.states() {
			qt.Check(t, s, qt.Not(qt.Equals), hitchpath.CutOff)
		}
	}
}

// TestRelayedRequestsAreThoseOfMembers checks that requests of others aren't taken for relayed
// ones, and that an instance that is cut off itself refuses them, as not run.
func TestRelayedRequestsAreThoseOfMembers(t *testing.T) {
	t.Parallel()
	f := startPathFleet(t, 3, 3)
	f.paths[2].cut(hanging, 4*time.Second)
	f.callUntil(time.Now().Add(2*time.Second), "cut")
	tests := map[string]struct {
		from, attempts string
		to             int
		want           int
		refusal        string
	}{
		"from an instance":             {"edge-0", "2", 1, http.StatusOK, ""},
		"from nobody that is known":    {"edge-9", "2", 1, http.StatusForbidden, "Stale"},
		"without a number of attempts": {"edge-0", "", 1, http.StatusForbidden, "Stale"},
		"to one that is cut off":       {"edge-0", "2", 2, http.StatusServiceUnavailable, "Leaving"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r, _ := http.NewRequest(http.MethodPost, "http://"+f.edges[test.to].Settings.Self.PeerAddr+"/lookup/x", strings.NewReader("body"))
			r.Host = "h.example"
			r.Header = http.Header{"X-Attempt-Id": {name}, "Api-Key": {"k"}, "Citronhitch-Relayed-By": {test.from}, "Citronhitch-Attempts": {test.attempts}}
			res, err := http.DefaultClient.Do(r)
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = res.Body.Close() }()
			qt.Check(t, res.StatusCode, qt.Equals, test.want)
			qt.Check(t, res.Header.Get("Citronhitch-Refusal"), qt.Equals, test.refusal)
		})
	}
}

// randomCut is one cut of a random test.
type randomCut struct {
	instance       int
	kind           cutKind
	begin, release time.Duration
}

// newRandomCuts returns cuts of a number of instances at a time, or of all but one.
func newRandomCuts(rng *rand.Rand, instances int, length time.Duration) (cuts []randomCut) {
	for begin := time.Duration(0); begin < length-4*time.Second; begin += 6 * time.Second {
		count := 1 + rng.IntN(instances-1)
		for _, n := range rng.Perm(instances)[:count] {
			at := begin + time.Duration(rng.Int64N(int64(time.Second)))
			cuts = append(cuts, randomCut{n, cutKind(rng.IntN(int(cutKindCount))), at, at + time.Second + time.Duration(rng.Int64N(int64(6*time.Second)))})
		}
	}
	return cuts
}

// TestRandomCuts plays random cuts, which overlap: each caller gets its own whole answer, no
// booking runs twice or is refused as not run after it has run, and all is served in the end.
func TestRandomCuts(t *testing.T) {
	t.Parallel()
	seed := testSeed(t)
	rng := rand.New(rand.NewPCG(seed, 12))
	const length = 20 * time.Second
	f := startPathFleet(t, 5, 4)
	f.callUntil(time.Now().Add(time.Second), "before")
	for _, cut := range newRandomCuts(rng, len(f.edges), length) {
		time.AfterFunc(cut.begin, func() { f.paths[cut.instance].cut(cut.kind, cut.release-cut.begin) })
	}
	calls := f.callUntil(time.Now().Add(length), "cuts")
	for n, c := range calls {
		t.Logf("seed %d, instance %d: %d of %d served: %v", seed, n, c.served, c.sent, c.outcomes)
		qt.Check(t, c.outcomes["wrong answer"]+c.outcomes["wrong stream"], qt.Equals, 0)
		qt.Check(t, c.outcomes["ran twice"]+c.outcomes["refused although it ran"], qt.Equals, 0)
	}
	time.Sleep(6 * time.Second)
	for n, c := range f.callUntil(time.Now().Add(2*time.Second), "after") {
		qt.Check(t, c.served, qt.Equals, c.sent, qt.Commentf("seed %d, instance %d: %v", seed, n, c.outcomes))
	}
}

// testSeed returns the seed of random tests: that of the environment, or 1.
func testSeed(t *testing.T) uint64 {
	text, ok := os.LookupEnv("CITRONHITCH_SEED")
	if !ok {
		return 1
	}
	seed, err := strconv.ParseUint(text, 10, 64)
	qt.Assert(t, err, qt.IsNil)
	return seed
}
