// Package hitchadmit is the admission control of the router fleet: it decides
// how much work each endpoint gets.
//
// Each endpoint has one owner among the routers. A router requests a slot from
// the owner before it forwards a request, and the owner grants the slot, queues
// the slot request, or refuses it immediately. The owner enforces the load
// bound, the cold-start limit and the fair shares of organisations, and stops
// granting at endpoints that leave and in availability zones that are out of
// service. docs/design/admission.md states the invariants.
//
//	var controller hitchadmit.Controller
//	deferred := controller.SetFleetView(now, view, nil)
//	decision, deferred := controller.RequestSlot(now, request, deferred[:0])
//
// The package has no goroutine, socket or clock of its own: callers pass the
// time in.
package hitchadmit
