package hitchapi

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchforward"
	"citronhitch.example/citronhitch/hitchoutcome"
	"citronhitch.example/citronhitch/hitchrouter"
)

const testBodyBytes = 2048

// newTestHandler returns the API of a router without endpoints, which refuses every
// valid request with NoEndpoint.
func newTestHandler(tb testing.TB) http.Handler {
	cfg := hitchconfig.Configuration{}.WithRevision(1).
		WithLimits(hitchconfig.Limits{BodyBytes: testBodyBytes}).
		WithRoute(hitchconfig.Route{ID: "guide-llm", Kind: hitchconfig.EngineRoute, TimeoutMilliseconds: 1000}).
		WithRoute(hitchconfig.Route{
			ID: "boxoffice-api", Kind: hitchconfig.ServiceRoute, TimeoutMilliseconds: 1000,
			Service: hitchconfig.ServiceRules{PathPrefix: "/boxoffice", IdempotentMethods: []string{"GET"}},
		}).
		WithOrganisation(hitchconfig.Organisation{
			ID: "harbour", Routes: []hitchfleet.RouteID{"boxoffice-api", "guide-llm"},
			Keys: []hitchconfig.APIKey{{Hash: hitchconfig.HashKey("harbour's key")}},
		}).
		WithOrganisation(hitchconfig.Organisation{
			ID: "stranger", Keys: []hitchconfig.APIKey{{Hash: hitchconfig.HashKey("stranger's key")}},
		})
	router := &hitchrouter.Router{Self: hitchfleet.Instance{ID: "router-1"}, Forward: &hitchforward.Client{}}
	router.SetView(&hitchrouter.View{
		Index: cfg.Index(), LiveRouters: []hitchfleet.Instance{router.Self}, ValidUntil: time.Now().Add(time.Hour),
	})
	return (&API{Router: router}).Handler()
}

func chatRequest(body string, header http.Header) *http.Request {
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer harbour's key")
	for name, values := range header {
		r.Header[name] = values
	}
	return r
}

const validChat = `{"model":"guide-llm","messages":[{"role":"user","content":"x"}]}`

func TestInvalidRequestIsRefusedAsNotRun(t *testing.T) {
	service := func(method, path, key string) *http.Request {
		r := httptest.NewRequest(method, path, strings.NewReader("{}"))
		r.Header.Set("Authorization", "Bearer "+key)
		return r
	}
	tests := map[string]struct {
		request *http.Request
		status  int
		reason  hitchoutcome.Reason
	}{
		"valid, but no endpoint":    {chatRequest(validChat, nil), 503, hitchoutcome.ReasonNoEndpoint},
		"broken JSON":               {chatRequest(`{"model":`, nil), 400, hitchoutcome.ReasonBadRequest},
		"no messages":               {chatRequest(`{"model":"guide-llm"}`, nil), 400, hitchoutcome.ReasonBadRequest},
		"empty body":                {chatRequest("", nil), 400, hitchoutcome.ReasonBadRequest},
		"oversize body":             {chatRequest(strings.Repeat("x", testBodyBytes+1), nil), 413, hitchoutcome.ReasonTooLarge},
		"unknown model":             {chatRequest(strings.Replace(validChat, "guide", "other", 1), nil), 404, hitchoutcome.ReasonNoRoute},
		"service route as model":    {chatRequest(strings.Replace(validChat, "guide-llm", "boxoffice-api", 1), nil), 404, hitchoutcome.ReasonNoRoute},
		"wrong key":                 {chatRequest(validChat, http.Header{"Authorization": {"Bearer nobody"}}), 401, hitchoutcome.ReasonUnauthenticated},
		"another scheme":            {chatRequest(validChat, http.Header{"Authorization": {"Basic harbour's key"}}), 401, hitchoutcome.ReasonUnauthenticated},
		"route not allowed":         {chatRequest(validChat, http.Header{"Authorization": {"Bearer stranger's key"}}), 404, hitchoutcome.ReasonNoRoute},
		"chat ID too long":          {chatRequest(validChat, http.Header{ChatHeader: {strings.Repeat("x", maxHeaderValueBytes+1)}}), 400, hitchoutcome.ReasonBadRequest},
		"timeout not a number":      {chatRequest(validChat, http.Header{"X-Timeout-Ms": {"soon"}}), 400, hitchoutcome.ReasonBadRequest},
		"timeout too long":          {chatRequest(validChat, http.Header{"X-Timeout-Ms": {"600001"}}), 400, hitchoutcome.ReasonBadRequest},
		"unknown service":           {service("GET", "/services/elsewhere", "harbour's key"), 404, hitchoutcome.ReasonNoRoute},
		"service not allowed":       {service("GET", "/services/boxoffice/slots", "stranger's key"), 404, hitchoutcome.ReasonNoRoute},
		"path prefix within a word": {service("GET", "/services/boxofficer", "harbour's key"), 404, hitchoutcome.ReasonNoRoute},
	}
	handler := newTestHandler(t)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, test.request)
			var p Problem
			qt.Assert(t, json.Unmarshal(w.Body.Bytes(), &p), qt.IsNil, qt.Commentf("%s", w.Body))
			qt.Assert(t, w.Code, qt.Equals, test.status)
			qt.Assert(t, p.Reason, qt.Equals, test.reason)
			qt.Assert(t, p.Outcome, qt.Equals, hitchoutcome.NotRun)
			qt.Assert(t, w.Header().Get("Content-Type"), qt.Equals, problemMediaType)
			qt.Assert(t, w.Header().Get("Retry-After") != "", qt.Equals, test.status == 503)
		})
	}
}

func FuzzChatInput(f *testing.F) {
	f.Add([]byte(validChat), "chat-1", "1000")
	f.Add([]byte(`{"messages":[{"content":[{"type":"text"}]}],"model":"guide-llm","stream":true}`), "", "")
	f.Add([]byte("\x00"), strings.Repeat("é", 150), "-1")
	handler := newTestHandler(f)
	f.Fuzz(func(t *testing.T, body []byte, chat, timeout string) {
		r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", bytes.NewReader(body))
		r.Header.Set("Authorization", "Bearer harbour's key")
		r.Header.Set(ChatHeader, chat)
		r.Header.Set(TimeoutHeader, timeout)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		var p Problem
		if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil || p.Outcome != hitchoutcome.NotRun {
			t.Fatalf("status %d: %s", w.Code, w.Body)
		}
	})
}

func TestChatPriority(t *testing.T) {
	tests := map[string]struct {
		requested string
		ceiling   int
		wantBatch bool
	}{
		"no priority":           {"", 1, false},
		"batch":                 {"Batch", 1, true},
		"above the ceiling":     {"Interactive", 0, true},
		"batch, as the ceiling": {"Batch", 0, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := chatRequest(validChat, http.Header{PriorityHeader: {test.requested}})
			got := isBatch(r, hitchconfig.Organisation{PriorityCeiling: test.ceiling})
			qt.Assert(t, got, qt.Equals, test.wantBatch)
			qt.Assert(t, engineHeader(1, got).Get(PriorityHeader) == "", qt.Equals, test.wantBatch)
		})
	}
}
