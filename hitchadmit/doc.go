// Package hitchadmit decides how much work each endpoint gets.
//
// Each endpoint has one owner among the routers. A router asks the owner for a
// slot before it forwards a request, and the owner grants it, queues it, or
// refuses it at once. The owner keeps the load bound, the cold-start limit, the
// fair shares of organisations and the closing of endpoints and availability
// zones. docs/design/admission.md states the invariants.
//
//	var owners hitchadmit.Owners
//	due := owners.SetMembers(now, members, nil)
//	decision, due := owners.Ask(now, ask, due[:0])
//
// The package holds no goroutine, socket or clock: callers pass the time in.
package hitchadmit
