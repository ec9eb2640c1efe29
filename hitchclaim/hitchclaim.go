// Package hitchclaim runs non-idempotent calls at most once, without a store of
// its own.
//
// A call is claimed by a key. The system mints keys and signs them; each names
// one home, an instance in one incarnation, and only that incarnation may run the
// call. Every other router forwards to it. Home decides what happens to a key,
// Journal keeps the bookings of a home in the key-value service, and Fencing ends
// a home that is lost, so that the journal tells what became of its keys.
//
// The values here decide and do no input or output: the caller passes messages
// and the time, and carries out what is returned.
//
//	text, key, err := minter.Mint(now, home, organisation, route)
//	decision := claims.Begin(now, hitchclaim.Call{Key: key, Organisation: organisation})
//	decision = claims.Finish(now, decision.Run, result)
package hitchclaim
