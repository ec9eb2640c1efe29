package hitchfake

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Message is one message of a chat. Its JSON names, and those of the other types
// of this file, are the ones of the OpenAI chat completions API.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the body of POST /v1/chat/completions.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	// MinTokens is the minimum length of the response, an extension that several
	// engines have.
	MinTokens int `json:"min_tokens,omitempty"`
	// PromptCacheKey is the chat's ID if there is no X-Chat-Id header.
	PromptCacheKey string `json:"prompt_cache_key,omitempty"`
}

// ChatResponse is a complete response, or one chunk of a streamed response.
type ChatResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is one of the alternative completions of a response. The engine always
// returns exactly one.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Delta   `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Delta is the text that a chunk appends to a streamed response.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Usage counts the tokens of a request.
type Usage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	TotalTokens         int           `json:"total_tokens"`
	PromptTokensDetails PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails counts the prompt tokens that were found in the prefix cache.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// ChatErrorResponse is an error response of the chat completions API.
type ChatErrorResponse struct {
	Error ChatError `json:"error"`
}

// ChatError describes the error in a ChatErrorResponse.
type ChatError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

const (
	minResponseTokens   = 16
	extraResponseTokens = 32
	bytesPerToken       = 4
)

var responseWords = strings.Fields("reef kelp ray seal coral tide shell pearl wave otter gull crab drift foam squid shoal")

// ResponseText returns the complete text of an engine's response to a request. It
// depends only on the model, the messages and the token limits.
//
//	want := hitchfake.ResponseText(hitchfake.ChatRequest{Model: "guide-llm", Messages: messages})
func ResponseText(r ChatRequest) string {
	return strings.Join(responseTokens(r), "")
}

// responseTokens returns the tokens of a response. The first one is the prompt's
// hash, so that different prompts get different responses.
func responseTokens(r ChatRequest) []string {
	hashes := PrefixHashes(r.Model, r.Messages)
	h := hashes[len(hashes)-1]
	n := max(minResponseTokens+int(h%extraResponseTokens), r.MinTokens)
	if r.MaxTokens > 0 {
		n = min(n, r.MaxTokens)
	}
	tokens := make([]string, n)
	tokens[0] = fmt.Sprintf("%016x", h)
	for i := 1; i < n; i++ {
		h = h*6364136223846793005 + 1442695040888963407 // Knuth's MMIX generator
		tokens[i] = " " + responseWords[h>>60]
	}
	return tokens
}

// PrefixHashes returns the hash of each prefix of a chat: element i covers the
// model and the messages before message i. They are the keys of the engine's
// prefix cache.
func PrefixHashes(model string, messages []Message) []uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(model)
	hashes := make([]uint64, 0, len(messages)+1)
	hashes = append(hashes, d.Sum64())
	for _, m := range messages {
		_, _ = d.WriteString("\x00" + m.Role + "\x00" + m.Content)
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}

// countTokens estimates the number of tokens of a text, at four bytes a token.
func countTokens(text string) int {
	return (len(text) + bytesPerToken - 1) / bytesPerToken
}
