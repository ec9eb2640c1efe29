package hitchplace

import (
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

const (
	// DefaultChats is how many chats a Directory remembers by default.
	DefaultChats = 20_000
	// EntryLife is how long an entry lasts after its chat's last use.
	EntryLife = 6 * time.Hour

	directoryShards = 16
)

// Entry is what a Directory remembers of a chat.
type Entry struct {
	// Endpoint served the chat last.
	Endpoint hitchfleet.EndpointID
	// Tokens is the length of the chat's prefix there.
	Tokens int64
	// LastUse is when the prefix was last used, and Deadline when the entry ends.
	LastUse  time.Time
	Deadline time.Time
}

// Directory remembers at a chat's home which endpoint served it last. Its memory
// is bounded: the least recently used entries go first. The zero value is ready.
// Its methods are safe for several goroutines.
//
//	directory.Put(now, key, "guide-llm-3", 1800)
//	entry, ok := directory.Get(now, key)
type Directory struct {
	// Chats is how many entries are kept; 0 means DefaultChats.
	Chats int

	shards [directoryShards]directoryShard
}

type directoryShard struct {
	mu      sync.Mutex
	entries lru[hitchfleet.Key, Entry]
}

func (d *Directory) shard(chat hitchfleet.Key) *directoryShard {
	return &d.shards[hitchfleet.Score(chat, 0)%directoryShards]
}

func (d *Directory) perShard() int {
	if d.Chats <= 0 {
		return DefaultChats / directoryShards
	}
	return max(d.Chats/directoryShards, 1)
}

// Put records that an endpoint serves the chat and then has tokens of its prefix.
func (d *Directory) Put(now time.Time, chat hitchfleet.Key, endpoint hitchfleet.EndpointID, tokens int64) {
	s := d.shard(chat)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries.put(d.perShard(), chat, Entry{
		Endpoint: endpoint,
		Tokens:   tokens,
		LastUse:  now,
		Deadline: now.Add(EntryLife),
	})
}

// Get returns the chat's entry unless its deadline has passed.
func (d *Directory) Get(now time.Time, chat hitchfleet.Key) (Entry, bool) {
	s := d.shard(chat)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries.get(chat)
	if !ok || now.After(e.Deadline) {
		return Entry{}, false
	}
	return e, true
}

// Delete forgets a chat.
func (d *Directory) Delete(chat hitchfleet.Key) {
	s := d.shard(chat)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries.remove(chat)
}

// Len returns the number of entries, those past their deadline included.
func (d *Directory) Len() int {
	n := 0
	for i := range d.shards {
		s := &d.shards[i]
		s.mu.Lock()
		n += s.entries.len()
		s.mu.Unlock()
	}
	return n
}

// HotChat is a chat with its entry.
type HotChat struct {
	Chat  hitchfleet.Key
	Entry Entry
}

// Hottest appends the chats last served by an endpoint that were used at or after
// since, each shard's most recent first, at most limit. An endpoint that drains
// may export their KV cache.
func (d *Directory) Hottest(dst []HotChat, endpoint hitchfleet.EndpointID, since time.Time, limit int) []HotChat {
	for i := range d.shards {
		s := &d.shards[i]
		s.mu.Lock()
		s.entries.each(func(chat hitchfleet.Key, e Entry) bool {
			if e.LastUse.Before(since) || len(dst) >= limit {
				return false
			}
			if e.Endpoint == endpoint {
				dst = append(dst, HotChat{Chat: chat, Entry: e})
			}
			return true
		})
		s.mu.Unlock()
	}
	return dst
}
