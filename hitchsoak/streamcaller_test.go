package hitchsoak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

// newStreamCaller returns a caller that knows the given addresses and asks no directory.
func newStreamCaller(addrs ...string) *streamCaller {
	c := &streamCaller{caller: caller{seed: 9, fleet: &fleet{keys: []string{"key-0"}}, addrs: addrs, addrsExpireAt: time.Now().Add(time.Hour)}}
	c.client.Transport = &http.Transport{}
	return c
}

// instanceLog records the headers and bodies of the requests that simulated instances get.
type instanceLog struct {
	mu       sync.Mutex
	requests []string
}

// newInstance returns a server that passes requests to an engine, and closes each
// connection after a number of events unless it is 0.
func (l *instanceLog) newInstance(t *testing.T, name string, e *hitchstandin.Endpoint, events int) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.mu.Lock()
		l.requests = append(l.requests, strings.Join([]string{
			name, r.Header.Get("X-Attempt-Id"), r.Header.Get("Last-Event-Id"), r.Header.Get("Resumes"),
		}, " "))
		l.mu.Unlock()
		e.ServeHTTP(&cuttingWriter{ResponseWriter: w, events: events}, r)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// cuttingWriter aborts the response after a number of writes unless it is 0.
type cuttingWriter struct {
	http.ResponseWriter
	events int
}

func (w *cuttingWriter) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	_ = http.NewResponseController(w.ResponseWriter).Flush()
	if w.events--; w.events == 0 {
		panic(http.ErrAbortHandler)
	}
	return n, err
}

// Unwrap returns the writer for flushes.
func (w *cuttingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// TestStreamCallerTakesUpStreams checks that a stream that is cut, twice, is taken up at
// another instance each time, after the last event, and names its first attempt.
func TestStreamCallerTakesUpStreams(t *testing.T) {
	var log instanceLog
	e := &hitchstandin.Endpoint{ID: "e-0", Version: "v1", RunLog: &hitchstandin.RunLog{}}
	c := newStreamCaller(log.newInstance(t, "a", e, 2), log.newInstance(t, "b", e, 2))
	for n := range 4 {
		log.requests = nil
		s := c.runStream(context.Background(), rand.New(rand.NewPCG(uint64(n), 1)), n)
		origin := "9-" + strconv.FormatInt(int64(n), 10)
		qt.Assert(t, len(log.requests), qt.Equals, maxTries)
		events := 0
		for i, r := range log.requests {
			got := strings.Split(r, " ")
			if i == 0 {
				qt.Assert(t, got[1:], qt.DeepEquals, []string{origin, "", ""})
			} else {
				qt.Assert(t, got[1:], qt.DeepEquals, []string{origin + "-" + strconv.Itoa(i), strconv.Itoa(events), origin})
				qt.Assert(t, got[0] != strings.Split(log.requests[i-1], " ")[0], qt.IsTrue)
			}
			events += len(s.Tries[i].Events)
		}
		qt.Assert(t, checkPieces(s), qt.HasLen, 0)
	}
}

// TestStreamCallerDropsStreams checks that a caller drops some streams by its own choice,
// which is no failure, and completes them.
func TestStreamCallerDropsStreams(t *testing.T) {
	var log instanceLog
	e := &hitchstandin.Endpoint{ID: "e-0", Version: "v1", RunLog: &hitchstandin.RunLog{}}
	c := newStreamCaller(log.newInstance(t, "a", e, 0), log.newInstance(t, "b", e, 0))
	var mu sync.Mutex
	tries := make(map[int]int)
	var wg sync.WaitGroup
	for n := range 24 {
		wg.Go(func() {
			s := c.runStream(context.Background(), rand.New(rand.NewPCG(uint64(n), 1)), n)
			mu.Lock()
			defer mu.Unlock()
			tries[len(s.Tries)]++
			qt.Check(t, s.isComplete(), qt.IsTrue)
			qt.Check(t, checkPieces(s), qt.HasLen, 0)
			for i, try := range s.Tries {
				qt.Check(t, try.Err, qt.IsNil)
				qt.Check(t, try.IsDropped, qt.Equals, i < len(s.Tries)-1)
			}
		})
	}
	wg.Wait()
	qt.Assert(t, tries[1] > 0 && tries[2] > 0 && tries[3] > 0, qt.IsTrue, qt.Commentf("%v", tries))
}
