package hitchsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

const (
	// lateCallInterval is the time between two requests of each kind to an instance that stops.
	lateCallInterval = 80 * time.Millisecond
	// lateFrom is from when on after the signal no request may be cut that was sent.
	lateFrom = 3 * time.Second
	// longStream is the path of streams of 6.4 s.
	longStream = "/stream/160x40/x"
)

// lateCall is a request, and how long after a time it was sent.
type lateCall struct {
	call
	sentAfter time.Duration
}

// sendTo sends a request to an instance, and returns it with the response.
func (f *killedFleet) sendTo(client *http.Client, instance int, path, attempt string, start time.Time) (out lateCall) {
	out = lateCall{call: call{Attempt: attempt, Path: path, Instance: f.addrs()[instance]}, sentAfter: time.Since(start)}
	ctx, cancel := context.WithTimeout(context.Background(), 2*callTimeout)
	defer cancel()
	c := caller{fleet: f.fleet}
	r, err := c.newRequest(ctx, rand.New(rand.NewPCG(1, 1)), out.call)
	qt.Check(f.t, err, qt.IsNil)
	res, err := client.Do(r)
	if err == nil {
		out.Err = out.readResponse(res, io.ReadAll)
		return out
	}
	out.Err = err
	return out
}

// sendUntil sends requests to the first instance until the end of its grace period, and returns
// them.
func (f *killedFleet) sendUntil(start time.Time) (out []lateCall) {
	var mu sync.Mutex
	var group sync.WaitGroup
	kept, unkept := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; time.Since(start) < hitchstandin.GracePeriod; n++ {
		for i, path := range []string{longStream, "/stream/100x25/x", "/booking/x", "/lookup/x"} {
			client := kept
			if n%2 == 1 {
				client = unkept
			}
			group.Go(func() {
				x := f.sendTo(client, 0, path, fmt.Sprintf("late-%d-%d", n, i), start)
				mu.Lock()
				defer mu.Unlock()
				out = append(out, x)
			})
		}
		time.Sleep(lateCallInterval)
	}
	group.Wait()
	return out
}

// TestLateRequestsInGraceAreNotCut guards against requests that an instance takes late in its grace
// period, passes on, and cuts without an answer at its end (rule LOST).
func TestLateRequestsInGraceAreNotCut(t *testing.T) {
	tests := map[string]struct{ isStoreAway, isSlow bool }{
		"calm":                              {false, false},
		"slow endpoints":                    {false, true},
		"named until the end":               {true, false},
		"named until the end, and all slow": {true, true},
	}
	seedOf := map[string]uint64{}
	for name := range tests {
		seedOf[name] = 330 + uint64(len(seedOf))
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := &killedFleet{fleet: &fleet{dir: t.TempDir()}, t: t}
			t.Cleanup(f.killInstances)
			qt.Assert(t, f.start(t.Context(), &Soak{Seed: seedOf[name], Program: os.Args[0]}), qt.IsNil)
			qt.Assert(t, f.await(20*time.Second, func() bool {
				return f.request(&killedStream{}, f.addrs()[0], fmt.Sprint("ready-", time.Now().UnixNano()), "/stream/2x10/x") == http.StatusOK
			}), qt.IsTrue)
			if test.isStoreAway { // its entry stays, so that callers are accepted until the end
				f.cutStore(2 * hitchstandin.GracePeriod)
			}
			start := time.Now()
			if test.isSlow {
				for _, e := range f.endpoints {
					e.SetSilentUntil(hitchstandin.SilentBeforeAnswer, start.Add(hitchstandin.GracePeriod+time.Second))
				}
			}
			ended := f.terminate(0, syscall.SIGTERM)
			calls := f.sendUntil(start)
			t.Cleanup(ended)
			served, refused := 0, 0
			for _, x := range calls {
				runs := f.runLog.Runs(x.Attempt)
				switch {
				case x.Err == nil && x.Status == http.StatusOK:
					served++
				case x.Err == nil && x.Status == http.StatusServiceUnavailable:
					refused++
					qt.Check(t, runs, qt.HasLen, 0, qt.Commentf("%+v", x))
				case x.Err == nil: // a final response
				case len(runs) == 0 && x.Status == 0: // it crossed the end of its connection
				case x.sentAfter <= lateFrom && x.Path == longStream: // it began while it could still end in time
				default:
					t.Errorf("cut: %+v, runs %v", x, runs)
				}
			}
			t.Log(len(calls), "calls,", served, "served,", refused, "refused")
			qt.Check(t, served > 20, qt.IsTrue)
		})
	}
}
