// Package hitchplace places chats on routers and endpoints: it determines which
// router is a chat's home, and which endpoints are tried for a request.
//
// A chat's home router stores in a Directory which endpoint served the chat last,
// as that endpoint likely has the chat's prefix cached. Without such an entry,
// rendezvous hashing with bounded loads decides. The chats of one organisation
// share a subset of the endpoints, so that a shared prefix is reused.
// docs/design/placement.md compares the alternatives.
//
//	entry, _ := directory.Get(now, chat)
//	candidates = pool.Choose(candidates[:0], hitchplace.Request{Chat: chat, Entry: entry}, now)
//	directory.Put(now, chat, candidates[0].Endpoint, tokens)
//
// The package has no goroutines, sockets or clock: its callers pass the current
// time.
package hitchplace

import (
	"github.com/cespare/xxhash/v2"

	"citronhitch.example/citronhitch/hitchfleet"
)

// orgHash returns the organisation's key for the rendezvous order of endpoints.
func orgHash(id hitchfleet.OrganisationID) uint64 { return xxhash.Sum64String(string(id)) }
