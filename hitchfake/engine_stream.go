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
	streamAborted
)

// stream is one generation of an engine. The engine's mu guards it.
type stream struct {
	attempt string
	// responseAttempt is the attempt ID in responses.
	responseAttempt  string
	chat             string
	version          string // requested version; empty means any
	request          ChatRequest
	tokens           []string
	promptTokens     int
	cachedTokens     int
	prefillRemaining float64
	priority         int
	number           uint64
	state            streamState
	generated        int
	created          time.Time
	readers          int
	// expiresAt is when a stream without readers expires.
	expiresAt time.Time
	changed   chan struct{}
}

// notifyReaders wakes up the readers that wait for a change.
func (s *stream) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) end(state streamState) {
	s.state = state
	s.notifyReaders()
}

func (s *stream) isEnded() bool { return s.state >= streamDone }

func (s *stream) outstandingTokens() int {
	return int(s.prefillRemaining) + len(s.tokens) - s.generated
}

func (s *stream) addReader() { s.readers++ }

func (s *stream) removeReader(now time.Time) {
	s.readers--
	if s.readers == 0 {
		s.expiresAt = now.Add(detachedStreamTTL)
	}
}

func (s *stream) isExpired(now time.Time) bool {
	return s.readers == 0 && !now.Before(s.expiresAt)
}

func (s *stream) usage() *Usage {
	return &Usage{
		PromptTokens:        s.promptTokens,
		CompletionTokens:    s.generated,
		TotalTokens:         s.promptTokens + s.generated,
		PromptTokensDetails: PromptDetails{CachedTokens: s.cachedTokens},
	}
}

func (s *stream) finishReason() string {
	if s.request.MaxTokens > 0 && len(s.tokens) == s.request.MaxTokens {
		return "length"
	}
	return "stop"
}
