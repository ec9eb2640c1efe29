// Package hitchplace decides where chats go: which router is a chat's home, and
// which endpoints are tried for a request.
//
// A chat's home router remembers in a Directory which endpoint served the chat
// last, as that endpoint likely has the chat's prefix cached. Without such an
// entry, rendezvous hashing with bounded loads decides; the chats of one
// organisation share a subset of the endpoints, so that a shared prefix is
// reused. docs/design/placement.md weighs the alternatives.
//
//	entry, _ := directory.Get(now, chat)
//	candidates = pool.Choose(candidates[:0], hitchplace.Request{Chat: chat, Entry: entry}, now)
//	directory.Put(now, chat, candidates[0].Endpoint, tokens)
//
// The package holds no goroutine, socket or clock: callers pass the time in.
package hitchplace

import (
	"github.com/cespare/xxhash/v2"

	"citronhitch.example/citronhitch/hitchfleet"
)

// orgHash is the organisation's key in the rendezvous order of its subset.
func orgHash(id hitchfleet.OrganisationID) uint64 { return xxhash.Sum64String(string(id)) }
