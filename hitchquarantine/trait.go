package hitchquarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"

	"citronhitch.example/citronhitch/hitchfleet"
)

// TraitKind is what requests with a trait have in common.
type TraitKind uint8

// The kinds of traits.
const (
	// PartTrait is a shared part of a prompt.
	PartTrait TraitKind = iota
	// RequestTrait is all of a request that a caller may repeat: method, host, path,
	// organisation and body, with or without its query.
	RequestTrait
)

// String returns the kind's name in logs.
func (k TraitKind) String() string {
	if k == RequestTrait {
		return "Request"
	}
	return "Part"
}

// Trait is what requests have in common, and endpoints may crash at.
type Trait struct {
	_    struct{} `cbor:",toarray"`
	Kind TraitKind
	// ID is the ID of a part, or the digest of a request without its query.
	ID uint64
	// Query is the digest of a request's query, even an empty one; 0 for all queries.
	Query uint32
}

// String returns the trait as in logs and records, such as Request:5c1e07a2:1f.
func (t Trait) String() string {
	return fmt.Sprintf("%v:%x:%x", t.Kind, t.ID, t.Query)
}

// errNoTrait is returned for a text that String doesn't return.
var errNoTrait = fmt.Errorf("not a trait of requests")

// ParseTrait parses what String returns.
func ParseTrait(s string) (t Trait, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("%q: %w", s, err)
		}
	}()
	fields := strings.Split(s, ":")
	if len(fields) != 3 {
		return Trait{}, errNoTrait
	}
	switch fields[0] {
	case PartTrait.String():
	case RequestTrait.String():
		t.Kind = RequestTrait
	default:
		return Trait{}, errNoTrait
	}
	if t.ID, err = strconv.ParseUint(fields[1], 16, 64); err != nil {
		return Trait{}, err
	}
	query, err := strconv.ParseUint(fields[2], 16, 32)
	t.Query = uint32(query)
	return t, err
}

// Key returns the trait's hash for rendezvous ranking.
func (t Trait) Key() hitchfleet.Key { return hitchfleet.Key(t.ID) }

// compare orders traits.
func (t Trait) compare(other Trait) int {
	return cmp.Or(cmp.Compare(t.Kind, other.Kind), cmp.Compare(t.ID, other.ID), cmp.Compare(t.Query, other.Query))
}

// isOfOtherRequest reports whether no request has both traits.
func (t Trait) isOfOtherRequest(other Trait) bool {
	return t.Kind == RequestTrait && other.Kind == RequestTrait && t.ID != other.ID
}

// PartTraits returns the traits of requests with shared parts.
func PartTraits(parts []hitchfleet.PartID) []Trait {
	traits := make([]Trait, len(parts), len(parts)+2)
	for i, part := range parts {
		traits[i] = Trait{Kind: PartTrait, ID: uint64(part)}
	}
	return traits
}

// Identity is what a request has in common with those that repeat it.
type Identity struct {
	Method       string
	Host         string
	Target       string // path and query
	Organisation hitchfleet.OrganisationID
	Body         []byte
}

// Traits returns the traits of the request: for its path with any query, and with this one.
// A caller can't find another request with the traits of a given one.
func (i Identity) Traits() []Trait {
	path, query, _ := strings.Cut(i.Target, "?")
	body := sha256.Sum256(i.Body)
	fields := strings.Join([]string{i.Method, i.Host, path, string(i.Organisation)}, "\x00")
	request := sha256.Sum256(append([]byte(fields), body[:]...))
	id := binary.BigEndian.Uint64(request[:])
	exact := sha256.Sum256([]byte(query))
	return []Trait{
		{Kind: RequestTrait, ID: id},
		{Kind: RequestTrait, ID: id, Query: max(binary.BigEndian.Uint32(exact[:]), 1)},
	}
}
