// Package hitchburn keeps service levels and reports how fast their error
// budgets burn.
//
// A router records one Event for each request in a Recorder, whose memory is
// bounded. Summaries of several routers merge, and a Report tells what burned,
// how fast and since when.
//
//	var recorder hitchburn.Recorder
//	recorder.Record(now, event)
//	report := hitchburn.NewReport(now, recorder.Summary(now), hitchburn.Objectives{})
package hitchburn
