package hitchfake

import (
	"time"
)

type streamState uint8

const (
	streamWaiting streamState = iota
	streamRunning
	streamDone
	streamCancelled
	streamBroken
)

// stream is one generation of an engine. The engine's lock guards it.
type stream struct {
	attempt string
	// shown is the attempt ID that answers carry.
	shown    string
	chat     string
	version  string // that is asked for; empty means any
	request  ChatRequest
	tokens   []string
	prompt   int // tokens
	cached   int // tokens
	prefill  float64
	priority int
	number   uint64
	state    streamState
	made     int
	created  time.Time
	readers  int
	// dropAt is when a stream without a connection is dropped.
	dropAt  time.Time
	changed chan struct{}
}

// wake lets the readers of the stream look again.
func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) end(state streamState) {
	s.state = state
	s.wake()
}

func (s *stream) ended() bool { return s.state >= streamDone }

func (s *stream) outstanding() int { return int(s.prefill) + len(s.tokens) - s.made }

func (s *stream) attach() { s.readers++ }

func (s *stream) detach(now time.Time) {
	s.readers--
	if s.readers == 0 {
		s.dropAt = now.Add(streamLinger)
	}
}

func (s *stream) isDropped(now time.Time) bool {
	return s.readers == 0 && !now.Before(s.dropAt)
}

func (s *stream) usage() *Usage {
	return &Usage{
		PromptTokens:        s.prompt,
		CompletionTokens:    s.made,
		TotalTokens:         s.prompt + s.made,
		PromptTokensDetails: PromptDetails{CachedTokens: s.cached},
	}
}

func (s *stream) finishReason() string {
	if s.request.MaxTokens > 0 && len(s.tokens) == s.request.MaxTokens {
		return "length"
	}
	return "stop"
}
