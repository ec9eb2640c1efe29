package hitchclient

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"
)

// ErrTruncated reports that a streamed response ended without its final [DONE] event.
var ErrTruncated = errors.New("hitchclient: response truncated: the stream ended without [DONE]")

// ErrInactivityTimeout reports that no data was received on a connection within the
// inactivity timeout. A retry on a new connection may succeed.
var ErrInactivityTimeout = errors.New("hitchclient: connection timed out without data")

// maxEventBytes limits the length of one line of a streamed response.
const maxEventBytes = 1 << 20

// ChatResponse is a streamed response that was received up to its end.
type ChatResponse struct {
	// Text is the complete text of the response.
	Text string
	// PromptTokens is the number of tokens of the prompt, and CachedTokens how many
	// of them were cached, both as reported by the engine.
	PromptTokens int
	CachedTokens int
	// Router is the address of the router, and AttemptID the ID of the router's
	// attempt at an endpoint.
	Router    string
	AttemptID string
	// Started, FirstToken and Ended are times of the last attempt.
	Started    time.Time
	FirstToken time.Time
	Ended      time.Time
	// Tokens is the number of events that contained text.
	Tokens int
	// Attempts is the number of attempts made.
	Attempts int
}

// Chat sends one turn of a chat and returns the complete streamed response. The
// body is a request of the OpenAI chat completions API with stream set. onToken, if
// not nil, is called with each piece of text as it arrives; a retry after a failure
// starts again with the first piece.
func (c *Client) Chat(ctx context.Context, chat string, body []byte, onToken func(string)) (response ChatResponse, err error) {
	for attempt := range c.maxAttempts() {
		var address Address
		address, err = c.Address(ctx, chat)
		if err == nil {
			router := address.Addresses[attempt%len(address.Addresses)]
			response, err = c.chatAt(ctx, router, chat, body, onToken)
		}
		response.Attempts = attempt + 1
		if err == nil || ctx.Err() != nil {
			return response, err
		}
		c.dropCachedAddress(chat)
		retryAt, canRetry := retryTime(err)
		if !canRetry || attempt+1 == c.maxAttempts() || waitToRetry(ctx, retryAt) != nil {
			return response, err
		}
	}
	return response, err
}

// chatAt makes one attempt at a turn of a chat, at the given router.
func (c *Client) chatAt(ctx context.Context, router, chat string, body []byte, onToken func(string)) (result ChatResponse, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(c.attemptTimeout(), func() { cancel(ErrInactivityTimeout) })
	defer watchdog.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(router, "/v1/chat/completions"), bytes.NewReader(body))
	if err != nil {
		return result, err
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Chat-Id", chat)
	request.Header.Set("X-Availability-Zone", c.Zone)
	result.Started, result.Router = time.Now(), router
	response, err := c.httpClient().Do(request)
	if err != nil {
		return result, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.Header.Get("X-Router-Leaving") != "" {
		c.dropCachedAddress(chat)
	}
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
		return result, parseProblem(response, text)
	}
	result.AttemptID = response.Header.Get("X-Attempt-Id")
	err = result.readEvents(response, func() { watchdog.Reset(c.inactivityTimeout()) }, onToken)
	if errors.Is(context.Cause(ctx), ErrInactivityTimeout) {
		err = ErrInactivityTimeout
	}
	result.Ended = time.Now()
	return result, err
}

// chunk holds the fields of an event that the client uses, under the names of the
// OpenAI API.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens        int `json:"prompt_tokens"`
		PromptTokensDetails struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// readEvents reads events until the [DONE] event. It calls onLine for each line
// received, comments included.
func (r *ChatResponse) readEvents(response *http.Response, onLine func(), onToken func(string)) error {
	var text strings.Builder
	defer func() { r.Text = text.String() }()
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, maxEventBytes)
	isError := false
	for scanner.Scan() {
		onLine()
		line := scanner.Text()
		isError = isError || line == "event: error"
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case !ok:
			continue
		case isError:
			return parseProblem(response, []byte(data))
		case data == "[DONE]":
			return nil
		}
		token, err := r.applyEvent(data)
		if err != nil {
			return err
		}
		text.WriteString(token)
		if onToken != nil && token != "" {
			onToken(token)
		}
	}
	return errors.Join(ErrTruncated, scanner.Err())
}

// applyEvent decodes one event, updates the counts and times of r, and returns the
// event's text.
func (r *ChatResponse) applyEvent(data string) (string, error) {
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return "", err
	}
	if c.Usage != nil {
		r.PromptTokens, r.CachedTokens = c.Usage.PromptTokens, c.Usage.PromptTokensDetails.CachedTokens
	}
	token := ""
	for _, choice := range c.Choices {
		token += choice.Delta.Content
	}
	if token != "" {
		r.Tokens++
		if r.FirstToken.IsZero() {
			r.FirstToken = time.Now()
		}
	}
	return token, nil
}
