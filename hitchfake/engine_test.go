package hitchfake

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

const testModel = "guide-llm"

// testServer is a server of this package on an in-memory network.
type testServer struct {
	t       *testing.T
	network Network
}

func newTestServer(t *testing.T, handler http.Handler) *testServer {
	s := &testServer{t: t}
	s.network.Serve("fake:80", handler)
	t.Cleanup(func() { qt.Check(t, s.network.Close(), qt.IsNil) })
	return s
}

// testResponse is a response, or the part received before an error.
type testResponse struct {
	status int
	header http.Header
	body   string
	err    error
}

func (s *testServer) send(method, path string, body any, headers ...string) testResponse {
	text, err := json.Marshal(body)
	qt.Assert(s.t, err, qt.IsNil)
	request, err := http.NewRequestWithContext(s.t.Context(), method, "http://fake"+path, bytes.NewReader(text))
	qt.Assert(s.t, err, qt.IsNil)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	client := *s.network.Client()
	client.Timeout = 10 * time.Second
	response, err := client.Do(request)
	if err != nil {
		return testResponse{err: err}
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	return testResponse{status: response.StatusCode, header: response.Header, body: string(got), err: err}
}

func (s *testServer) decode(response testResponse, target any) {
	qt.Assert(s.t, response.err, qt.IsNil)
	qt.Assert(s.t, json.Unmarshal([]byte(response.body), target), qt.IsNil, qt.Commentf("%s", response.body))
}

func newChatRequest(text string) ChatRequest {
	return ChatRequest{Model: testModel, Stream: true, Messages: []Message{{Role: "user", Content: text}}}
}

// joinStream joins the tokens of a stream and reports whether it ended with the
// [DONE] marker.
func joinStream(t *testing.T, body string) (text string, usage Usage, done bool) {
	lines := bufio.NewScanner(strings.NewReader(body))
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, usage, true
		}
		var chunk ChatResponse
		qt.Assert(t, json.Unmarshal([]byte(data), &chunk), qt.IsNil)
		text += chunk.Choices[0].Delta.Content
		if chunk.Usage != nil {
			usage = *chunk.Usage
		}
	}
	return text, usage, false
}

func TestEngineChatResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var engine Engine
		server := newTestServer(t, engine.Handler())
		request := newChatRequest("when do the otters eat?")
		got := server.send("POST", "/v1/chat/completions", request, AttemptHeader, "a1")
		text, usage, done := joinStream(t, got.body)
		qt.Assert(t, text, qt.Equals, ResponseText(request))
		qt.Assert(t, done, qt.IsTrue)
		qt.Assert(t, got.header.Get(AttemptHeader), qt.Equals, "a1")
		qt.Assert(t, usage.PromptTokensDetails.CachedTokens, qt.Equals, 0)

		request.Stream = false
		request.Messages = append(request.Messages, Message{"assistant", text}, Message{"user", "and the rays?"})
		var complete ChatResponse
		server.decode(server.send("POST", "/v1/chat/completions", request, AttemptHeader, "a2"), &complete)
		qt.Assert(t, complete.Choices[0].Message.Content, qt.Equals, ResponseText(request))
		wantCached := countTokens(request.Messages[0].Content) + countTokens(text)
		qt.Assert(t, complete.Usage.PromptTokensDetails.CachedTokens, qt.Equals, wantCached)
	})
}

func TestEngineFaults(t *testing.T) {
	type test struct {
		fault Fault
		check func(t *testing.T, got testResponse, complete string)
	}
	isCutAfter := func(tokens int) func(*testing.T, testResponse, string) {
		return func(t *testing.T, got testResponse, complete string) {
			text, _, done := joinStream(t, got.body)
			qt.Assert(t, got.err, qt.IsNotNil)
			qt.Assert(t, done, qt.IsFalse)
			qt.Assert(t, strings.HasPrefix(complete, text), qt.IsTrue)
			qt.Assert(t, len(strings.Fields(text)), qt.Equals, tokens)
		}
	}
	tests := map[string]test{
		"silent at start":  {Fault{Kind: FaultHang}, isCutAfter(0)},
		"silent in stream": {Fault{Kind: FaultHang, AfterTokens: 5}, isCutAfter(5)},
		"cut at start":     {Fault{Kind: FaultDisconnect}, isCutAfter(0)},
		"cut in stream":    {Fault{Kind: FaultDisconnect, AfterTokens: 7}, isCutAfter(7)},
		"refuse": {Fault{Kind: FaultRefuse}, func(t *testing.T, got testResponse, _ string) {
			qt.Assert(t, got.status, qt.Equals, http.StatusServiceUnavailable)
			qt.Assert(t, got.header.Get("Retry-After"), qt.Equals, "1")
		}},
		"crossed": {Fault{Kind: FaultSwapResponse}, func(t *testing.T, got testResponse, complete string) {
			text, _, _ := joinStream(t, got.body)
			qt.Assert(t, got.header.Get(AttemptHeader), qt.Not(qt.Equals), "a1")
			qt.Assert(t, text, qt.Not(qt.Equals), complete)
		}},
		"late": {Fault{Kind: FaultDelayResponse, Millis: 4000}, func(t *testing.T, got testResponse, complete string) {
			text, _, _ := joinStream(t, got.body)
			qt.Assert(t, text, qt.Equals, complete)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var engine Engine
				server := newTestServer(t, engine.Handler())
				test.fault.Times = 1
				engine.Faults.Set(test.fault)
				request := newChatRequest("where is the tunnel?")
				start := time.Now()
				got := server.send("POST", "/v1/chat/completions", request, AttemptHeader, "a1")
				test.check(t, got, ResponseText(request))
				qt.Assert(t, time.Since(start) >= test.fault.delay(), qt.IsTrue)
				qt.Assert(t, engine.Faults.Active(), qt.HasLen, 0)
			})
		})
	}
}
