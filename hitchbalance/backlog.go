package hitchbalance

import (
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// reading is a prefix that an engine is about to read.
type reading struct {
	key    hitchfleet.Key
	tokens int
	until  time.Time
}

// backlog is what an engine has yet to read, as far as instances told each other.
type backlog []reading

// add notes a prefix that the engine is to read.
func (l *backlog) add(key hitchfleet.Key, tokens int, until time.Time) {
	if tokens > 0 {
		*l = append(*l, reading{key: key, tokens: tokens, until: until})
	}
}

// remove notes that the engine has read a prefix, or won't.
func (l *backlog) remove(key hitchfleet.Key) {
	*l = slices.DeleteFunc(*l, func(r reading) bool { return r.key == key })
}

// tokens returns what the engine has to read before it comes to a prompt whose own
// prefixes don't count.
func (l *backlog) tokens(now time.Time, chain []hitchfleet.Key) (n int) {
	*l = slices.DeleteFunc(*l, func(r reading) bool { return !now.Before(r.until) })
	for _, r := range *l {
		if !slices.Contains(chain, r.key) {
			n += r.tokens
		}
	}
	return n
}
