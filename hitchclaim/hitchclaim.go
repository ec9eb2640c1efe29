// Package hitchclaim runs non-idempotent calls, such as bookings, at most once. It
// needs no database besides the fleet's key-value service.
//
// Every call carries an idempotency key that the system mints and signs. The key
// names its home: one incarnation (process lifetime) of one router. Only the home
// may run the call; all other routers forward it there. Home is the state machine
// for the keys of a home. Journal writes the runs of a home to the key-value
// service. Fencing stops a home that seems to have failed from writing its journal,
// so that the outcome of its keys can be read from the journal.
//
// The types in this package do no I/O and read no clock, except that Store runs
// commands: the caller passes in events and the current time, and carries out the
// returned commands.
//
//	text, key, err := minter.Mint(now, homeID, organisation, route)
//	decision := home.BeginCall(now, hitchclaim.Call{Key: key, Organisation: organisation})
//	decision = home.FinishRun(now, decision.Run, result)
package hitchclaim
