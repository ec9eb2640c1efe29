package hitchfake

import (
	"cmp"
	"errors"
	"slices"
	"time"
)

var (
	errEngineFull     = errors.New("the waiting queue is full")
	errAttemptExists  = errors.New("the attempt ID is in use")
	errCrashed        = errors.New("the engine crashed")
	errModelNotLoaded = errors.New("the model isn't loaded")
)

// submit queues a stream and starts the batch loop if it isn't running.
func (e *Engine) submit(s *stream) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeExpiredStreams(time.Now())
	if _, ok := e.streams[s.attempt]; ok {
		return errAttemptExists
	}
	if e.orders.unloadedModels[s.request.Model] || !e.orders.loaded.isServing(s.version, time.Now()) {
		return errModelNotLoaded
	}
	if cold, _ := e.coldState(); cold && len(e.running)+len(e.waiting) >= cmp.Or(e.ColdLimit, defaultColdLimit) {
		e.crash()
		return errCrashed
	}
	if len(e.waiting) >= cmp.Or(e.MaxWaiting, defaultMaxWaiting) {
		return errEngineFull
	}
	if e.streams == nil {
		e.streams = make(map[string]*stream)
	}
	e.submittedRequests++
	s.number = e.submittedRequests
	s.changed = make(chan struct{})
	s.addReader()
	e.streams[s.attempt] = s
	e.waiting = append(e.waiting, s)
	if !e.isBatching {
		e.isBatching = true
		go e.runBatch()
	}
	return nil
}

// removeExpiredStreams deletes ended streams without readers after their TTL.
// The caller must hold e.mu.
func (e *Engine) removeExpiredStreams(now time.Time) {
	for attempt, s := range e.streams {
		if s.isEnded() && s.isExpired(now) {
			delete(e.streams, attempt)
		}
	}
}

// runBatch starts waiting streams and then one step of the batch. Once the
// duration of the step has passed, it completes the step and starts the next one.
// The loop ends when no stream is running.
func (e *Engine) runBatch() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.removeFinishedStreams(now)
	e.startWaitingStreams()
	e.loadHistory.add(now, e.load(now))
	if len(e.running) == 0 {
		e.isBatching = false
		return
	}
	step := e.stepDuration()
	time.AfterFunc(step, func() {
		e.completeStep(step)
		e.runBatch()
	})
}

// removeFinishedStreams removes ended streams from the batch and the queue. It
// cancels those that have had no connection for detachedStreamTTL. The caller must
// hold e.mu.
func (e *Engine) removeFinishedStreams(now time.Time) {
	isFinished := func(s *stream) bool {
		if s.isExpired(now) {
			s.end(streamCancelled)
			return true
		}
		return s.isEnded()
	}
	e.running = slices.DeleteFunc(e.running, isFinished)
	e.waiting = slices.DeleteFunc(e.waiting, isFinished)
}

// startWaitingStreams moves waiting streams to the batch, by descending priority,
// as far as there are free slots. The caller must hold e.mu.
func (e *Engine) startWaitingStreams() {
	slices.SortFunc(e.waiting, func(a, b *stream) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.number, b.number))
	})
	freeSlots := cmp.Or(e.MaxRunning, defaultMaxRunning) - len(e.running)
	n := min(max(freeSlots, 0), len(e.waiting))
	for _, s := range e.waiting[:n] {
		s.state = streamRunning
		s.cachedTokens = e.cache.lookup(PrefixHashes(s.request.Model, s.request.Messages))
		s.prefillRemaining = float64(max(0, s.promptTokens-s.cachedTokens))
		e.running = append(e.running, s)
	}
	e.waiting = slices.Delete(e.waiting, 0, n)
}

func (e *Engine) stepDuration() time.Duration {
	seconds := 1 / cmp.Or(e.TokensPerSecond, defaultTokensPerSecond)
	seconds *= 1 + cmp.Or(e.BatchSlowdown, defaultBatchSlowdown)*float64(len(e.running)-1)
	step := time.Duration(seconds * float64(time.Second))
	if fault, ok := e.Faults.find(FaultSlow); ok {
		step += fault.delay()
	}
	return step
}

// completeStep spends the step's prefill budget on the running streams in order,
// and generates one token for each stream whose prefill is complete.
func (e *Engine) completeStep(step time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	budget := cmp.Or(e.PrefillTokensPerSecond, defaultPrefillTokensPerSecond) * step.Seconds()
	for _, s := range e.running {
		if s.isEnded() {
			continue
		}
		if s.prefillRemaining > 0 {
			prefilled := min(budget, s.prefillRemaining)
			budget -= prefilled
			s.prefillRemaining -= prefilled
			if s.prefillRemaining > 0 {
				continue
			}
			e.cacheChat(s, s.request.Messages)
		}
		s.generated++
		s.notifyReaders()
		if s.generated == len(s.tokens) {
			e.finishStream(s)
		}
	}
	e.running = slices.DeleteFunc(e.running, (*stream).isEnded)
}

// finishStream ends a stream and caches the chat including the response.
func (e *Engine) finishStream(s *stream) {
	response := Message{Role: "assistant", Content: ResponseText(s.request)}
	e.cacheChat(s, append(slices.Clone(s.request.Messages), response))
	s.end(streamDone)
}

// cacheChat adds the prefixes of a chat to the prefix cache.
func (e *Engine) cacheChat(s *stream, messages []Message) {
	e.cache.maxTokens = cmp.Or(e.CacheTokens, defaultCacheTokens)
	hashes := PrefixHashes(s.request.Model, messages)
	blocks := make([]CacheBlock, len(messages))
	for i, m := range messages {
		blocks[i] = CacheBlock{Hash: hashes[i+1], Tokens: countTokens(m.Content)}
	}
	e.cache.store(blocks, &e.Faults)
	if s.chat == "" {
		return
	}
	if e.chatPrefixes == nil {
		e.chatPrefixes = make(map[string]chatPrefix)
	}
	e.chatPrefixes[s.chat] = chatPrefix{model: s.request.Model, blocks: blocks}
}
