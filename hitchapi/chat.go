package hitchapi

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"

	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchforward"
	"citronhitch.example/citronhitch/hitchrouter"
)

// chatBody is the part of a chat completion request that the router reads (the
// OpenAI API's names). The whole body goes on to the engine as it came.
type chatBody struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	MaxTokens      int64  `json:"max_tokens"`
	PromptCacheKey string `json:"prompt_cache_key"`
}

// chatInput is empty: the handler reads the request itself, as huma would hold
// the answer back.
type chatInput struct{}

func (a *API) registerChat(api huma.API) {
	huma.Register(api, huma.Operation{
		OperationID: "chat",
		Method:      http.MethodPost,
		Path:        "/v1/chat/completions",
		Summary:     "Chat with a model; the body is that of the OpenAI chat completions API",
	}, func(context.Context, *chatInput) (*huma.StreamResponse, error) {
		return &huma.StreamResponse{Body: func(ctx huma.Context) {
			r, w := humago.Unwrap(ctx)
			a.serveChat(w, r)
		}}, nil
	})
}

func (a *API) serveChat(w http.ResponseWriter, r *http.Request) {
	chat, stream, err := a.readChat(w, r)
	if err != nil {
		WriteProblem(w, time.Now(), err)
		return
	}
	if stream {
		a.streamChat(w, r, chat)
		return
	}
	answer, err := a.Router.CompleteChat(r.Context(), chat)
	if err != nil {
		WriteProblem(w, time.Now(), err)
		return
	}
	writeAnswer(w, answer)
}

// readChat checks who asks and what for.
func (a *API) readChat(w http.ResponseWriter, r *http.Request) (_ hitchrouter.ChatRequest, stream bool, err error) {
	organisation, err := a.authenticate(r)
	if err != nil {
		return hitchrouter.ChatRequest{}, false, err
	}
	body, err := readBody(w, r, a.Router.BodyLimit())
	if err != nil {
		return hitchrouter.ChatRequest{}, false, err
	}
	var parsed chatBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return hitchrouter.ChatRequest{}, false, badRequest("the body is no chat completion request")
	}
	if len(parsed.Messages) == 0 {
		return hitchrouter.ChatRequest{}, false, badRequest("messages is empty")
	}
	route, err := a.Router.ModelRoute(organisation, hitchfleet.RouteID(parsed.Model))
	if err != nil {
		return hitchrouter.ChatRequest{}, false, err
	}
	chatID, err := chatIDOf(r, parsed)
	if err != nil {
		return hitchrouter.ChatRequest{}, false, err
	}
	deadline, err := deadlineOf(r, time.Now(), route.TimeoutMilliseconds)
	if err != nil {
		return hitchrouter.ChatRequest{}, false, err
	}
	isBatch := isBatch(r, organisation)
	return hitchrouter.ChatRequest{
		Organisation: organisation,
		Route:        route,
		ID:           chatID,
		Zone:         zoneOf(r),
		Batch:        isBatch,
		PromptBytes:  int64(len(body)),
		MaxTokens:    parsed.MaxTokens,
		Call: hitchforward.Call{
			Method:     http.MethodPost,
			Path:       "/v1/chat/completions",
			Header:     chatHeader(hitchrouter.ChatKey(organisation.ID, chatID), isBatch),
			Body:       body,
			Idempotent: true,
			Deadline:   deadline,
		},
	}, parsed.Stream, nil
}

// chatIDOf returns the name of a chat: the caller's own, or for a caller that
// gives none the first message, by which the engine's prefix cache would know it.
func chatIDOf(r *http.Request, body chatBody) (string, error) {
	id, err := nameOf(r, ChatHeader)
	if err != nil || id != "" {
		return id, err
	}
	if body.PromptCacheKey != "" {
		return body.PromptCacheKey, nil
	}
	return string(body.Messages[0].Content), nil
}

// interactivePriority is what an organisation's ceiling must reach for its work to
// go before batch work, and what engines are told.
const interactivePriority = 1

// isBatch tells whether a chat waits behind interactive work: the caller says so,
// or its organisation may not ask for more.
func isBatch(r *http.Request, organisation hitchconfig.Organisation) bool {
	return r.Header.Get(PriorityHeader) == "Batch" || organisation.PriorityCeiling < interactivePriority
}

// chatHeader returns the header fields that go on to the engine.
func chatHeader(key hitchfleet.Key, isBatch bool) http.Header {
	header := make(http.Header)
	header.Set("Content-Type", "application/json")
	header.Set(ChatHeader, strconv.FormatUint(uint64(key), 16))
	if !isBatch {
		header.Set(PriorityHeader, strconv.Itoa(interactivePriority))
	}
	return header
}

func (a *API) streamChat(w http.ResponseWriter, r *http.Request, chat hitchrouter.ChatRequest) {
	out := newEventWriter(w)
	done := make(chan struct{})
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		out.keepAlive(done)
	}()
	var whole *hitchforward.Response
	err := a.Router.StreamChat(r.Context(), chat, &hitchforward.Stream{
		Call:       chat.Call,
		OnHeader:   out.head,
		Deliver:    out.deliver,
		OnResponse: func(answer *hitchforward.Response) { whole = answer },
	})
	close(done)
	<-finished
	switch {
	case err != nil && out.hasStarted():
		out.fail(err)
		panic(http.ErrAbortHandler)
	case err != nil:
		WriteProblem(w, time.Now(), err)
	case whole != nil:
		writeAnswer(w, whole)
	}
}

// writeAnswer sends a whole answer with its length, so that a cut shows.
func writeAnswer(w http.ResponseWriter, answer *hitchforward.Response) {
	header := w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	header.Set("X-Outcome", "Ran")
	header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeLimit))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}
