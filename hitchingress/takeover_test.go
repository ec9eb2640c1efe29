package hitchingress

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchroute"
	"citronhitch.example/citronhitch/hitchview"
)

// TestStreamOutlastsStandbyThatOnlyBegins covers a silent endpoint that goes on, while
// another one begins a response to the request and brings no event.
func TestStreamOutlastsStandbyThatOnlyBegins(t *testing.T) {
	tests := map[string][]any{
		"header, then nothing":       {chunkedHead, hang{}},
		"header, then closed":        {chunkedHead},
		"events out of order":        {chunkedHead + chunk(events12) + chunkedEnd},
		"ends in its first event":    {chunkedHead + chunk("id: 3\nda") + chunkedEnd},
		"part of an event":           {chunkedHead + chunk("id: 3\nda"), hang{}},
		"part of an event, then cut": {chunkedHead + chunk("id: 3\nda")},
	}
	for name, second := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := startScriptedBackend(t, chunkedHead+chunk(events12), silentThenGoesOn, chunk(events34)+chunkedEnd)
			other := startScriptedBackend(t, second...)
			start := time.Now()
			_, body, _, err := send(t, startGateway(t, resumableRoute, &first.backend, &other.backend), "k")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, body, qt.Equals, events12+events34)
			qt.Assert(t, first.closedEarly.Load(), qt.Equals, int64(0))
			qt.Assert(t, time.Since(start) < 4*time.Second, qt.IsTrue)
		})
	}
}

// TestAnswerOutlastsStandbyThatOnlyBegins is the same for an answer that isn't streamed:
// the header of another endpoint's response doesn't end one that works.
func TestAnswerOutlastsStandbyThatOnlyBegins(t *testing.T) {
	const begun = "HTTP/1.1 200 OK\r\nId: {id}\r\nDigest: s\r\nContent-Length: 2\r\n\r\no"
	route := hitchroute.Route{Kind: hitchroute.Idempotent, MaxAttempts: 2, ObjectiveMilliseconds: 150}
	tests := map[string]struct{ first, second []any }{
		"the silent one goes on":            {[]any{silentThenGoesOn, okResponse}, []any{begun, hang{}}},
		"the other breaks off":              {[]any{silentThenGoesOn, okResponse}, []any{begun}},
		"the first one's header came first": {[]any{pause(200 * time.Millisecond), begun, pause(400 * time.Millisecond), "k"}, []any{pause(250 * time.Millisecond), begun, hang{}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, second := startScriptedBackend(t, test.first...), startScriptedBackend(t, test.second...)
			status, body, _, err := send(t, startGateway(t, route, &first.backend, &second.backend), "k")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, status, qt.Equals, 200)
			qt.Assert(t, body, qt.Equals, "ok")
		})
	}
}

// TestRefusedStandbysDontPreventRetry covers a silent endpoint that goes on after other endpoints
// have refused the request, and later breaks off: the stream goes on at one that is free.
func TestRefusedStandbysDontPreventRetry(t *testing.T) {
	first := startScriptedBackend(t, chunkedHead+chunk(events12), silentThenGoesOn, chunk("id: 3\ndata: c\n\n"), pause(100*time.Millisecond))
	backends := []*backend{&first.backend}
	for range 4 {
		backends = append(backends, &startScriptedBackend(t, notRunResponse).backend)
	}
	server := startGateway(t, resumableRoute, backends...)
	g := server.Config.Handler.(*Gateway)
	last := startScriptedBackend(t, chunkedHead+chunk("id: 4\ndata: d\n\n")+chunkedEnd)
	time.AfterFunc(1500*time.Millisecond, func() { // the others have refused by then
		view := g.View()
		g.SetView(time.Now(), view.Update(hitchview.EndpointMsg{Revision: view.Revision + 1, Endpoint: hitchfleet.Endpoint{
			ID: "last", Service: "s", Addr: last.addr, Zone: "last",
		}}))
	})
	_, body, _, err := send(t, server, "k")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, body, qt.Equals, events12+events34)
}
