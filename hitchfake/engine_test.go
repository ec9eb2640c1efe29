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

// rig is a stand-in on an in-memory network.
type rig struct {
	t       *testing.T
	network Network
}

func newRig(t *testing.T, handler http.Handler) *rig {
	r := &rig{t: t}
	r.network.Serve("fake:80", handler)
	t.Cleanup(func() { qt.Check(t, r.network.Close(), qt.IsNil) })
	return r
}

// reply is an answer, or what came of it before the connection broke.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (r *rig) do(method, path string, body any, headers ...string) reply {
	text, err := json.Marshal(body)
	qt.Assert(r.t, err, qt.IsNil)
	q, err := http.NewRequestWithContext(r.t.Context(), method, "http://fake"+path, bytes.NewReader(text))
	qt.Assert(r.t, err, qt.IsNil)
	for i := 0; i < len(headers); i += 2 {
		q.Header.Set(headers[i], headers[i+1])
	}
	client := *r.network.Client()
	client.Timeout = 10 * time.Second
	response, err := client.Do(q)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(got), err: err}
}

func (r *rig) read(answer reply, into any) {
	qt.Assert(r.t, answer.err, qt.IsNil)
	qt.Assert(r.t, json.Unmarshal([]byte(answer.body), into), qt.IsNil, qt.Commentf("%s", answer.body))
}

func question(text string) ChatRequest {
	return ChatRequest{Model: testModel, Stream: true, Messages: []Message{{Role: "user", Content: text}}}
}

// textOf joins the tokens of a stream and says whether its end mark came.
func textOf(t *testing.T, body string) (text string, usage Usage, done bool) {
	lines := bufio.NewScanner(strings.NewReader(body))
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, usage, true
		}
		var chunk ChatAnswer
		qt.Assert(t, json.Unmarshal([]byte(data), &chunk), qt.IsNil)
		text += chunk.Choices[0].Delta.Content
		if chunk.Usage != nil {
			usage = *chunk.Usage
		}
	}
	return text, usage, false
}

func TestEngineAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var engine Engine
		r := newRig(t, engine.Handler())
		q := question("when do the otters eat?")
		got := r.do("POST", "/v1/chat/completions", q, AttemptHeader, "a1")
		text, usage, done := textOf(t, got.body)
		qt.Assert(t, text, qt.Equals, Answer(q))
		qt.Assert(t, done, qt.IsTrue)
		qt.Assert(t, got.header.Get(AttemptHeader), qt.Equals, "a1")
		qt.Assert(t, usage.PromptTokensDetails.CachedTokens, qt.Equals, 0)

		q.Stream = false
		q.Messages = append(q.Messages, Message{"assistant", text}, Message{"user", "and the rays?"})
		var whole ChatAnswer
		r.read(r.do("POST", "/v1/chat/completions", q, AttemptHeader, "a2"), &whole)
		qt.Assert(t, whole.Choices[0].Message.Content, qt.Equals, Answer(q))
		wantCached := countTokens(q.Messages[0].Content) + countTokens(text)
		qt.Assert(t, whole.Usage.PromptTokensDetails.CachedTokens, qt.Equals, wantCached)
	})
}

func TestEngineFaults(t *testing.T) {
	type test struct {
		fault Fault
		check func(t *testing.T, got reply, whole string)
	}
	broken := func(tokens int) func(*testing.T, reply, string) {
		return func(t *testing.T, got reply, whole string) {
			text, _, done := textOf(t, got.body)
			qt.Assert(t, got.err, qt.IsNotNil)
			qt.Assert(t, done, qt.IsFalse)
			qt.Assert(t, strings.HasPrefix(whole, text), qt.IsTrue)
			qt.Assert(t, len(strings.Fields(text)), qt.Equals, tokens)
		}
	}
	tests := map[string]test{
		"silent at once":    {Fault{Kind: FaultSilent}, broken(0)},
		"silent in between": {Fault{Kind: FaultSilent, AfterTokens: 5}, broken(5)},
		"cut at once":       {Fault{Kind: FaultCut}, broken(0)},
		"cut in between":    {Fault{Kind: FaultCut, AfterTokens: 7}, broken(7)},
		"refuse": {Fault{Kind: FaultRefuse}, func(t *testing.T, got reply, _ string) {
			qt.Assert(t, got.status, qt.Equals, http.StatusServiceUnavailable)
			qt.Assert(t, got.header.Get("Retry-After"), qt.Equals, "1")
		}},
		"crossed": {Fault{Kind: FaultCrossed}, func(t *testing.T, got reply, whole string) {
			text, _, _ := textOf(t, got.body)
			qt.Assert(t, got.header.Get(AttemptHeader), qt.Not(qt.Equals), "a1")
			qt.Assert(t, text, qt.Not(qt.Equals), whole)
		}},
		"late": {Fault{Kind: FaultLateAnswer, Millis: 4000}, func(t *testing.T, got reply, whole string) {
			text, _, _ := textOf(t, got.body)
			qt.Assert(t, text, qt.Equals, whole)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var engine Engine
				r := newRig(t, engine.Handler())
				test.fault.Times = 1
				engine.Faults.Set(test.fault)
				q := question("where is the tunnel?")
				start := time.Now()
				got := r.do("POST", "/v1/chat/completions", q, AttemptHeader, "a1")
				test.check(t, got, Answer(q))
				qt.Assert(t, time.Since(start) >= test.fault.delay(), qt.IsTrue)
				qt.Assert(t, engine.Faults.Active(), qt.HasLen, 0)
			})
		})
	}
}
