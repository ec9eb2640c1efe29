package hitchsoak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchedge"
	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

// TestMain runs an instance in place of the tests if a fleet starts the test binary as its
// program.
func TestMain(m *testing.M) {
	if os.Getenv("RUN_PROGRAM") != "" {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
		defer stop()
		if os.Args[1] == "fake-endpoint" {
			_ = hitchstandin.RunProcess(ctx, os.Args[2])
			return
		}
		if err := hitchedge.Run(ctx, os.Args[3], hitchedge.Options{}, os.Stderr); err != nil {
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

const (
	// killedPath is that of streams of 4.8 s.
	killedPath = "/stream/120x40/x"
	// goOnWithin is how long after the restart streams are to go on.
	goOnWithin = 3 * time.Second
	// giveUpAfter is how long callers return after the restart.
	giveUpAfter = 5 * time.Second
)

// killedStream is a stream whose instance is killed. Its caller returns at any instance.
type killedStream struct {
	id string
	mu sync.Mutex
	// events are those that the caller has, and resumedAt is the time of the first one since
	// the last restart.
	events    []hitchstandin.Event
	resumedAt time.Time
}

// add adds an event, or returns false if it isn't the next one.
func (x *killedStream) add(e hitchstandin.Event) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.resumedAt.IsZero() {
		x.resumedAt = time.Now()
	}
	x.events = append(x.events, e)
	return e.ID == len(x.events)
}

// state returns the number of events, the versions that wrote them, and when the stream was
// last resumed.
func (x *killedStream) state() (events int, versions []string, resumedAt time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.events), versionsOf(streamTry{Events: x.events}), x.resumedAt
}

// killedFleet is a fleet of processes whose callers' streams are cut by kills of all of
// them.
type killedFleet struct {
	*fleet
	t       *testing.T
	streams []*killedStream
	callers sync.WaitGroup
}

// startKilledFleet starts 4 processes and 8 engines of two versions, and waits until each
// process serves.
func startKilledFleet(t *testing.T, seed uint64) *killedFleet {
	f := &killedFleet{fleet: &fleet{dir: t.TempDir()}, t: t}
	t.Cleanup(f.killInstances)
	qt.Assert(t, f.start(t.Context(), &Soak{Seed: seed, Program: os.Args[0], Variant: VariantVersions}), qt.IsNil)
	for n, addr := range f.addrs() {
		f.await(20*time.Second, func() bool {
			return f.request(&killedStream{}, addr, fmt.Sprintf("ready-%d-%d", n, time.Now().UnixNano()), "/stream/2x10/x") == http.StatusOK
		})
	}
	return f
}

// await waits until a condition is met, and reports whether it was in time.
func (f *killedFleet) await(timeout time.Duration, isMet func() bool) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if isMet() {
			return true
		}
	}
	return false
}

// request requests a stream, or the rest of it, and reads events until the response ends.
// It returns the status, or 0 without a response.
func (f *killedFleet) request(x *killedStream, addr, attempt, path string) (status int) {
	c := caller{fleet: f.fleet}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r, err := c.newRequest(ctx, rand.New(rand.NewPCG(1, 1)), call{Path: path, Instance: addr, Attempt: attempt})
	qt.Check(f.t, err, qt.IsNil)
	r.Close = true
	if events, _, _ := x.state(); events > 0 {
		r.Header.Set("Resumes", x.id)
		r.Header.Set("Last-Event-Id", strconv.Itoa(events))
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode == http.StatusOK {
		var t streamTry
		_ = t.readEvents(bufio.NewReader(res.Body), func() bool { return qt.Check(f.t, x.add(t.Events[len(t.Events)-1]), qt.IsTrue) })
	}
	return res.StatusCode
}

// begin begins n streams at all instances, and waits until they have run for a time.
func (f *killedFleet) begin(n int, runFor time.Duration) {
	for i := range n {
		x := &killedStream{id: fmt.Sprintf("stream-%d", i)}
		f.streams = append(f.streams, x)
		f.callers.Go(func() { f.request(x, f.addrs()[i%len(f.instances)], x.id, killedPath) })
	}
	qt.Assert(f.t, f.await(5*time.Second, func() bool { return f.count(func(*killedStream) bool { return true }) == n }), qt.IsTrue)
	time.Sleep(runFor)
}

// count returns the number of streams with events since the last restart for which a
// condition is met.
func (f *killedFleet) count(isMet func(*killedStream) bool) (n int) {
	for _, x := range f.streams {
		if _, _, resumedAt := x.state(); !resumedAt.IsZero() && isMet(x) {
			n++
		}
	}
	return n
}

// resume has the callers return at any instance until their streams go on, or until
// giveUpAfter after a time. A refusal must be one of a request that wasn't run.
func (f *killedFleet) resume(name string, from time.Time) {
	for i, x := range f.streams {
		rng := rand.New(rand.NewPCG(uint64(i), 7))
		x.resumedAt = time.Time{}
		f.callers.Go(func() {
			for try := 0; time.Since(from) < giveUpAfter; try++ {
				attempt := fmt.Sprintf("%s-%s-%d", x.id, name, try)
				switch f.request(x, f.addrs()[rng.IntN(len(f.instances))], attempt, killedPath) {
				case http.StatusOK:
					return
				case http.StatusServiceUnavailable:
					qt.Check(f.t, f.runLog.Runs(attempt), qt.HasLen, 0)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
}

// removeVersion takes the engines of a version out of the store and ends them.
func (f *killedFleet) removeVersion(version string) {
	for n := range engineSlots {
		if e := f.engines.present(n); e.Version == version {
			f.engines.remove(e)
			e.end()
		}
	}
}

// cutStore makes the store unreachable for a time.
func (f *killedFleet) cutStore(length time.Duration) {
	for _, i := range f.instances {
		i.storeRelay.Pause()
		time.AfterFunc(length, i.storeRelay.Resume)
	}
}

// TestStreamsGoOnAfterKillOfAll covers the loss of all instances at the same time while two
// versions serve, when no instance remembers which version began a stream. The streams go
// on soon, none at another version, and returns that can't are refused as not run.
func TestStreamsGoOnAfterKillOfAll(t *testing.T) {
	const streams = 32
	tests := map[string]struct {
		runFor time.Duration
		kills  int
		// gone is the version whose engines leave just before the kill, and storeAwayFor is
		// how long the store can't be reached from the restart on.
		gone         string
		storeAwayFor time.Duration
		// minShare is the least share of the streams of versions in service that go on within
		// goOnWithin of the restart, or of the return of the store.
		minShare float64
	}{
		"both versions in service":         {1500 * time.Millisecond, 1, "", 0, 0.9},
		"the old version has just gone":    {1500 * time.Millisecond, 1, "v1", 0, 0.9},
		"the store is away at the restart": {1500 * time.Millisecond, 1, "", 1500 * time.Millisecond, 0.9},
		"two kills":                        {1500 * time.Millisecond, 2, "", 0, 0.9},
		"killed before they are recorded":  {0, 1, "", 0, 0},
	}
	seed := uint64(100)
	for name, test := range tests {
		seed += 2 // even: two versions
		t.Run(name, func(t *testing.T) {
			f := startKilledFleet(t, seed)
			f.begin(streams, test.runFor)
			if test.gone != "" {
				f.removeVersion(test.gone)
			}
			for kill := range test.kills {
				restart := f.killAll()
				f.callers.Wait()
				time.Sleep(300 * time.Millisecond)
				f.cutStore(test.storeAwayFor)
				restart()
				from := time.Now().Add(test.storeAwayFor)
				f.resume(fmt.Sprint("kill", kill), from)
				f.check(from, test.gone, test.minShare)
				if kill+1 < test.kills {
					time.Sleep(time.Second) // until what goes on is recorded again
				}
			}
			f.callers.Wait()
			for _, x := range f.streams {
				_, versions, _ := x.state()
				qt.Check(t, versions, qt.HasLen, 1, qt.Commentf("%s", x.id))
			}
			qt.Check(t, f.processViolations(), qt.HasLen, 0)
		})
	}
}

// check checks which share of the streams whose version is in service goes on in time.
func (f *killedFleet) check(from time.Time, gone string, minShare float64) {
	isOwed := func(x *killedStream) bool {
		_, versions, _ := x.state()
		return versions[0] != gone
	}
	owed := 0
	for _, x := range f.streams {
		if isOwed(x) {
			owed++
		}
	}
	isMet := f.await(time.Until(from.Add(goOnWithin)), func() bool { return float64(f.count(isOwed)) >= minShare*float64(owed) })
	f.t.Logf("%d of %d streams went on within %.2f s", f.count(isOwed), owed, time.Since(from).Seconds())
	qt.Check(f.t, isMet, qt.IsTrue)
}
