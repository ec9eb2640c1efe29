package hitchingress

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchbalance"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchorigin"
	"citronhitch.example/citronhitch/hitchroute"
	"citronhitch.example/citronhitch/hitchview"
)

// Responses of a stream with four events.
var (
	wholeStream     = streamHead + chunked(events12+events34) + "0\r\n\r\n"
	brokenStream    = streamHead + chunked(events12)
	remainingStream = streamHead + chunked(events34) + "0\r\n\r\n"
)

// startVersion starts a backend of a version.
func startVersion(t *testing.T, version string, responses ...string) *backend {
	b := startBackend(t, responses...)
	b.version = version
	return b
}

// TestStreamGoesOnAtItsVersion covers a stream that the instance resumes within one
// response, while two versions of the endpoints' software serve side by side.
func TestStreamGoesOnAtItsVersion(t *testing.T) {
	tests := map[string]struct {
		first       string // response of the first endpoint, of version v1
		others      []string
		body        string
		isTruncated bool
		requests    []int64 // of the others
	}{
		"the version has another endpoint":        {brokenStream, []string{"v2", "v1"}, events12 + events34, false, []int64{0, 1}},
		"the version is the one of most":          {brokenStream, []string{"v2", "v2", "v2", "v1"}, events12 + events34, false, []int64{0, 0, 0, 1}},
		"the version has no other endpoint":       {brokenStream, []string{"v2"}, events12, true, []int64{0}},
		"a stream without events has no version":  {"", []string{"v2"}, events12 + events34, false, []int64{1}},
		"a part of an event isn't sent to anyone": {streamHead + chunked("id: 1\nda"), []string{"v2"}, events12 + events34, false, []int64{1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			response := remainingStream
			if test.first != brokenStream {
				response = wholeStream
			}
			backends := []*backend{startVersion(t, "v1", test.first)}
			for _, version := range test.others {
				backends = append(backends, startVersion(t, version, response))
			}
			route := hitchroute.Route{Kind: hitchroute.Streaming, IsResumable: true, MaxAttempts: 3, GapMilliseconds: 400}
			_, body, _, err := send(t, startGateway(t, route, backends...), "k")
			qt.Assert(t, err != nil, qt.Equals, test.isTruncated, qt.Commentf("%v", err))
			if !test.isTruncated || body != "" {
				qt.Assert(t, body, qt.Equals, test.body)
			}
			for i, want := range test.requests {
				qt.Assert(t, backends[i+1].requests.Load(), qt.Equals, want, qt.Commentf("endpoint %d", i+1))
			}
		})
	}
}

// TestReturnDoesNotReachAnotherVersion covers a caller that takes up a stream again at an
// instance that didn't begin it, next to an endpoint of another version.
func TestReturnDoesNotReachAnotherVersion(t *testing.T) {
	route := hitchroute.Route{Kind: hitchroute.Streaming, IsResumable: true, MaxAttempts: 1, GapMilliseconds: 400}
	v1, v2 := startVersion(t, "v1", brokenStream, remainingStream), startVersion(t, "v2", remainingStream)
	_, _, _, err := send(t, startGateway(t, route, v1, v2), "k")
	qt.Assert(t, err, qt.IsNotNil)
	status, _, header, err := sendWith(t, startGateway(t, route, v2, v1), map[string]string{"Id": "id-2", "Key": "k", "Last-Event-Id": "2", "Resumes": "id-1"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, v2.requests.Load(), qt.Equals, int64(0))
	if status != http.StatusOK {
		qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
		qt.Assert(t, header.Get("Retry-After"), qt.Equals, "")
	}
}

// connect makes a gateway exchange origins with others, as hitchedge does.
func connect(g *Gateway, others ...*Gateway) {
	g.OriginExchange = OriginExchange{
		Share: func(origins []hitchorigin.Origin) {
			for _, other := range others {
				other.ReceiveOrigins(time.Now(), origins)
			}
		},
		Ask: func(_ context.Context, stream hitchfleet.Key, route string) (answers []hitchorigin.Answer, silent int) {
			for _, other := range others {
				answers = append(answers, other.AnswerOrigin(time.Now(), stream, route))
			}
			return answers, 0
		},
		IsAlone: func() bool { return false },
	}
}

// TestReturnGoesOnAtItsVersion covers a caller that takes up a stream again at an instance
// that didn't begin it, and which is gone: all that is left is what it shared.
func TestReturnGoesOnAtItsVersion(t *testing.T) {
	returning := map[string]string{"Id": "id-2", "Key": "k", "Last-Event-Id": "2", "Resumes": "id-1"}
	withoutEvent := map[string]string{"Id": "id-2", "Key": "k", "Resumes": "id-1"}
	withoutName := map[string]string{"Id": "id-2", "Key": "k", "Last-Event-Id": "2"}
	anew := map[string]string{"Id": "id-2", "Key": "k"}
	tests := map[string]struct {
		others     []string // versions of the endpoints that the second instance prefers
		isGone     bool     // the version has no endpoint left
		isNotKnown bool     // nothing was shared
		isStale    bool     // the view of the second instance
		header     map[string]string
		status     int
		reason     string
		source     string
		retryAfter bool
	}{
		"the version has an endpoint":         {[]string{"v2"}, false, false, false, returning, 200, "", "Shared", false},
		"among many others":                   {[]string{"v2", "v3", "v2"}, false, false, false, returning, 200, "", "Shared", false},
		"the version has none left":           {[]string{"v2"}, true, false, false, returning, 503, "OtherVersions", "Shared", false},
		"not known, two versions":             {[]string{"v2"}, false, true, false, returning, 503, "OriginUnknown", "Unknown", false},
		"not known, and the version has none": {[]string{"v2"}, true, true, false, returning, 503, "OriginUnknown", "Unknown", false},
		"not known, one version":              {nil, false, true, false, returning, 200, "", "Inferred", false},
		"the view may be old":                 {[]string{"v2"}, false, false, true, returning, 503, "Stale", "Stale", true},
		"without an event's ID":               {[]string{"v2"}, false, true, false, withoutEvent, 503, "OriginUnknown", "Unknown", false},
		"without a name, two versions":        {[]string{"v2"}, false, false, false, withoutName, 503, "OriginUnknown", "Unknown", false},
		"without a name, one version":         {nil, false, true, false, withoutName, 200, "", "Inferred", false},
		"the caller begins anew":              {[]string{"v2"}, false, true, false, anew, 200, "", "", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			route := hitchroute.Route{Kind: hitchroute.Streaming, IsResumable: true, MaxAttempts: 1, GapMilliseconds: 400}
			v1 := startVersion(t, "v1", brokenStream, remainingStream)
			backends := []*backend{}
			for _, version := range test.others {
				backends = append(backends, startVersion(t, version, remainingStream))
			}
			backends = append(backends, v1)
			begun, returned := startGateway(t, route, append([]*backend{v1}, backends[:len(test.others)]...)...), startGateway(t, route, backends...)
			beginning, resuming := begun.Config.Handler.(*Gateway), returned.Config.Handler.(*Gateway)
			if test.isGone {
				last := hitchfleet.EndpointID(fmt.Sprint("e", len(test.others)))
				resuming.SetView(time.Now(), resuming.View().Update(hitchview.EndpointRemovedMsg{Revision: 20, ID: last}))
			}
			if !test.isNotKnown {
				connect(beginning, resuming)
			}
			third := startGateway(t, route, backends...).Config.Handler.(*Gateway)
			connect(resuming, third) // a home that has no record
			resuming.OriginExchange.IsViewCurrent = func() bool { return !test.isStale }
			_, _, _, err := send(t, begun, "k")
			qt.Assert(t, err, qt.IsNotNil)
			status, body, header, err := sendWith(t, returned, test.header)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, status, qt.Equals, test.status)
			qt.Assert(t, strings.HasPrefix(body, test.reason), qt.IsTrue, qt.Commentf("%s", body))
			qt.Assert(t, header.Get("Retry-After") != "", qt.Equals, test.retryAfter)
			if test.source != "" {
				qt.Assert(t, resuming.Metrics.resumptions.all()[test.source], qt.Equals, int64(1))
			}
			if test.source == "" {
				return // any version may begin
			}
			for _, other := range backends[:len(test.others)] {
				qt.Assert(t, other.requests.Load(), qt.Equals, int64(0))
			}
			if test.status == http.StatusOK {
				qt.Assert(t, body, qt.Equals, events34)
				o, source := resuming.Origins.Find(hitchorigin.StreamKey(cmp.Or(test.header["Resumes"], "id-2"))) // a third try is served
				qt.Assert(t, source, qt.Equals, hitchorigin.SourceOwn)
				qt.Assert(t, o.Version, qt.Equals, "v1")
			}
		})
	}
}

// TestReturnGoesToTheServiceThatBeganIt covers a route that is split between services.
func TestReturnGoesToTheServiceThatBeganIt(t *testing.T) {
	lastResponse := streamHead + "Connection: close\r\n" + chunked(events34) + "0\r\n\r\n" // on its connection
	v1, v2 := startVersion(t, "v1", lastResponse), startVersion(t, "v2", lastResponse)
	server := startGateway(t, hitchroute.Route{Kind: hitchroute.Streaming, IsResumable: true, MaxAttempts: 1}, v1)
	g := server.Config.Handler.(*Gateway)
	cfg := g.View().Table.Config()
	cfg.Routes = slices.Clone(cfg.Routes)
	cfg.Routes[0].Splits = []hitchroute.Split{{Service: "s", Weight: 1}, {Service: "other", Weight: 99}}
	view := g.View().Update(hitchview.TableMsg{Revision: 20, Table: hitchroute.NewTable(cfg)})
	g.SetView(time.Now(), view.Update(hitchview.EndpointMsg{Revision: 21, Endpoint: hitchfleet.Endpoint{ID: "o", Service: "other", Addr: v2.addr, Version: "v2"}}))
	g.ReceiveOrigins(time.Now(), []hitchorigin.Origin{{Stream: hitchorigin.StreamKey("id-1"), Service: "s", Version: "v1"}})
	for n := range 10 {
		status, _, _, err := sendWith(t, server, map[string]string{"Id": fmt.Sprint("id-", n+2), "Key": "k", "Last-Event-Id": "2", "Resumes": "id-1"})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, status, qt.Equals, http.StatusOK)
	}
	qt.Assert(t, v2.requests.Load(), qt.Equals, int64(0))
}

// TestEndpointReplacedInPlace covers an endpoint that starts again under its ID, with
// another version, between the pick and its response: only the view tells.
func TestEndpointReplacedInPlace(t *testing.T) {
	tests := map[string]struct {
		born    int64
		version string
		isGone  bool
		body    string
	}{
		"as it was":        {0, "v1", false, events12 + events34},
		"no longer listed": {0, "v1", true, events12 + events34},
		"another version":  {0, "v2", false, events12},
		"another start":    {7, "v1", false, events12},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			first, second := startVersion(t, "v1", brokenStream), startVersion(t, "v1", remainingStream)
			server := startGateway(t, hitchroute.Route{Kind: hitchroute.Streaming, IsResumable: true, MaxAttempts: 2, GapMilliseconds: 400}, first, second)
			g := server.Config.Handler.(*Gateway)
			g.Protocol.EncodeRoutingInfo = func(h http.Header, info RoutingInfo) {
				protocol.EncodeRoutingInfo(h, info)
				if info.LastEventID == 0 {
					return
				}
				e, _ := g.View().Endpoint(info.Endpoint)
				e.Born, e.Version = test.born, test.version
				view := g.View().Update(hitchview.EndpointMsg{Revision: 20, Endpoint: e})
				if test.isGone {
					view = view.Update(hitchview.EndpointRemovedMsg{Revision: 20, ID: e.ID})
				}
				g.SetView(time.Now(), view)
			}
			_, body, _, err := send(t, server, "k")
			qt.Assert(t, err != nil, qt.Equals, test.body == events12)
			if err == nil || body != "" {
				qt.Assert(t, body, qt.Equals, test.body)
			}
		})
	}
}

// TestNothingIsResumedOnAnOldView covers an instance that was paused or is cut off.
func TestNothingIsResumedOnAnOldView(t *testing.T) {
	first, second := startVersion(t, "v1", brokenStream), startVersion(t, "v1", remainingStream)
	server := startGateway(t, hitchroute.Route{Kind: hitchroute.Streaming, IsResumable: true, MaxAttempts: 2, GapMilliseconds: 400}, first, second)
	server.Config.Handler.(*Gateway).OriginExchange.IsViewCurrent = func() bool { return false }
	_, _, _, err := send(t, server, "k")
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, second.requests.Load(), qt.Equals, int64(0))
	status, _, _, _ := sendWith(t, startGateway(t, hitchroute.Route{Kind: hitchroute.Streaming}, second), map[string]string{"Id": "id-2", "Key": "k"})
	qt.Assert(t, status, qt.Equals, http.StatusOK) // a new stream begins
}

// TestSilentStreamGoesOnAtItsVersion covers a stream whose endpoint falls silent, so that
// another one is asked while it keeps the stream.
func TestSilentStreamGoesOnAtItsVersion(t *testing.T) {
	isSilent := []any{chunkedHead + chunk(events12), silentThenGoesOn, chunk(events34) + chunkedEnd}
	hangs := []any{chunkedHead + chunk(events12), hang{}}
	accepts := []any{remainingStream}
	tests := map[string]struct {
		first    []any
		others   []string
		requests []int64
		replaced bool // the other endpoint is replaced in place once it is asked
		isKept   bool // the first endpoint isn't left
	}{
		"its version takes over":         {hangs, []string{"v2", "v1"}, []int64{0, 1}, false, false},
		"there is another version only":  {isSilent, []string{"v2", "v2"}, []int64{0, 0}, false, true},
		"the other is replaced in place": {isSilent, []string{"v1"}, []int64{1}, true, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := startScriptedBackend(t, test.first...)
			first.version = "v1"
			backends := []*backend{&first.backend}
			for _, version := range test.others {
				other := startScriptedBackend(t, accepts...)
				other.version = version
				backends = append(backends, &other.backend)
			}
			server := startGateway(t, resumableRoute, backends...)
			g := server.Config.Handler.(*Gateway)
			g.Protocol.EncodeRoutingInfo = func(h http.Header, info RoutingInfo) {
				protocol.EncodeRoutingInfo(h, info)
				if e, _ := g.View().Endpoint(info.Endpoint); test.replaced && info.LastEventID > 0 {
					e.Born = 7
					g.SetView(time.Now(), g.View().Update(hitchview.EndpointMsg{Revision: 20, Endpoint: e}))
				}
			}
			_, body, _, err := send(t, server, "k")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, body, qt.Equals, events12+events34)
			for i, want := range test.requests {
				qt.Assert(t, backends[i+1].requests.Load(), qt.Equals, want)
			}
			if test.isKept {
				qt.Assert(t, first.closedEarly.Load(), qt.Equals, int64(0))
			}
		})
	}
}

// TestAttemptFromBeforeTheFirstEvent covers an attempt that was sent to an endpoint of any
// version, before the stream began elsewhere.
func TestAttemptFromBeforeTheFirstEvent(t *testing.T) {
	tests := map[string]struct {
		origin  streamOrigin
		version string
		isError bool
	}{
		"nothing has begun":  {streamOrigin{}, "v2", false},
		"the same version":   {streamOrigin{hitchorigin.Origin{Version: "v2"}, hitchorigin.SourceBegun}, "v2", false},
		"another version":    {streamOrigin{hitchorigin.Origin{Version: "v1"}, hitchorigin.SourceBegun}, "v2", true},
		"the empty version":  {streamOrigin{hitchorigin.Origin{}, hitchorigin.SourceBegun}, "v2", true},
		"begun, not known":   {streamOrigin{hitchorigin.Origin{Version: "v2"}, hitchorigin.SourceUnknown}, "v2", true},
		"known by its homes": {streamOrigin{hitchorigin.Origin{Version: "v2"}, hitchorigin.SourceAsked}, "v2", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := &Gateway{}
			err := g.checkVersion(&proxyRequest{origin: test.origin}, hitchbalance.Pick{Endpoint: hitchfleet.Endpoint{ID: "e", Version: test.version}})
			qt.Assert(t, err != nil, qt.Equals, test.isError)
		})
	}
}

// TestFirstViewTellsWhetherTheFleetIsNew covers an instance that starts: unless the whole
// fleet does, there may have been versions that it hasn't seen.
func TestFirstViewTellsWhetherTheFleetIsNew(t *testing.T) {
	now := time.Now()
	born := func(age time.Duration) int64 { return now.Add(-age).UnixMilli() }
	tests := map[string]struct {
		born  []int64 // of the endpoints
		isOwn bool    // the view has the instance's own entry
		want  hitchorigin.Knowledge
	}{
		"the fleet starts":            {[]int64{born(time.Second), born(5 * time.Second)}, false, hitchorigin.KnowsOnly},
		"killed and started again":    {[]int64{born(time.Second)}, true, hitchorigin.KnowsNothing},
		"stopped and started again":   {[]int64{born(time.Hour), born(time.Second)}, false, hitchorigin.KnowsNothing},
		"added to a fleet":            {[]int64{born(newFleetAge)}, false, hitchorigin.KnowsNothing},
		"an endpoint's clock is fast": {[]int64{born(-time.Hour)}, false, hitchorigin.KnowsOnly},
		"endpoints don't tell":        {[]int64{0}, false, hitchorigin.KnowsOnly},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			route := hitchroute.Route{Name: "r", Splits: []hitchroute.Split{{Service: "s", Weight: 1}}}
			view := hitchview.View{}.Update(hitchview.TableMsg{Revision: 1, Table: hitchroute.NewTable(hitchroute.Config{Routes: []hitchroute.Route{route}})})
			for i, born := range test.born {
				e := hitchfleet.Endpoint{ID: hitchfleet.EndpointID(fmt.Sprint("e", i)), Service: "s", Version: "v1", Born: born}
				view = view.Update(hitchview.EndpointMsg{Revision: 2, Endpoint: e})
			}
			if test.isOwn {
				view = view.Update(hitchview.InstanceMsg{Revision: 3, Instance: hitchfleet.Instance{ID: "self"}})
			}
			g := &Gateway{Self: hitchfleet.Instance{ID: "self"}, Balancer: &hitchbalance.Balancer{}}
			g.SetView(now, view)
			qt.Assert(t, g.AnswerOrigin(now, 7, "r").Knowledge, qt.Equals, test.want)
			old := hitchfleet.Endpoint{ID: "old", Service: "s", Version: "v1", Born: born(time.Hour)}
			g.SetView(now, view.Update(hitchview.EndpointMsg{Revision: 4, Endpoint: old})) // only the first view tells
			qt.Assert(t, g.AnswerOrigin(now, 7, "r").Knowledge, qt.Equals, test.want)
		})
	}
}

// TestReturnWaitsForInstanceThatStarts covers a caller that returns just after all
// instances have started again. These learn within moments which versions there were.
func TestReturnWaitsForInstanceThatStarts(t *testing.T) {
	route := hitchroute.Route{Kind: hitchroute.Streaming, IsResumable: true, MaxAttempts: 1, GapMilliseconds: 400}
	for name, isLearned := range map[string]bool{"learned soon": true, "nobody knows": false} {
		t.Run(name, func(t *testing.T) {
			v1 := startVersion(t, "v1", remainingStream)
			server := startGateway(t, route, v1)
			g := server.Config.Handler.(*Gateway)
			other := startGateway(t, route, v1).Config.Handler.(*Gateway)
			connect(g, other)
			for _, restarted := range []*Gateway{g, other} {
				restarted.RecordGap(time.Now())
				if isLearned {
					time.AfterFunc(150*time.Millisecond, func() { restarted.InheritVersions(time.Now(), hitchorigin.Recent{}) })
				}
			}
			start := time.Now()
			status, _, _, err := sendWith(t, server, map[string]string{"Id": "id-2", "Key": "k", "Last-Event-Id": "2", "Resumes": "id-1"})
			qt.Assert(t, err, qt.IsNil)
			if isLearned {
				qt.Assert(t, status, qt.Equals, http.StatusOK)
			} else {
				qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
			}
			qt.Assert(t, time.Since(start) < 2*maxAskTime, qt.IsTrue)
		})
	}
}
