package hitchrouter

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchforward"
	"citronhitch.example/citronhitch/hitchoutcome"
	"citronhitch.example/citronhitch/hitchpeer"
)

// TestMessageThatCrashesEnginesIsRefused guards against a message of a chat that crashes one
// engine after the other: after three crashes all routers refuse it, as not run.
func TestMessageThatCrashesEnginesIsRefused(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	cut := &hitchforward.Failure{Kind: hitchforward.FailureCut, Err: io.ErrUnexpectedEOF}
	tests := map[string]struct {
		url       string
		err       error
		hasAnswer bool
		want      bool
	}{
		"crashed":                        {gone.URL, cut, false, true},
		"crashed after the answer began": {gone.URL, cut, true, false},
		"only the connection was cut":    {server.URL, cut, false, false},
		"refused":                        {gone.URL, &hitchforward.Failure{Kind: hitchforward.FailureUnsent}, false, false},
		"silent":                         {gone.URL, &hitchforward.Failure{Kind: hitchforward.FailureSilent}, false, false},
		"failed for a reason of its own": {gone.URL, errors.New("no failure"), false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			shared := make(chan []byte, 1)
			rt := &Router{Self: hitchfleet.Instance{ID: "r-0"}, Forward: &hitchforward.Client{}, Peers: Peers{Share: func(topic hitchpeer.Topic, body []byte) error {
				qt.Check(t, topic, qt.Equals, TopicSuspicions)
				shared <- body
				return nil
			}}}
			chat := func(messages ...string) *proxyRequest {
				req := &proxyRequest{}
				for _, m := range messages {
					req.parts = append(req.parts, MessagePart("user", m))
				}
				return req
			}
			for _, id := range []hitchfleet.EndpointID{"e-0", "e-1", "e-2"} {
				req := chat("hello", "deadly")
				req.hasAnswer = test.hasAnswer
				rt.observeAttempt(req, hitchfleet.Endpoint{ID: id, URL: test.url}, test.err)
			}
			rt.observeAttempt(chat("hello"), hitchfleet.Endpoint{ID: "e-3", URL: server.URL}, nil)
			routers := []*Router{rt}
			if test.want {
				rt.shareSuspicions()
				other := &Router{Self: hitchfleet.Instance{ID: "r-1"}}
				other.ApplySuspicions("r-0", <-shared)
				routers = append(routers, other)
			}
			for _, r := range routers {
				var tracker hitchoutcome.DispatchTracker
				refusal := r.admitParts(chat("hello", "deadly", "more"), &tracker)
				qt.Assert(t, refusal != nil, qt.Equals, test.want)
				if refusal != nil {
					qt.Assert(t, refusal.Outcome, qt.Equals, hitchoutcome.NotRun)
					qt.Assert(t, refusal.RetryAt.After(time.Now()), qt.IsTrue)
				}
				qt.Assert(t, r.admitParts(chat("hello"), &tracker) == nil, qt.IsTrue)
			}
		})
	}
}
