package hitchburn_test

import (
	"fmt"
	"time"

	"citronhitch.example/citronhitch/hitchburn"
	"citronhitch.example/citronhitch/hitchoutcome"
)

func Example() {
	now := time.Date(2026, 12, 3, 20, 0, 0, 0, time.UTC)
	var recorder hitchburn.Recorder
	for n := range 200 {
		e := hitchburn.Event{Kind: hitchburn.KindService, Route: "boxoffice-api", Status: 200, Outcome: hitchoutcome.Ran}
		if n%10 == 0 {
			e = hitchburn.Event{Kind: hitchburn.KindService, Route: "boxoffice-api", Reason: hitchoutcome.ReasonOverloaded, Outcome: hitchoutcome.NotRun}
		}
		recorder.Record(now.Add(time.Duration(n)*time.Second), e)
	}
	now = now.Add(200 * time.Second)
	report := hitchburn.NewReport(now, recorder.Summary(now).WithRouter("router-1"), hitchburn.Objectives{})
	fmt.Println(report.Findings[0])
	// Output: Availability of Route boxoffice-api at 100.0 times its budget over 1h and 100.0 over 5m since 2026-12-03T20:00:00Z (Page)
}
