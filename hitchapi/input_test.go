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

// testHandler is a router without endpoints: whatever passes the checks is refused
// as NoEndpoint.
func testHandler(tb testing.TB) http.Handler {
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

const goodChat = `{"model":"guide-llm","messages":[{"role":"user","content":"x"}]}`

func TestBadInputIsRefusedAsNotRun(t *testing.T) {
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
		"good, but no endpoint":      {chatRequest(goodChat, nil), 503, hitchoutcome.ReasonNoEndpoint},
		"broken JSON":                {chatRequest(`{"model":`, nil), 400, hitchoutcome.ReasonBadRequest},
		"no messages":                {chatRequest(`{"model":"guide-llm"}`, nil), 400, hitchoutcome.ReasonBadRequest},
		"empty body":                 {chatRequest("", nil), 400, hitchoutcome.ReasonBadRequest},
		"oversize body":              {chatRequest(strings.Repeat("x", testBodyBytes+1), nil), 413, hitchoutcome.ReasonTooLarge},
		"unknown model":              {chatRequest(strings.Replace(goodChat, "guide", "other", 1), nil), 404, hitchoutcome.ReasonNoRoute},
		"a service asked as a model": {chatRequest(strings.Replace(goodChat, "guide-llm", "boxoffice-api", 1), nil), 404, hitchoutcome.ReasonNoRoute},
		"wrong key":                  {chatRequest(goodChat, http.Header{"Authorization": {"Bearer nobody"}}), 401, hitchoutcome.ReasonUnauthenticated},
		"another scheme":             {chatRequest(goodChat, http.Header{"Authorization": {"Basic harbour's key"}}), 401, hitchoutcome.ReasonUnauthenticated},
		"a route of others":          {chatRequest(goodChat, http.Header{"Authorization": {"Bearer stranger's key"}}), 404, hitchoutcome.ReasonNoRoute},
		"chat name too long":         {chatRequest(goodChat, http.Header{ChatHeader: {strings.Repeat("x", maxNameBytes+1)}}), 400, hitchoutcome.ReasonBadRequest},
		"timeout no number":          {chatRequest(goodChat, http.Header{"X-Timeout-Ms": {"soon"}}), 400, hitchoutcome.ReasonBadRequest},
		"timeout too long":           {chatRequest(goodChat, http.Header{"X-Timeout-Ms": {"600001"}}), 400, hitchoutcome.ReasonBadRequest},
		"unknown service":            {service("GET", "/services/elsewhere", "harbour's key"), 404, hitchoutcome.ReasonNoRoute},
		"a service of others":        {service("GET", "/services/boxoffice/slots", "stranger's key"), 404, hitchoutcome.ReasonNoRoute},
		"half a prefix":              {service("GET", "/services/boxofficer", "harbour's key"), 404, hitchoutcome.ReasonNoRoute},
	}
	handler := testHandler(t)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, test.request)
			var p Problem
			qt.Assert(t, json.Unmarshal(w.Body.Bytes(), &p), qt.IsNil, qt.Commentf("%s", w.Body))
			qt.Assert(t, w.Code, qt.Equals, test.status)
			qt.Assert(t, p.Reason, qt.Equals, test.reason)
			qt.Assert(t, p.Outcome, qt.Equals, hitchoutcome.NotRun)
			qt.Assert(t, w.Header().Get("Content-Type"), qt.Equals, problemType)
			qt.Assert(t, w.Header().Get("Retry-After") != "", qt.Equals, test.status == 503)
		})
	}
}

func FuzzChatInput(f *testing.F) {
	f.Add([]byte(goodChat), "chat-1", "1000")
	f.Add([]byte(`{"messages":[{"content":[{"type":"text"}]}],"model":"guide-llm","stream":true}`), "", "")
	f.Add([]byte("\x00"), strings.Repeat("é", 150), "-1")
	handler := testHandler(f)
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

func TestPriorityOfAChat(t *testing.T) {
	tests := map[string]struct {
		asked   string
		ceiling int
		batch   bool
	}{
		"nothing asked":        {"", 1, false},
		"batch asked":          {"Batch", 1, true},
		"above the ceiling":    {"Interactive", 0, true},
		"batch, ceiling of it": {"Batch", 0, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := chatRequest(goodChat, http.Header{PriorityHeader: {test.asked}})
			got := isBatch(r, hitchconfig.Organisation{PriorityCeiling: test.ceiling})
			qt.Assert(t, got, qt.Equals, test.batch)
			qt.Assert(t, chatHeader(1, got).Get(PriorityHeader) == "", qt.Equals, test.batch)
		})
	}
}
