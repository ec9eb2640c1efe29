package hitchplace

import (
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

const (
	// DefaultMaxChats is the default number of chats in a Directory.
	DefaultMaxChats = 20_000
	// EntryTTL is how long an entry is valid after its chat's last request.
	EntryTTL = 6 * time.Hour

	directoryShards = 16
)

// Entry is a Directory's record of a chat.
type Entry struct {
	// Endpoint is the endpoint that served the chat last.
	Endpoint hitchfleet.EndpointID
	// Tokens is the length of the chat's prefix that the endpoint has cached.
	Tokens int64
	// LastUse is when the prefix was last used, and Deadline when the entry
	// expires.
	LastUse  time.Time
	Deadline time.Time
}

// Directory maps each chat whose home is this router to the endpoint that served
// it last. Its size is bounded; the least recently used entries are evicted first.
// The zero value is ready to use. Its methods are safe for concurrent use.
//
//	directory.Put(now, key, "guide-llm-3", 1800)
//	entry, ok := directory.Get(now, key)
type Directory struct {
	// MaxChats is the maximum number of entries; 0 means DefaultMaxChats.
	MaxChats int

	shards [directoryShards]directoryShard
}

type directoryShard struct {
	mu      sync.Mutex
	entries lru[hitchfleet.Key, Entry]
}

func (d *Directory) shard(chat hitchfleet.Key) *directoryShard {
	return &d.shards[hitchfleet.Score(chat, 0)%directoryShards]
}

func (d *Directory) maxPerShard() int {
	if d.MaxChats <= 0 {
		return DefaultMaxChats / directoryShards
	}
	return max(d.MaxChats/directoryShards, 1)
}

// Put records that an endpoint serves the chat and then has the given number of
// tokens of its prefix cached.
func (d *Directory) Put(now time.Time, chat hitchfleet.Key, endpoint hitchfleet.EndpointID, tokens int64) {
	s := d.shard(chat)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries.put(d.maxPerShard(), chat, Entry{
		Endpoint: endpoint,
		Tokens:   tokens,
		LastUse:  now,
		Deadline: now.Add(EntryTTL),
	})
}

// Get returns the chat's entry, or false if there is none or it has expired.
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

// Delete removes a chat's entry.
func (d *Directory) Delete(chat hitchfleet.Key) {
	s := d.shard(chat)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries.remove(chat)
}

// Len returns the number of entries, including expired ones.
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

// RecentChat is a chat with its directory entry.
type RecentChat struct {
	Chat  hitchfleet.Key
	Entry Entry
}

// RecentChats appends the chats that an endpoint served last and that were used at
// or after since, until dst holds limit chats. It reads one shard after the other,
// each from the most recently used chat on. An endpoint that is being drained may
// export the KV cache of these chats.
func (d *Directory) RecentChats(dst []RecentChat, endpoint hitchfleet.EndpointID, since time.Time, limit int) []RecentChat {
	for i := range d.shards {
		s := &d.shards[i]
		s.mu.Lock()
		s.entries.each(func(chat hitchfleet.Key, e Entry) bool {
			if e.LastUse.Before(since) || len(dst) >= limit {
				return false
			}
			if e.Endpoint == endpoint {
				dst = append(dst, RecentChat{Chat: chat, Entry: e})
			}
			return true
		})
		s.mu.Unlock()
	}
	return dst
}
