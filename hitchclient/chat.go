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

// ErrCut says that a streamed answer ended without its end mark.
var ErrCut = errors.New("hitchclient: the answer ended without its end mark")

// ErrSilent says that a connection carried nothing for too long. A new one may
// work.
var ErrSilent = errors.New("hitchclient: the connection went silent")

// maxEvent bounds one line of a streamed answer, in bytes.
const maxEvent = 1 << 20

// ChatAnswer is a whole streamed answer.
type ChatAnswer struct {
	// Text is the answer's whole text.
	Text string
	// PromptTokens and CachedTokens are the engine's count of the prompt, and of
	// the part of it that was cached.
	PromptTokens int
	CachedTokens int
	// Router is the address that served, and Attempt the endpoint's attempt.
	Router  string
	Attempt string
	// Started, FirstToken and Ended are the times of the try that succeeded.
	Started    time.Time
	FirstToken time.Time
	Ended      time.Time
	Tokens     int
	// Tries counts the requests that were sent.
	Tries int
}

// Chat sends one turn of a chat and returns the whole streamed answer. The body
// is that of the OpenAI chat completions API, with stream set. onToken, if not
// nil, sees the text as it comes; after a failure it sees it from the start again.
func (c *Client) Chat(ctx context.Context, chat string, body []byte, onToken func(string)) (answer ChatAnswer, err error) {
	for try := range c.tries() {
		var address Address
		address, err = c.Address(ctx, chat)
		if err == nil {
			router := address.Addresses[try%len(address.Addresses)]
			answer, err = c.chatAt(ctx, router, chat, body, onToken)
		}
		answer.Tries = try + 1
		if err == nil || ctx.Err() != nil {
			return answer, err
		}
		c.forget(chat)
		at, again := mayComeBack(err)
		if !again || try+1 == c.tries() || pause(ctx, at) != nil {
			return answer, err
		}
	}
	return answer, err
}

// chatAt sends the turn to one router.
func (c *Client) chatAt(ctx context.Context, router, chat string, body []byte, onToken func(string)) (a ChatAnswer, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(c.tryLimit(), func() { cancel(ErrSilent) })
	defer watchdog.Stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(router, "/v1/chat/completions"), bytes.NewReader(body))
	if err != nil {
		return a, err
	}
	r.Header.Set("Authorization", "Bearer "+c.Key)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Chat-Id", chat)
	r.Header.Set("X-Availability-Zone", c.Zone)
	a.Started, a.Router = time.Now(), router
	response, err := c.client().Do(r)
	if err != nil {
		return a, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.Header.Get("X-Router-Leaving") != "" {
		c.forget(chat)
	}
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxBody))
		return a, problemOf(response, text)
	}
	a.Attempt = response.Header.Get("X-Attempt-Id")
	err = a.read(response, func() { watchdog.Reset(c.silence()) }, onToken)
	if errors.Is(context.Cause(ctx), ErrSilent) {
		err = ErrSilent
	}
	a.Ended = time.Now()
	return a, err
}

// chunk is what the client reads of an event (the OpenAI API's names).
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

// read takes the events up to the end mark. heard is called for each line.
func (a *ChatAnswer) read(response *http.Response, heard func(), onToken func(string)) error {
	var text strings.Builder
	defer func() { a.Text = text.String() }()
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, maxEvent)
	isError := false
	for scanner.Scan() {
		heard()
		line := scanner.Text()
		isError = isError || line == "event: error"
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case !ok:
			continue
		case isError:
			return problemOf(response, []byte(data))
		case data == "[DONE]":
			return nil
		}
		token, err := a.take(data)
		if err != nil {
			return err
		}
		text.WriteString(token)
		if onToken != nil && token != "" {
			onToken(token)
		}
	}
	return errors.Join(ErrCut, scanner.Err())
}

// take reads one event and returns its text.
func (a *ChatAnswer) take(data string) (string, error) {
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return "", err
	}
	if c.Usage != nil {
		a.PromptTokens, a.CachedTokens = c.Usage.PromptTokens, c.Usage.PromptTokensDetails.CachedTokens
	}
	token := ""
	for _, choice := range c.Choices {
		token += choice.Delta.Content
	}
	if token != "" {
		a.Tokens++
		if a.FirstToken.IsZero() {
			a.FirstToken = time.Now()
		}
	}
	return token, nil
}
