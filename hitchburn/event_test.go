package hitchburn

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"citronhitch.example/citronhitch/hitchoutcome"
)

var start = time.Date(2026, 12, 3, 20, 0, 0, 0, time.UTC)

// stream returns an answered stream with its first token after some time, and
// eleven tokens with a gap between them.
func stream(first, gap time.Duration) Event {
	const tokens = 11
	e := Event{
		Kind: KindStream, Route: "guide-llm", Organisation: "aquarium", Zone: "se-south-a", Status: 200,
		Outcome: hitchoutcome.Ran, Start: start, FirstToken: start.Add(first), Tokens: tokens,
	}
	e.LastToken = e.FirstToken.Add(gap * (tokens - 1))
	e.End = e.LastToken
	return e
}

// refused returns a stream that was refused after some time.
func refused(reason hitchoutcome.Reason, outcome hitchoutcome.Outcome, after time.Duration) Event {
	return Event{Kind: KindStream, Route: "guide-llm", Reason: reason, Outcome: outcome, Start: start, End: start.Add(after)}
}

func booking(reason hitchoutcome.Reason, outcome hitchoutcome.Outcome) Event {
	return Event{
		Kind: KindBooking, Route: "boxoffice-api", Organisation: "aquarium", Zone: "se-south-a",
		Reason: reason, Outcome: outcome, Start: start, End: start,
	}
}

func TestEventVerdicts(t *testing.T) {
	inTime, inGap := FirstTokenLimit, TokenGapLimit
	batch := stream(inTime+1, inGap+1)
	batch.Batch = true
	gone := stream(inTime, inGap)
	gone.CallerGone, gone.Reason, gone.Outcome = true, hitchoutcome.ReasonEndpointLost, hitchoutcome.Unknown
	goneBooking := booking(hitchoutcome.ReasonEndpointLost, hitchoutcome.Unknown)
	goneBooking.CallerGone = true
	serverFault := stream(inTime, inGap)
	serverFault.Status = 502
	notFound := stream(inTime, inGap)
	notFound.Status = 404
	oneToken := stream(inTime, inGap)
	oneToken.Tokens = 1
	whole := Event{Kind: KindWhole, Status: 200, Start: start, End: start.Add(time.Minute)}
	for name, test := range map[string]struct {
		event Event
		want  [levelCount]verdict
	}{
		"on the limits":                 {stream(inTime, inGap), [levelCount]verdict{good, good, good, notCounted}},
		"first token late":              {stream(inTime+1, inGap), [levelCount]verdict{good, bad, good, notCounted}},
		"tokens slow":                   {stream(inTime, inGap+1), [levelCount]verdict{good, good, bad, notCounted}},
		"one token has no gap":          {oneToken, [levelCount]verdict{good, good, notCounted, notCounted}},
		"batch promises no latency":     {batch, [levelCount]verdict{good, notCounted, notCounted, notCounted}},
		"whole answer has no tokens":    {whole, [levelCount]verdict{good, notCounted, notCounted, notCounted}},
		"endpoint's own 502":            {serverFault, [levelCount]verdict{bad, good, good, notCounted}},
		"endpoint's own 404":            {notFound, [levelCount]verdict{good, good, good, notCounted}},
		"caller left":                   {gone, [levelCount]verdict{notCounted, good, good, notCounted}},
		"refused at once for room":      {refused(hitchoutcome.ReasonOverloaded, hitchoutcome.NotRun, time.Second), [levelCount]verdict{bad, notCounted, notCounted, notCounted}},
		"no token for long":             {refused(hitchoutcome.ReasonTimeout, hitchoutcome.Unknown, 2*time.Second), [levelCount]verdict{bad, bad, notCounted, notCounted}},
		"caller's fault":                {refused(hitchoutcome.ReasonShareExceeded, hitchoutcome.NotRun, 0), [levelCount]verdict{good, notCounted, notCounted, notCounted}},
		"caller's fault, but may run":   {refused(hitchoutcome.ReasonConflict, hitchoutcome.Unknown, 0), [levelCount]verdict{bad, notCounted, notCounted, notCounted}},
		"booking ran":                   {booking("", hitchoutcome.Ran), [levelCount]verdict{good, notCounted, notCounted, good}},
		"booking truthfully refused":    {booking(hitchoutcome.ReasonOverloaded, hitchoutcome.NotRun), [levelCount]verdict{bad, notCounted, notCounted, good}},
		"booking in doubt":              {booking(hitchoutcome.ReasonEndpointLost, hitchoutcome.Unknown), [levelCount]verdict{bad, notCounted, notCounted, bad}},
		"booking in doubt, caller left": {goneBooking, [levelCount]verdict{notCounted, notCounted, notCounted, bad}},
	} {
		t.Run(name, func(t *testing.T) {
			var got [levelCount]verdict
			for l := range got {
				got[l] = test.event.on(Level(l))
			}
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}

func TestAccessLogLine(t *testing.T) {
	var out bytes.Buffer
	log := hclog.New(&hclog.LoggerOptions{Output: &out, DisableTime: true, Name: "access"})
	e := stream(120*time.Millisecond, 30*time.Millisecond)
	e.Request, e.Attempt, e.Chat, e.Endpoint = "01R", "01A", 0xbeef, "engine-3"
	e.LogTo(log)
	qt.Assert(t, out.String(), qt.Equals, "[INFO]  access: request: Request=01R Attempt=01A Kind=Stream "+
		"Organisation=aquarium Route=guide-llm Zone=se-south-a Endpoint=engine-3 Outcome=Ran Reason=\"\" Status=200 "+
		"Milliseconds=420 Chat=beef FirstTokenMilliseconds=120 Tokens=11 TokenGapMicroseconds=30000\n")
}
