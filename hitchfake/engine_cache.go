package hitchfake

import (
	"cmp"
	"container/list"
	"net/http"
	"strconv"
	"time"
)

// CacheBlock is the entry of one message in a prefix cache.
type CacheBlock struct {
	// Hash is the hash of the chat up to and including the message.
	Hash   uint64
	Tokens int
}

// CacheEventKind is the kind of a cache event.
type CacheEventKind string

// The kinds of cache events.
const (
	CacheStored  CacheEventKind = "Stored"
	CacheEvicted CacheEventKind = "Evicted"
)

// CacheEvent reports that a block was stored or evicted.
type CacheEvent struct {
	// Number increases by one with each event. A gap means that events were lost.
	Number uint64
	Kind   CacheEventKind
	Block  CacheBlock
	At     time.Time
}

// CacheEvents is the response of GET /v1/cache/events.
type CacheEvents struct {
	Events []CacheEvent
	// Last is the number to pass in the parameter "after" of the next request.
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

// prefixCache is an LRU cache of blocks, bounded by their tokens. The zero value
// is empty.
type prefixCache struct {
	maxTokens  int
	tokens     int
	blocks     map[uint64]*list.Element
	lru        list.List // of CacheBlock, most recently used first
	events     []CacheEvent
	lastNumber uint64
}

// longestPrefix returns the number of hashes that the longest cached prefix
// covers, and its tokens. The first hash covers only the model and has no block.
func (c *prefixCache) longestPrefix(hashes []uint64) (n, tokens int) {
	for n = 1; n < len(hashes); n++ {
		element, ok := c.blocks[hashes[n]]
		if !ok {
			break
		}
		tokens += element.Value.(CacheBlock).Tokens
	}
	return n, tokens
}

// lookup returns the tokens of the longest cached prefix and marks its blocks as
// recently used.
func (c *prefixCache) lookup(hashes []uint64) (tokens int) {
	n, tokens := c.longestPrefix(hashes)
	// The last message's block is marked first, so that the newest messages of a
	// chat are evicted first.
	for i := n - 1; i > 0; i-- {
		c.lru.MoveToFront(c.blocks[hashes[i]])
	}
	return tokens
}

// store adds the blocks of a chat, which start with its first message. It leaves
// out the trailing blocks that exceed the size of the cache.
func (c *prefixCache) store(blocks []CacheBlock, faults *Faults) {
	if c.blocks == nil {
		c.blocks = make(map[uint64]*list.Element)
	}
	total := 0
	for i, b := range blocks {
		total += b.Tokens
		if total > c.maxTokens {
			blocks = blocks[:i]
			break
		}
	}
	for i := len(blocks) - 1; i >= 0; i-- {
		b := blocks[i]
		if element, ok := c.blocks[b.Hash]; ok {
			c.lru.MoveToFront(element)
			continue
		}
		c.blocks[b.Hash] = c.lru.PushFront(b)
		c.tokens += b.Tokens
		c.publishEvent(CacheStored, b, faults)
	}
	for c.tokens > c.maxTokens {
		element := c.lru.Back()
		b := c.lru.Remove(element).(CacheBlock)
		delete(c.blocks, b.Hash)
		c.tokens -= b.Tokens
		c.publishEvent(CacheEvicted, b, faults)
	}
}

func (c *prefixCache) publishEvent(kind CacheEventKind, b CacheBlock, faults *Faults) {
	c.lastNumber++
	if _, lost := faults.trigger(FaultDropCacheEvents, ""); lost {
		return
	}
	if len(c.events) >= maxCacheEvents {
		c.events = append(c.events[:0], c.events[maxCacheEvents/2:]...)
	}
	c.events = append(c.events, CacheEvent{Number: c.lastNumber, Kind: kind, Block: b, At: time.Now()})
}

// eventsAfter returns the events with a higher number that occurred no later than
// until.
func (c *prefixCache) eventsAfter(number uint64, until time.Time) CacheEvents {
	response := CacheEvents{Events: []CacheEvent{}, Last: number}
	for _, event := range c.events {
		if event.Number > number && !event.At.After(until) {
			response.Events = append(response.Events, event)
			response.Last = event.Number
		}
	}
	return response
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Has("after") {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	e.Faults.applyConnectionFault(r, false)
	e.mu.Lock()
	response := e.cache.eventsAfter(after, time.Now().Add(-millis(e.EventLagMillis, 0)))
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, response)
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	e.Faults.applyConnectionFault(r, false)
	chat := r.PathValue("chat")
	e.mu.Lock()
	prefix := e.chatPrefixes[chat]
	blocks := e.cache.leadingCached(prefix.blocks)
	e.mu.Unlock()
	if len(blocks) == 0 {
		writeError(w, http.StatusNotFound, "the chat isn't cached")
		return
	}
	writeJSON(w, http.StatusOK, CacheExport{Chat: chat, Model: prefix.model, Blocks: blocks})
}

// leadingCached returns the leading blocks that are cached.
func (c *prefixCache) leadingCached(blocks []CacheBlock) []CacheBlock {
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
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	e.Faults.applyConnectionFault(r, false)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.maxTokens = cmp.Or(e.CacheTokens, defaultCacheTokens)
	e.cache.store(body.Blocks, &e.Faults)
	if e.chatPrefixes == nil {
		e.chatPrefixes = make(map[string]chatPrefix)
	}
	e.chatPrefixes[r.PathValue("chat")] = chatPrefix{model: body.Model, blocks: body.Blocks}
	w.WriteHeader(http.StatusNoContent)
}
