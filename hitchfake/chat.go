package hitchfake

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Message is one message of a chat. The names in JSON are those of the OpenAI
// chat completions API, as for the other types of this file.
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
	// MinTokens is an extension of several engines; it makes an answer longer.
	MinTokens int `json:"min_tokens,omitempty"`
	// PromptCacheKey names the chat if the X-Chat-Id header doesn't.
	PromptCacheKey string `json:"prompt_cache_key,omitempty"`
}

// ChatAnswer is a whole answer, or one chunk of a streamed one.
type ChatAnswer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is one answer among several; the engine gives one.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Delta   `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Delta is what a chunk adds to a streamed answer.
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

// PromptDetails says how much of a prompt came from the cache.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// ChatProblem is an error answer of the chat completions API.
type ChatProblem struct {
	Error ChatError `json:"error"`
}

// ChatError is the error in a ChatProblem.
type ChatError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

const (
	minAnswerTokens   = 16
	answerTokenSpread = 32
	bytesPerToken     = 4
)

var answerWords = strings.Fields("reef kelp ray seal coral tide shell pearl wave otter gull crab drift foam squid shoal")

// Answer returns the whole text that an engine answers to a request. It depends
// on the model, the messages and the token limits alone.
//
//	want := hitchfake.Answer(hitchfake.ChatRequest{Model: "guide-llm", Messages: messages})
func Answer(r ChatRequest) string {
	return strings.Join(answerTokens(r), "")
}

// answerTokens returns the tokens of an answer. The first one names the prompt's
// hash, so that the answers to two prompts differ.
func answerTokens(r ChatRequest) []string {
	hashes := PrefixHashes(r.Model, r.Messages)
	h := hashes[len(hashes)-1]
	n := max(minAnswerTokens+int(h%answerTokenSpread), r.MinTokens)
	if r.MaxTokens > 0 {
		n = min(n, r.MaxTokens)
	}
	tokens := make([]string, n)
	tokens[0] = fmt.Sprintf("%016x", h)
	for i := 1; i < n; i++ {
		h = h*6364136223846793005 + 1442695040888963407 // Knuth's MMIX generator
		tokens[i] = " " + answerWords[h>>60]
	}
	return tokens
}

// PrefixHashes returns the hash of each prefix of a chat: element i covers the
// model and the messages before message i. The engine's cache is keyed by them.
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

// countTokens estimates the tokens of a text, one for four bytes.
func countTokens(text string) int {
	return (len(text) + bytesPerToken - 1) / bytesPerToken
}
