package hitchbalance

import (
	"citronhitch.example/citronhitch/hitchfleet"
)

// Part is a piece of a prompt that requests share. An engine that has read it
// behind the same earlier parts needn't read it again.
type Part struct {
	ID     uint64
	Tokens int
}

// Prompt is the chain of a request's parts. The last one is the request's or its
// chat's own.
type Prompt struct {
	Parts []Part
	// OutputTokens bounds the answer.
	OutputTokens int
}

// Affinity returns the key of the longest part of the chain that other requests
// share, and false for a prompt without parts.
func (p Prompt) Affinity() (hitchfleet.Key, bool) {
	switch n := len(p.Parts); n {
	case 0:
		return 0, false
	case 1:
		return hitchfleet.Key(p.Parts[0].ID), true
	default:
		return hitchfleet.Key(p.Parts[n-2].ID), true
	}
}

// chain appends the key of each shared prefix of the chain, the shortest first.
// An engine has a prefix cached only as a whole.
func (p Prompt) chain(dst []hitchfleet.Key) []hitchfleet.Key {
	var key hitchfleet.Key
	for i := range max(len(p.Parts)-1, min(len(p.Parts), 1)) {
		key = hitchfleet.Key(hitchfleet.Score(key, hitchfleet.Key(p.Parts[i].ID)))
		dst = append(dst, key)
	}
	return dst
}

// unread returns the tokens of the prompt behind its first parts.
func (p Prompt) unread(cachedParts int) int {
	n := 0
	for _, part := range p.Parts[min(cachedParts, len(p.Parts)):] {
		n += part.Tokens
	}
	return n
}

// Request is what balancing needs to know of one request.
type Request struct {
	Service hitchfleet.ServiceID
	Prompt  Prompt
	// Zone is the router's own, preferred where nothing else decides.
	Zone hitchfleet.AvailabilityZone
	// Tried are the endpoints that the request was sent to before.
	Tried []hitchfleet.EndpointID
	// MayRepeat tells that the request may run more than once.
	MayRepeat bool
	// SlackTokens is how much longer than another engine's the backlog of an engine
	// may be for the prompt to stay there; 0 if nobody knows how fast engines read.
	SlackTokens int
	// LostZones are the zones that the request found no way to before.
	LostZones []hitchfleet.AvailabilityZone
}
