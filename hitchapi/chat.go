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

// chatBody holds the fields of a chat completion request that the router uses,
// under the names of the OpenAI API. The engine receives the original body
// unchanged.
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

// chatInput is empty because the handler reads the request itself: huma would
// buffer the response, which has to be streamed.
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
	chat, isStreaming, err := a.parseChatRequest(w, r)
	if err != nil {
		WriteProblem(w, time.Now(), err)
		return
	}
	if isStreaming {
		a.streamChat(w, r, chat)
		return
	}
	response, err := a.Router.CompleteChat(r.Context(), chat)
	if err != nil {
		WriteProblem(w, time.Now(), err)
		return
	}
	writeResponse(w, response)
}

// parseChatRequest authenticates the caller and validates its chat request.
func (a *API) parseChatRequest(w http.ResponseWriter, r *http.Request) (_ hitchrouter.ChatRequest, isStreaming bool, err error) {
	organisation, err := a.authenticate(r)
	if err != nil {
		return hitchrouter.ChatRequest{}, false, err
	}
	body, err := a.readBody(w, r)
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
	chatID, err := requestChatID(r, parsed)
	if err != nil {
		return hitchrouter.ChatRequest{}, false, err
	}
	deadline, err := requestDeadline(r, time.Now(), route.TimeoutMilliseconds)
	if err != nil {
		return hitchrouter.ChatRequest{}, false, err
	}
	isBatch := isBatch(r, organisation)
	var parts []hitchfleet.PartID
	for _, message := range parsed.Messages {
		parts = append(parts, hitchrouter.MessagePart(message.Role, string(message.Content)))
	}
	return hitchrouter.ChatRequest{
		Parts:        parts,
		Organisation: organisation,
		Route:        route,
		ID:           chatID,
		Zone:         requestZone(r),
		Batch:        isBatch,
		PromptBytes:  int64(len(body)),
		MaxTokens:    parsed.MaxTokens,
		Call: hitchforward.Call{
			Method:     http.MethodPost,
			Path:       "/v1/chat/completions",
			Header:     engineHeader(hitchrouter.ChatKey(organisation.ID, chatID), isBatch),
			Body:       body,
			Idempotent: true,
			Deadline:   deadline,
		},
	}, parsed.Stream, nil
}

// requestChatID returns the ID of a chat: ChatHeader or else prompt_cache_key. For
// a caller that sends neither it is the first message, because all turns of a chat
// share it, as they share the prefix in the engine's cache.
func requestChatID(r *http.Request, body chatBody) (string, error) {
	id, err := shortHeader(r, ChatHeader)
	if err != nil || id != "" {
		return id, err
	}
	if body.PromptCacheKey != "" {
		return body.PromptCacheKey, nil
	}
	return string(body.Messages[0].Content), nil
}

// interactivePriority is the priority that the router sends to engines for
// interactive requests. An organisation whose PriorityCeiling is lower can send
// only batch requests.
const interactivePriority = 1

// isBatch reports whether a chat has batch priority, which is lower than
// interactive priority: either the caller requested it, or its organisation isn't
// allowed a higher one.
func isBatch(r *http.Request, organisation hitchconfig.Organisation) bool {
	return r.Header.Get(PriorityHeader) == "Batch" || organisation.PriorityCeiling < interactivePriority
}

// engineHeader returns the header fields of the request to the engine.
func engineHeader(key hitchfleet.Key, isBatch bool) http.Header {
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
	heartbeatsStopped := make(chan struct{})
	go func() {
		defer close(heartbeatsStopped)
		out.sendHeartbeats(done)
	}()
	var response *hitchforward.Response
	err := a.Router.StreamChat(r.Context(), chat, &hitchforward.Stream{
		Call:       chat.Call,
		OnHeader:   out.writeHeader,
		Deliver:    out.writeEvent,
		OnResponse: func(r *hitchforward.Response) { response = r },
	})
	close(done)
	<-heartbeatsStopped
	switch {
	case err != nil && out.hasSentHeader():
		out.writeError(err)
		panic(http.ErrAbortHandler)
	case err != nil:
		WriteProblem(w, time.Now(), err)
	case response != nil:
		writeResponse(w, response)
	}
}

// writeResponse sends a complete response with its Content-Length, so that the
// caller detects a truncated body.
func writeResponse(w http.ResponseWriter, response *hitchforward.Response) {
	header := w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	header.Set("X-Outcome", "Ran")
	header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}
