package hitchingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchroute"
	"citronhitch.example/citronhitch/hitchview"
)

// pause is a step of a script in which the endpoint sends nothing.
type pause time.Duration

// hang is a step in which the endpoint sends nothing until its connection is closed.
type hang struct{}

// scriptedBackend is an endpoint that responds to each request by the steps of a
// script: bytes to send, a pause or a hang. After the last step it closes the
// connection.
type scriptedBackend struct {
	backend
	// closedEarly counts the connections that the gateway closed before the last step.
	closedEarly atomic.Int64
}

func startScriptedBackend(t *testing.T, steps ...any) *scriptedBackend {
	b := &scriptedBackend{}
	b.addr = listen(t, func(conn net.Conn) { b.play(conn, steps) })
	return b
}

func (b *scriptedBackend) play(conn net.Conn, steps []any) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	b.lastEventID.Store(r.Header.Get("Last-Event-Id"))
	b.requests.Add(1)
	closed := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, conn)
		close(closed)
	}()
	for _, step := range steps {
		var until <-chan time.Time
		switch step := step.(type) {
		case string:
			_, _ = io.WriteString(conn, strings.ReplaceAll(step, "{id}", r.Header.Get("Id")))
			continue
		case pause:
			until = time.After(time.Duration(step))
		case hang:
		}
		select {
		case <-until:
		case <-closed:
			b.closedEarly.Add(1)
			return
		}
	}
}

// chunk returns one chunk of a chunked body.
func chunk(body string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(body), body) }

const (
	chunkedHead = streamHead + "Transfer-Encoding: chunked\r\n\r\n"
	chunkedEnd  = "0\r\n\r\n"
)

// silentThenGoesOn is longer than the timeout between two events, and shorter than what
// callers bear.
const silentThenGoesOn = pause(1700 * time.Millisecond)

// TestStreamOfSilentEndpointIsNotCut covers a sound endpoint that sends nothing for more
// than a second in the middle of a stream and then goes on, while the request can't go on
// anywhere else.
func TestStreamOfSilentEndpointIsNotCut(t *testing.T) {
	silentInStream := []any{chunkedHead + chunk(events12), silentThenGoesOn, chunk(events34) + chunkedEnd}
	tests := map[string]struct {
		first  []any
		others [][]any
	}{
		"no other endpoint":              {silentInStream, nil},
		"the other refuses":              {silentInStream, [][]any{{notRunResponse}}},
		"all others refuse":              {silentInStream, [][]any{{notRunResponse}, {notRunResponse}, {notRunResponse}, {notRunResponse}}},
		"the other closes":               {silentInStream, [][]any{{}}},
		"the other fails":                {silentInStream, [][]any{{failedResponse}}},
		"the other's answer isn't whole": {silentInStream, [][]any{{otherRequestResponse}}},
		"the other refuses late":         {silentInStream, [][]any{{pause(400 * time.Millisecond), notRunResponse}}},
		"the other hangs":                {silentInStream, [][]any{{hang{}}}},
		"two others hang":                {silentInStream, [][]any{{hang{}}, {hang{}}}},
		"silent inside an event": {
			[]any{chunkedHead + chunk(events12+"id: 3\nda"), silentThenGoesOn, chunk("ta: c\n\nid: 4\ndata: d\n\n") + chunkedEnd},
			[][]any{{notRunResponse}},
		},
		"silent twice": {
			[]any{chunkedHead + chunk(events12), silentThenGoesOn, chunk("id: 3\ndata: c\n\n"), silentThenGoesOn, chunk("id: 4\ndata: d\n\n") + chunkedEnd},
			[][]any{{notRunResponse}},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backends := []*backend{&startScriptedBackend(t, test.first...).backend}
			for _, steps := range test.others {
				backends = append(backends, &startScriptedBackend(t, steps...).backend)
			}
			_, body, _, err := send(t, startGateway(t, resumableRoute, backends...), "k")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, body, qt.Equals, events12+events34)
		})
	}
}

// resumableRoute is a route whose streams may go on at another endpoint.
var resumableRoute = hitchroute.Route{
	Kind: hitchroute.Streaming, IsResumable: true, MaxAttempts: 3, GapMilliseconds: 400, ObjectiveMilliseconds: 600, TimeoutMilliseconds: 15_000,
}

// TestStreamOfSilentEndpointOutlastsChange covers a change of the configuration that
// takes the other endpoints, or the whole service, away while a stream is silent.
func TestStreamOfSilentEndpointOutlastsChange(t *testing.T) {
	first := startScriptedBackend(t, chunkedHead+chunk(events12), silentThenGoesOn, chunk(events34)+chunkedEnd)
	second := startScriptedBackend(t, hang{})
	server := startGateway(t, resumableRoute, &first.backend, &second.backend)
	g := server.Config.Handler.(*Gateway)
	time.AfterFunc(500*time.Millisecond, func() {
		view := g.View()
		for _, id := range []hitchfleet.EndpointID{"e0", "e1"} {
			view = view.Update(hitchview.EndpointRemovedMsg{Revision: view.Revision + 1, ID: id})
		}
		view = view.Update(hitchview.TableMsg{Revision: view.Revision + 1, Table: hitchroute.NewTable(hitchroute.Config{Version: 4})})
		g.SetView(time.Now(), view)
	})
	_, body, _, err := send(t, server, "k")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, body, qt.Equals, events12+events34)
}

// TestAnswerOfSilentEndpointIsNotGivenUp covers a sound endpoint that is silent before
// the first byte of its response, while no other endpoint accepts the request.
func TestAnswerOfSilentEndpointIsNotGivenUp(t *testing.T) {
	late := []any{silentThenGoesOn, okResponse}
	route := hitchroute.Route{Kind: hitchroute.Idempotent, MaxAttempts: 3, ObjectiveMilliseconds: 150}
	tests := map[string][][]any{
		"no other endpoint": nil,
		"the other refuses": {{notRunResponse}},
		"the other closes":  {{}},
		"the others fail":   {{failedResponse}, {}},
		"the other hangs":   {{hang{}}},
	}
	for name, others := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backends := []*backend{&startScriptedBackend(t, late...).backend}
			for _, steps := range others {
				backends = append(backends, &startScriptedBackend(t, steps...).backend)
			}
			status, body, _, err := send(t, startGateway(t, route, backends...), "k")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, status, qt.Equals, http.StatusOK)
			qt.Assert(t, body, qt.Equals, "ok")
		})
	}
}

// TestSilentStreamGoesOnElsewhere covers an endpoint that stays silent: the stream goes on
// at another one, and the silent one is told soon that its work isn't needed any more.
func TestSilentStreamGoesOnElsewhere(t *testing.T) {
	tests := map[string]struct {
		first, second []any
		want          time.Duration // the latest end of the stream
	}{
		"in the middle":                 {[]any{chunkedHead + chunk(events12), hang{}}, []any{chunkedHead + chunk(events34) + chunkedEnd}, 2 * time.Second},
		"the other needs a while":       {[]any{chunkedHead + chunk(events12), hang{}}, []any{pause(600 * time.Millisecond), chunkedHead + chunk(events34) + chunkedEnd}, 2500 * time.Millisecond},
		"before the first event":        {[]any{hang{}}, []any{chunkedHead + chunk(events12+events34) + chunkedEnd}, 1500 * time.Millisecond},
		"after the head of the stream":  {[]any{chunkedHead, hang{}}, []any{chunkedHead + chunk(events12+events34) + chunkedEnd}, 2 * time.Second},
		"in an event":                   {[]any{chunkedHead + chunk(events12+"id: 3\nda"), hang{}}, []any{chunkedHead + chunk(events34) + chunkedEnd}, 2 * time.Second},
		"breaks off while one is asked": {[]any{chunkedHead + chunk(events12), pause(1400 * time.Millisecond)}, []any{pause(250 * time.Millisecond), chunkedHead + chunk(events34) + chunkedEnd}, 2 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, second := startScriptedBackend(t, test.first...), startScriptedBackend(t, test.second...)
			start := time.Now()
			_, body, header, err := send(t, startGateway(t, resumableRoute, &first.backend, &second.backend), "k")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, body, qt.Equals, events12+events34)
			qt.Assert(t, header.Get("Digest"), qt.Equals, "first")
			qt.Assert(t, second.requests.Load(), qt.Equals, int64(1))
			qt.Assert(t, time.Since(start) < test.want, qt.IsTrue, qt.Commentf("%s", time.Since(start)))
		})
	}
}

// TestEventTimeoutOnlyWhileRetryIsAllowed guards against abandoning streams under
// overload: engines then pause between events, and once the retry budget is used up, or
// another attempt may have used up the attempts, an abandoned stream can't be resumed.
func TestEventTimeoutOnlyWhileRetryIsAllowed(t *testing.T) {
	tests := map[string]struct {
		maxAttempts  int
		withoutRetry bool // the budget is used up
		second       int64
	}{
		"budget used up":      {3, true, 0},
		"one attempt allowed": {1, false, 0},
		"budget left":         {3, false, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := startScriptedBackend(t, chunkedHead+chunk(events12), silentThenGoesOn, chunk(events34)+chunkedEnd)
			second := startScriptedBackend(t, chunkedHead+chunk(events34)+chunkedEnd)
			route := resumableRoute
			route.MaxAttempts = test.maxAttempts
			server := startGateway(t, route, &first.backend, &second.backend)
			g := server.Config.Handler.(*Gateway)
			if test.withoutRetry {
				g.RetryRatio, g.RetrySlack = 0.001, 0
				g.updateRetrySlack(time.Now(), 1)
			}
			_, body, _, err := send(t, server, "k")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, body, qt.Equals, events12+events34)
			qt.Assert(t, second.requests.Load(), qt.Equals, test.second)
		})
	}
}

// TestEventTimeout checks after how long without an event a stream is silent.
func TestEventTimeout(t *testing.T) {
	for gap, want := range map[int]time.Duration{0: time.Second, 300: time.Second, 400: 1200 * time.Millisecond} {
		req := &proxyRequest{route: &hitchroute.Route{Kind: hitchroute.Streaming, GapMilliseconds: gap}}
		qt.Assert(t, req.eventTimeout(), qt.Equals, want)
	}
}

// TestStandbysLeaveRetriesToLostRequests covers many silent endpoints in an overload: the
// requests that have one use up a part of the retry budget only.
func TestStandbysLeaveRetriesToLostRequests(t *testing.T) {
	first, second := startScriptedBackend(t, hang{}), startScriptedBackend(t, hang{})
	server := startGateway(t, resumableRoute, &first.backend, &second.backend)
	g := server.Config.Handler.(*Gateway)
	g.RetryRatio, g.RetrySlack = 0.001, 20/retrySlackShare
	g.updateRetrySlack(time.Now(), 1)
	var callers sync.WaitGroup
	ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
	defer cancel()
	for i := range 30 {
		callers.Go(func() {
			r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/x", strings.NewReader("body"))
			r.Host = "h.example"
			r.Header.Set("Id", fmt.Sprint("id-", i))
			r.Header.Set("Key", "k")
			g.ServeHTTP(httptest.NewRecorder(), r)
		})
	}
	callers.Wait()
	left := 0
	for g.serviceState("s").retryBudget.TryRetry(time.Now()) {
		left++
	}
	qt.Assert(t, left >= 10, qt.IsTrue, qt.Commentf("%d of 20 retries left", left))
	qt.Assert(t, first.requests.Load()+second.requests.Load() > 30, qt.IsTrue)
}
