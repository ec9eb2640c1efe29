package hitchfake

import (
	"cmp"
	"errors"
	"slices"
	"time"
)

var (
	errEngineFull    = errors.New("the waiting queue is full")
	errAttemptExists = errors.New("the attempt ID is in use")
	errFellOver      = errors.New("the engine fell over")
	errNoModel       = errors.New("the model isn't loaded")
)

// submit queues a stream and starts the batch if it stands still.
func (e *Engine) submit(s *stream) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sweep(time.Now())
	if _, ok := e.streams[s.attempt]; ok {
		return errAttemptExists
	}
	if e.orders.unloaded[s.request.Model] || !e.orders.held.serves(s.version, time.Now()) {
		return errNoModel
	}
	if cold, _ := e.coldState(); cold && len(e.running)+len(e.waiting) >= cmp.Or(e.ColdLimit, defaultColdLimit) {
		e.fallOver()
		return errFellOver
	}
	if len(e.waiting) >= cmp.Or(e.MaxWaiting, defaultMaxWaiting) {
		return errEngineFull
	}
	if e.streams == nil {
		e.streams = make(map[string]*stream)
	}
	e.submitted++
	s.number = e.submitted
	s.changed = make(chan struct{})
	s.attach()
	e.streams[s.attempt] = s
	e.waiting = append(e.waiting, s)
	if !e.batching {
		e.batching = true
		go e.batch()
	}
	return nil
}

// sweep forgets ended streams that nobody reads. It needs the lock.
func (e *Engine) sweep(now time.Time) {
	for attempt, s := range e.streams {
		if s.ended() && s.isDropped(now) {
			delete(e.streams, attempt)
		}
	}
}

// batch admits waiting streams and runs a step; its work is done once the time
// that the step takes is over. It stands still when nothing runs.
func (e *Engine) batch() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.dropUnread(now)
	e.admit()
	e.loads.add(now, e.load(now))
	if len(e.running) == 0 {
		e.batching = false
		return
	}
	step := e.stepTime()
	time.AfterFunc(step, func() {
		e.work(step)
		e.batch()
	})
}

// dropUnread cancels streams that lost their connection a while ago.
func (e *Engine) dropUnread(now time.Time) {
	gone := func(s *stream) bool {
		if s.isDropped(now) {
			s.end(streamCancelled)
			return true
		}
		return s.ended()
	}
	e.running = slices.DeleteFunc(e.running, gone)
	e.waiting = slices.DeleteFunc(e.waiting, gone)
}

// admit starts waiting streams, those of higher priority first.
func (e *Engine) admit() {
	slices.SortFunc(e.waiting, func(a, b *stream) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.number, b.number))
	})
	room := cmp.Or(e.MaxRunning, defaultMaxRunning) - len(e.running)
	n := min(max(room, 0), len(e.waiting))
	for _, s := range e.waiting[:n] {
		s.state = streamRunning
		s.cached = e.cache.lookup(PrefixHashes(s.request.Model, s.request.Messages))
		s.prefill = float64(max(0, s.prompt-s.cached))
		e.running = append(e.running, s)
	}
	e.waiting = slices.Delete(e.waiting, 0, n)
}

func (e *Engine) stepTime() time.Duration {
	seconds := 1 / cmp.Or(e.TokensPerSecond, defaultTokensPerSecond)
	seconds *= 1 + cmp.Or(e.BatchSlowdown, defaultBatchSlowdown)*float64(len(e.running)-1)
	step := time.Duration(seconds * float64(time.Second))
	if fault, ok := e.Faults.first(FaultSlow); ok {
		step += fault.delay()
	}
	return step
}

// work shares a step's prefill among the running streams in turn and gives each
// one whose prompt is done a token.
func (e *Engine) work(step time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	prefill := cmp.Or(e.PrefillPerSecond, defaultPrefillPerSecond) * step.Seconds()
	for _, s := range e.running {
		if s.ended() {
			continue
		}
		if s.prefill > 0 {
			part := min(prefill, s.prefill)
			prefill -= part
			s.prefill -= part
			if s.prefill > 0 {
				continue
			}
			e.store(s, s.request.Messages)
		}
		s.made++
		s.wake()
		if s.made == len(s.tokens) {
			e.finish(s)
		}
	}
	e.running = slices.DeleteFunc(e.running, (*stream).ended)
}

// finish ends a stream and caches the chat with its answer.
func (e *Engine) finish(s *stream) {
	answer := Message{Role: "assistant", Content: Answer(s.request)}
	e.store(s, append(slices.Clone(s.request.Messages), answer))
	s.end(streamDone)
}

// store caches the prefixes of a chat.
func (e *Engine) store(s *stream, messages []Message) {
	e.cache.limit = cmp.Or(e.CacheTokens, defaultCacheTokens)
	hashes := PrefixHashes(s.request.Model, messages)
	blocks := make([]CacheBlock, len(messages))
	for i, m := range messages {
		blocks[i] = CacheBlock{Hash: hashes[i+1], Tokens: countTokens(m.Content)}
	}
	e.cache.store(blocks, &e.Faults)
	if s.chat == "" {
		return
	}
	if e.chats == nil {
		e.chats = make(map[string]chatPrefix)
	}
	e.chats[s.chat] = chatPrefix{model: s.request.Model, blocks: blocks}
}
