// Package hitchfake has small stand-ins for the platform and the back ends: a
// model engine, a plain service, the key-value service, the instance list, the
// weight store, and a network that loses connections. Each is a struct whose
// zero value works, with a Handler for its protocol and an Admin handler on
// which faults are switched on.
//
//	var engine hitchfake.Engine
//	server := httptest.NewServer(engine.Handler())
//	engine.Faults.Set(hitchfake.Fault{Kind: hitchfake.FaultCut, AfterTokens: 3})
//
// The stand-ins use the time package alone, so that inside a testing/synctest
// bubble, over a Network, they run on its clock.
package hitchfake
