package hitchbalance

import (
	"citronhitch.example/citronhitch/hitchfleet"
)

// Part is a section of a prompt. An engine that has prefilled it after the same
// earlier parts needn't prefill it again for another request.
type Part struct {
	ID     hitchfleet.PartID
	Tokens int
}

// Prompt is the sequence of a request's parts. Requests share its leading parts; the
// last one belongs to the request or its chat alone.
type Prompt struct {
	Parts []Part
	// OutputTokens bounds the length of the response.
	OutputTokens int
}

// Affinity returns the key for the prompt's rendezvous order of endpoints: the ID of
// the last part that other requests may share. It returns false for a prompt without
// parts.
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

// Shared returns the IDs of the parts that other requests may share: all but the last.
func (p Prompt) Shared() (ids []hitchfleet.PartID) {
	for _, part := range p.Parts[:max(len(p.Parts)-1, 0)] {
		ids = append(ids, part.ID)
	}
	return ids
}

// appendPrefixKeys appends the key of each prefix of the prompt that other requests
// may share, the shortest first. An engine caches a prefix only as a whole.
func (p Prompt) appendPrefixKeys(dst []hitchfleet.Key) []hitchfleet.Key {
	var key hitchfleet.Key
	for i := range max(len(p.Parts)-1, min(len(p.Parts), 1)) {
		key = hitchfleet.Key(hitchfleet.Score(key, hitchfleet.Key(p.Parts[i].ID)))
		dst = append(dst, key)
	}
	return dst
}

// tokensAfter returns the number of tokens after the first count parts.
func (p Prompt) tokensAfter(count int) int {
	n := 0
	for _, part := range p.Parts[min(count, len(p.Parts)):] {
		n += part.Tokens
	}
	return n
}

// Request holds the properties of a request that decide which endpoint gets it.
type Request struct {
	Service hitchfleet.ServiceID
	Prompt  Prompt
	// Zone is the router's own zone, which is preferred if nothing else decides.
	Zone hitchfleet.AvailabilityZone
	// Tried are the endpoints that the request was already sent to.
	Tried []hitchfleet.EndpointID
	// IsRetrySafe is set if the request may run more than once.
	IsRetrySafe bool
	// BacklogSlackTokens is how much larger than the smallest backlog the backlog of the
	// engine that gets the prompt may be. 0 means that the backlog isn't bounded, as for
	// engines whose prefill speed isn't known yet.
	BacklogSlackTokens int
	// UnreachableZones are the zones from which earlier attempts got no response.
	UnreachableZones []hitchfleet.AvailabilityZone
	// NeedsPermit reports whether a request to an endpoint may turn out not to be sent. Its
	// cache updates are queued by Announce then. It may be nil.
	NeedsPermit func(hitchfleet.Endpoint) bool
	// Version limits the endpoints to those of the version that began the stream.
	Version VersionConstraint
	// hasSlot is set if the owner of the service's queue has assigned the endpoint, within its
	// rate limit during a cold start.
	hasSlot bool
	// Group reports whether an endpoint belongs to the group of endpoints that gets the
	// request while a version of the service is rolled out; nil means that all do.
	Group func(hitchfleet.Endpoint) bool
}
