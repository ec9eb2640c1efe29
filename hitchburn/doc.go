// Package hitchburn measures service levels and reports the burn rates of their
// error budgets.
//
// A router records one Event for each request in a Recorder, whose memory is
// bounded. Summaries of several routers can be merged. A Report lists the service
// levels whose error budget burns too fast, their burn rates and when the burn
// began.
//
//	var recorder hitchburn.Recorder
//	recorder.Record(now, event)
//	report := hitchburn.NewReport(now, recorder.Summary(now), hitchburn.Objectives{})
package hitchburn
