// Package hitchfake provides small fakes of the platform and the back ends: a
// model engine, a plain service, the key-value service, the instance list, the
// weight store, and a network whose connections can stall. Each is a struct whose
// zero value works. The servers have a Handler for their protocol and an Admin
// handler for fault injection.
//
//	var engine hitchfake.Engine
//	server := httptest.NewServer(engine.Handler())
//	engine.Faults.Set(hitchfake.Fault{Kind: hitchfake.FaultDisconnect, AfterTokens: 3})
//
// The fakes take the time only from the time package. Over a Network, inside a
// testing/synctest bubble, they therefore run on the bubble's clock.
package hitchfake
