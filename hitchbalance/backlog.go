package hitchbalance

import (
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// prefill is a prefix that an engine has yet to prefill.
type prefill struct {
	key       hitchfleet.Key
	tokens    int
	expiresAt time.Time
}

// backlog lists the prefixes that an engine has yet to prefill, as far as this
// instance knows from its own requests and the cache updates of others.
type backlog []prefill

// add adds a prefix. It expires if no cache update says that it is prefilled.
func (b *backlog) add(key hitchfleet.Key, tokens int, expiresAt time.Time) {
	if tokens > 0 {
		*b = append(*b, prefill{key: key, tokens: tokens, expiresAt: expiresAt})
	}
}

// remove removes a prefix that the engine has prefilled or won't prefill.
func (b *backlog) remove(key hitchfleet.Key) {
	*b = slices.DeleteFunc(*b, func(p prefill) bool { return p.key == key })
}

// tokens returns the number of tokens that the engine has to prefill before a prompt.
// The prompt's own prefixes don't count. Expired prefixes are removed.
func (b *backlog) tokens(now time.Time, prefixKeys []hitchfleet.Key) (n int) {
	*b = slices.DeleteFunc(*b, func(p prefill) bool { return !now.Before(p.expiresAt) })
	for _, p := range *b {
		if !slices.Contains(prefixKeys, p.key) {
			n += p.tokens
		}
	}
	return n
}
