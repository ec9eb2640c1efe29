package hitchfake

import (
	"cmp"
	"container/list"
	"net/http"
	"strconv"
	"time"
)

// CacheBlock is the part of a prefix cache that one message takes.
type CacheBlock struct {
	// Hash is the hash of the chat up to the message and with it.
	Hash   uint64
	Tokens int
}

// CacheEventKind names what happened to a block.
type CacheEventKind string

// The kinds of cache events.
const (
	CacheStored  CacheEventKind = "Stored"
	CacheEvicted CacheEventKind = "Evicted"
)

// CacheEvent tells that a block was stored or evicted.
type CacheEvent struct {
	// Number rises by one with each event; a gap means that events were lost.
	Number uint64
	Kind   CacheEventKind
	Block  CacheBlock
	At     time.Time
}

// CacheEvents is the answer of GET /v1/cache/events.
type CacheEvents struct {
	Events []CacheEvent
	// Last is the number to ask after next time.
	Last uint64
}

// CacheExport is the body of GET and PUT /v1/cache/{chat}.
type CacheExport struct {
	Chat   string
	Model  string
	Blocks []CacheBlock
}

type chatPrefix struct {
	model  string
	blocks []CacheBlock
}

const maxCacheEvents = 1 << 16

// prefixCache keeps blocks up to a limit of tokens and evicts the least
// recently used one. The zero value is empty.
type prefixCache struct {
	limit  int // tokens
	tokens int
	blocks map[uint64]*list.Element
	recent list.List // of CacheBlock, most recently used first
	events []CacheEvent
	number uint64
}

// match returns how many of the hashes the longest cached prefix has, and its
// tokens. The first hash, that of the model alone, has no block.
func (c *prefixCache) match(hashes []uint64) (n, tokens int) {
	for n = 1; n < len(hashes); n++ {
		element, ok := c.blocks[hashes[n]]
		if !ok {
			break
		}
		tokens += element.Value.(CacheBlock).Tokens
	}
	return n, tokens
}

// lookup returns the tokens of the longest cached prefix and marks it as used.
func (c *prefixCache) lookup(hashes []uint64) (tokens int) {
	n, tokens := c.match(hashes)
	// Deep blocks first, so that a chat loses its newest messages first.
	for i := n - 1; i > 0; i-- {
		c.recent.MoveToFront(c.blocks[hashes[i]])
	}
	return tokens
}

// store adds the blocks of a chat, first message first. Blocks that the limit
// doesn't leave room for aren't kept.
func (c *prefixCache) store(blocks []CacheBlock, faults *Faults) {
	if c.blocks == nil {
		c.blocks = make(map[uint64]*list.Element)
	}
	room := 0
	for i, b := range blocks {
		room += b.Tokens
		if room > c.limit {
			blocks = blocks[:i]
			break
		}
	}
	for i := len(blocks) - 1; i >= 0; i-- {
		b := blocks[i]
		if element, ok := c.blocks[b.Hash]; ok {
			c.recent.MoveToFront(element)
			continue
		}
		c.blocks[b.Hash] = c.recent.PushFront(b)
		c.tokens += b.Tokens
		c.publish(CacheStored, b, faults)
	}
	for c.tokens > c.limit {
		element := c.recent.Back()
		b := c.recent.Remove(element).(CacheBlock)
		delete(c.blocks, b.Hash)
		c.tokens -= b.Tokens
		c.publish(CacheEvicted, b, faults)
	}
}

func (c *prefixCache) publish(kind CacheEventKind, b CacheBlock, faults *Faults) {
	c.number++
	if _, lost := faults.strike(FaultGap, ""); lost {
		return
	}
	if len(c.events) >= maxCacheEvents {
		c.events = append(c.events[:0], c.events[maxCacheEvents/2:]...)
	}
	c.events = append(c.events, CacheEvent{Number: c.number, Kind: kind, Block: b, At: time.Now()})
}

// after returns the events after a number that are old enough.
func (c *prefixCache) after(number uint64, until time.Time) CacheEvents {
	answer := CacheEvents{Events: []CacheEvent{}, Last: number}
	for _, event := range c.events {
		if event.Number > number && !event.At.After(until) {
			answer.Events = append(answer.Events, event)
			answer.Last = event.Number
		}
	}
	return answer
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Has("after") {
		writeProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	e.Faults.breakOff(r, false)
	e.mu.Lock()
	answer := e.cache.after(after, time.Now().Add(-millis(e.EventLagMillis, 0)))
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, answer)
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	e.Faults.breakOff(r, false)
	chat := r.PathValue("chat")
	e.mu.Lock()
	prefix := e.chats[chat]
	blocks := e.cache.kept(prefix.blocks)
	e.mu.Unlock()
	if len(blocks) == 0 {
		writeProblem(w, http.StatusNotFound, "nothing of the chat is cached")
		return
	}
	writeJSON(w, http.StatusOK, CacheExport{Chat: chat, Model: prefix.model, Blocks: blocks})
}

// kept returns the leading blocks that are cached.
func (c *prefixCache) kept(blocks []CacheBlock) []CacheBlock {
	for i, b := range blocks {
		if _, ok := c.blocks[b.Hash]; !ok {
			return blocks[:i]
		}
	}
	return blocks
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var body CacheExport
	if err := readJSON(r, &body); err != nil {
		writeProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	e.Faults.breakOff(r, false)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.limit = cmp.Or(e.CacheTokens, defaultCacheTokens)
	e.cache.store(body.Blocks, &e.Faults)
	if e.chats == nil {
		e.chats = make(map[string]chatPrefix)
	}
	e.chats[r.PathValue("chat")] = chatPrefix{model: body.Model, blocks: body.Blocks}
	w.WriteHeader(http.StatusNoContent)
}
