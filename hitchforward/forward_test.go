package hitchforward

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfake"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

const testInactivityMillis = 200

func startEndpoint(t *testing.T, id hitchfleet.EndpointID, handler http.Handler) hitchfleet.Endpoint {
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return hitchfleet.Endpoint{ID: id, URL: server.URL}
}

func chatCall(t *testing.T, content string) (Call, string) {
	request := hitchfake.ChatRequest{
		Model: "guide-llm", Stream: true, MinTokens: 40,
		Messages: []hitchfake.Message{{Role: "user", Content: content}},
	}
	body, err := json.Marshal(request)
	qt.Assert(t, err, qt.IsNil)
	return Call{Method: http.MethodPost, Path: "/v1/chat/completions", Body: body, Idempotent: true}, hitchfake.ResponseText(request)
}

// collector is a caller that records the text and the event IDs of a stream.
type collector struct {
	text strings.Builder
	done bool
	ids  []int
}

func (c *collector) deliver(event Event) error {
	if event.Done() {
		c.done = true
		return nil
	}
	content, err := contentOf(event)
	c.text.Write(content)
	c.ids = append(c.ids, event.ID)
	return err
}

// TestStreamIsCompleteUnderFaults injects each fault at the first engine. The caller
// must get every token exactly once, and the complete response, from the same engine
// or from the second one.
func TestStreamIsCompleteUnderFaults(t *testing.T) {
	tests := map[string]struct {
		faults []hitchfake.Fault
		kinds  []FailureKind
	}{
		"no fault":              {nil, nil},
		"cut at once":           {[]hitchfake.Fault{{Kind: hitchfake.FaultDisconnect, Times: 1}}, []FailureKind{FailureCut}},
		"cut in the midst":      {[]hitchfake.Fault{{Kind: hitchfake.FaultDisconnect, AfterTokens: 7, Times: 1}}, []FailureKind{FailureCut}},
		"silent at once":        {[]hitchfake.Fault{{Kind: hitchfake.FaultHang, Times: 1}}, []FailureKind{FailureSilent}},
		"silent in the midst":   {[]hitchfake.Fault{{Kind: hitchfake.FaultHang, AfterTokens: 7, Times: 1}}, []FailureKind{FailureSilent}},
		"cut, then silent":      {[]hitchfake.Fault{{Kind: hitchfake.FaultDisconnect, AfterTokens: 5, Times: 1}, {Kind: hitchfake.FaultHang, Path: "/v1/streams", AfterTokens: 5, Times: 1}}, []FailureKind{FailureCut, FailureSilent}},
		"crossed":               {[]hitchfake.Fault{{Kind: hitchfake.FaultSwapResponse, Times: 1}}, []FailureKind{FailureCrossed}},
		"busy":                  {[]hitchfake.Fault{{Kind: hitchfake.FaultRefuse, Times: 1}}, []FailureKind{FailureBusy}},
		"cut again and again":   {[]hitchfake.Fault{{Kind: hitchfake.FaultDisconnect, AfterTokens: 3}}, []FailureKind{FailureCut}},
		"lost in the midst":     {[]hitchfake.Fault{{Kind: hitchfake.FaultDisconnect, AfterTokens: 9, Times: 1}, {Kind: hitchfake.FaultDisconnect, Path: "/v1/streams"}}, []FailureKind{FailureCut}},
		"silent to every retry": {[]hitchfake.Fault{{Kind: hitchfake.FaultHang, AfterTokens: 2}}, []FailureKind{FailureSilent}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			first := &hitchfake.Engine{}
			first.Faults.Set(test.faults...)
			endpoints := []hitchfleet.Endpoint{startEndpoint(t, "first", first.Handler()), startEndpoint(t, "second", (&hitchfake.Engine{}).Handler())}
			client := &Client{InactivityTimeoutMillis: testInactivityMillis}
			call, want := chatCall(t, name)
			var caller collector
			stream := &Stream{Call: call, Deliver: caller.deliver}
			var tracker hitchoutcome.DispatchTracker
			err := client.Stream(context.Background(), stream, endpoints[0], &tracker)
			var failure *Failure
			if errors.As(err, &failure) {
				qt.Assert(t, failure.MayRetry(), qt.IsTrue, qt.Commentf("%v", err))
				err = client.Stream(context.Background(), stream, endpoints[1], &tracker)
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, caller.text.String(), qt.Equals, want)
			qt.Assert(t, caller.done, qt.IsTrue)
			for i, id := range caller.ids {
				qt.Assert(t, id, qt.Equals, i+1)
			}
			qt.Assert(t, tracker.Outcome(), qt.Equals, hitchoutcome.Ran)
			for _, kind := range test.kinds {
				qt.Assert(t, client.Counts.Get(kind) > 0, qt.IsTrue, qt.Commentf("no failure of kind %s", kind))
			}
		})
	}
}

func TestDivergedReplayIsNotDelivered(t *testing.T) {
	first := &hitchfake.Engine{}
	first.Faults.Set(hitchfake.Fault{Kind: hitchfake.FaultDisconnect, AfterTokens: 9})
	one := startEndpoint(t, "first", first.Handler())
	two := startEndpoint(t, "second", (&hitchfake.Engine{}).Handler())
	client := &Client{InactivityTimeoutMillis: testInactivityMillis}
	call, want := chatCall(t, "When are the rays fed?")
	var caller collector
	stream := &Stream{Call: call, Deliver: caller.deliver}
	var tracker hitchoutcome.DispatchTracker
	qt.Assert(t, client.Stream(context.Background(), stream, one, &tracker), qt.IsNotNil)
	stream.Call, _ = chatCall(t, "another question, so that the engine answers otherwise")
	err := client.Stream(context.Background(), stream, two, &tracker)
	var failure *Failure
	qt.Assert(t, errors.As(err, &failure), qt.IsTrue)
	qt.Assert(t, failure.Kind, qt.Equals, FailureDiverged)
	qt.Assert(t, strings.HasPrefix(want, caller.text.String()), qt.IsTrue)
	qt.Assert(t, caller.done, qt.IsFalse)
}

// TestServiceCallOutcome checks that a call that isn't idempotent runs at most once,
// and that its outcome is true.
func TestServiceCallOutcome(t *testing.T) {
	tests := map[string]struct {
		fault hitchfake.Fault
		want  hitchoutcome.Outcome
		runs  int
	}{
		"no fault":          {hitchfake.Fault{Kind: hitchfake.FaultDropCacheEvents}, hitchoutcome.Ran, 1},
		"cut before it ran": {hitchfake.Fault{Kind: hitchfake.FaultDisconnect}, hitchoutcome.Unknown, 0},
		"cut after it ran":  {hitchfake.Fault{Kind: hitchfake.FaultDisconnect, AfterRun: true}, hitchoutcome.Unknown, 1},
		"silent after run":  {hitchfake.Fault{Kind: hitchfake.FaultHang, AfterRun: true}, hitchoutcome.Unknown, 1},
		"crossed":           {hitchfake.Fault{Kind: hitchfake.FaultSwapResponse}, hitchoutcome.Unknown, 1},
		"late":              {hitchfake.Fault{Kind: hitchfake.FaultDelayResponse, Millis: 10 * testInactivityMillis}, hitchoutcome.Unknown, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			service := &hitchfake.Service{}
			endpoint := startEndpoint(t, "service", service.Handler())
			client := &Client{InactivityTimeoutMillis: testInactivityMillis}
			header := http.Header{"Idempotency-Key": {"key-1"}}
			call := Call{Method: http.MethodPost, Path: "/slots", Header: header, Body: []byte("{}")}
			service.Faults.Set(test.fault)
			var tracker hitchoutcome.DispatchTracker
			response, err := client.Do(context.Background(), call, endpoint, &tracker)
			qt.Assert(t, tracker.Outcome(), qt.Equals, test.want)
			qt.Assert(t, err == nil, qt.Equals, test.want == hitchoutcome.Ran)
			qt.Assert(t, response == nil, qt.Equals, test.want != hitchoutcome.Ran)
			qt.Assert(t, service.Runs(), qt.HasLen, test.runs)
		})
	}
}

// TestNonIdempotentCallIsNotResentByTransport guards against a booking that runs
// twice: net/http resends a request by itself if a pooled connection closes and the
// request has an Idempotency-Key header.
func TestNonIdempotentCallIsNotResentByTransport(t *testing.T) {
	var runs atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			runs.Add(1)
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(AttemptHeader, r.Header.Get(AttemptHeader))
	})}
	go func() { _ = server.Serve(listener) }()
	endpoint := hitchfleet.Endpoint{ID: "service", URL: "http://" + listener.Addr().String()}
	client := &Client{}
	var warm, tracker hitchoutcome.DispatchTracker
	_, err = client.Do(context.Background(), Call{Method: http.MethodGet, Path: "/", Idempotent: true}, endpoint, &warm)
	qt.Assert(t, err, qt.IsNil)
	_, err = client.Do(context.Background(), Call{Method: http.MethodPost, Path: "/", Header: http.Header{"Idempotency-Key": {"k"}}}, endpoint, &tracker)
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, runs.Load(), qt.Equals, int64(1))
	qt.Assert(t, tracker.Outcome(), qt.Equals, hitchoutcome.Unknown)
}

func TestConnectionRefusedIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	endpoint := hitchfleet.Endpoint{ID: "gone", URL: "http://" + listener.Addr().String()}
	qt.Assert(t, listener.Close(), qt.IsNil)
	var client Client
	var tracker hitchoutcome.DispatchTracker
	_, err = client.Do(context.Background(), Call{Method: http.MethodPost, Path: "/"}, endpoint, &tracker)
	var failure *Failure
	qt.Assert(t, errors.As(err, &failure), qt.IsTrue)
	qt.Assert(t, failure.Kind, qt.Equals, FailureUnsent)
	qt.Assert(t, tracker.Refuse(hitchoutcome.ReasonEndpointLost, time.Time{}, "gone").Outcome, qt.Equals, hitchoutcome.NotRun)
}

func FuzzEventReader(f *testing.F) {
	f.Add("id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"reef\"}}]}\n\ndata: [DONE]\n\n")
	f.Add(": heartbeat\n\ndata:x\ndata: y\n\n")
	f.Fuzz(func(t *testing.T, wire string) {
		events := newEventReader(strings.NewReader(wire))
		var progress Progress
		for {
			event, err := events.next()
			if err != nil {
				return
			}
			delivered, isNew, err := progress.Add(event)
			if err == nil && isNew && !delivered.Done() && delivered.ID != progress.Delivered {
				t.Fatalf("event %d delivered with ID %d", progress.Delivered, delivered.ID)
			}
		}
	})
}

// TestCallerDisconnectCancelsStream checks that the stream of a caller that
// disconnects is canceled at the engine, which otherwise continues for a long time.
func TestCallerDisconnectCancelsStream(t *testing.T) {
	engine := &hitchfake.Engine{TokensPerSecond: 100}
	endpoint := startEndpoint(t, "engine", engine.Handler())
	request := hitchfake.ChatRequest{
		Model: "guide-llm", Stream: true, MinTokens: 100_000, Messages: []hitchfake.Message{{Role: "user", Content: "x"}},
	}
	body, err := json.Marshal(request)
	qt.Assert(t, err, qt.IsNil)
	call := Call{Method: http.MethodPost, Path: "/v1/chat/completions", Body: body, Idempotent: true}
	errDisconnected := errors.New("the caller disconnected")
	var tracker hitchoutcome.DispatchTracker
	err = (&Client{}).Stream(context.Background(), &Stream{Call: call, Deliver: func(Event) error { return errDisconnected }}, endpoint, &tracker)
	var failure *Failure
	qt.Assert(t, errors.As(err, &failure), qt.IsTrue)
	qt.Assert(t, failure.Kind, qt.Equals, FailureCallerGone)
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for range 1000 {
		if engine.CurrentLoad().Running == 0 {
			return
		}
		<-ticker.C
	}
	t.Fatal("the engine is still generating the stream")
}
