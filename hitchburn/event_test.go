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

// streamEvent returns a successful stream of eleven tokens with the given time to
// the first token and gap between tokens.
func streamEvent(first, gap time.Duration) Event {
	const tokens = 11
	e := Event{
		Kind: KindStream, Route: "guide-llm", Organisation: "aquarium", Zone: "se-south-a", Status: 200,
		Outcome: hitchoutcome.Ran, Start: start, FirstToken: start.Add(first), Tokens: tokens,
	}
	e.LastToken = e.FirstToken.Add(gap * (tokens - 1))
	e.End = e.LastToken
	return e
}

// refusedEvent returns a stream that was refused after the given time.
func refusedEvent(reason hitchoutcome.Reason, outcome hitchoutcome.Outcome, after time.Duration) Event {
	return Event{Kind: KindStream, Route: "guide-llm", Reason: reason, Outcome: outcome, Start: start, End: start.Add(after)}
}

func bookingEvent(reason hitchoutcome.Reason, outcome hitchoutcome.Outcome) Event {
	return Event{
		Kind: KindBooking, Route: "boxoffice-api", Organisation: "aquarium", Zone: "se-south-a",
		Reason: reason, Outcome: outcome, Start: start, End: start,
	}
}

func TestEventVerdicts(t *testing.T) {
	inTime, inGap := FirstTokenLimit, TokenGapLimit
	batch := streamEvent(inTime+1, inGap+1)
	batch.Batch = true
	disconnected := streamEvent(inTime, inGap)
	disconnected.CallerDisconnected, disconnected.Reason, disconnected.Outcome = true, hitchoutcome.ReasonEndpointLost, hitchoutcome.Unknown
	disconnectedBooking := bookingEvent(hitchoutcome.ReasonEndpointLost, hitchoutcome.Unknown)
	disconnectedBooking.CallerDisconnected = true
	serverError := streamEvent(inTime, inGap)
	serverError.Status = 502
	notFound := streamEvent(inTime, inGap)
	notFound.Status = 404
	oneToken := streamEvent(inTime, inGap)
	oneToken.Tokens = 1
	nonStreaming := Event{Kind: KindNonStreaming, Status: 200, Start: start, End: start.Add(time.Minute)}
	for name, test := range map[string]struct {
		event Event
		want  [levelCount]verdict
	}{
		"on the limits":                         {streamEvent(inTime, inGap), [levelCount]verdict{good, good, good, notCounted}},
		"first token late":                      {streamEvent(inTime+1, inGap), [levelCount]verdict{good, bad, good, notCounted}},
		"tokens slow":                           {streamEvent(inTime, inGap+1), [levelCount]verdict{good, good, bad, notCounted}},
		"one token: no gap":                     {oneToken, [levelCount]verdict{good, good, notCounted, notCounted}},
		"batch: no latency levels":              {batch, [levelCount]verdict{good, notCounted, notCounted, notCounted}},
		"not streamed: no tokens":               {nonStreaming, [levelCount]verdict{good, notCounted, notCounted, notCounted}},
		"502 of the endpoint":                   {serverError, [levelCount]verdict{bad, good, good, notCounted}},
		"404 of the endpoint":                   {notFound, [levelCount]verdict{good, good, good, notCounted}},
		"caller disconnected":                   {disconnected, [levelCount]verdict{notCounted, good, good, notCounted}},
		"overloaded within the limit":           {refusedEvent(hitchoutcome.ReasonOverloaded, hitchoutcome.NotRun, time.Second), [levelCount]verdict{bad, notCounted, notCounted, notCounted}},
		"timeout without a token":               {refusedEvent(hitchoutcome.ReasonTimeout, hitchoutcome.Unknown, 2*time.Second), [levelCount]verdict{bad, bad, notCounted, notCounted}},
		"caller error":                          {refusedEvent(hitchoutcome.ReasonShareExceeded, hitchoutcome.NotRun, 0), [levelCount]verdict{good, notCounted, notCounted, notCounted}},
		"caller error, outcome unknown":         {refusedEvent(hitchoutcome.ReasonConflict, hitchoutcome.Unknown, 0), [levelCount]verdict{bad, notCounted, notCounted, notCounted}},
		"booking ran":                           {bookingEvent("", hitchoutcome.Ran), [levelCount]verdict{good, notCounted, notCounted, good}},
		"booking refused, not run":              {bookingEvent(hitchoutcome.ReasonOverloaded, hitchoutcome.NotRun), [levelCount]verdict{bad, notCounted, notCounted, good}},
		"booking in doubt":                      {bookingEvent(hitchoutcome.ReasonEndpointLost, hitchoutcome.Unknown), [levelCount]verdict{bad, notCounted, notCounted, bad}},
		"booking in doubt, caller disconnected": {disconnectedBooking, [levelCount]verdict{notCounted, notCounted, notCounted, bad}},
	} {
		t.Run(name, func(t *testing.T) {
			var got [levelCount]verdict
			for l := range got {
				got[l] = test.event.verdictFor(Level(l))
			}
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}

func TestAccessLogLine(t *testing.T) {
	var out bytes.Buffer
	log := hclog.New(&hclog.LoggerOptions{Output: &out, DisableTime: true, Name: "access"})
	e := streamEvent(120*time.Millisecond, 30*time.Millisecond)
	e.Request, e.Attempt, e.Chat, e.Endpoint = "01R", "01A", 0xbeef, "engine-3"
	e.LogTo(log)
	qt.Assert(t, out.String(), qt.Equals, "[INFO]  access: request: Request=01R Attempt=01A Kind=Stream "+
		"Organisation=aquarium Route=guide-llm Zone=se-south-a Endpoint=engine-3 Outcome=Ran Reason=\"\" Status=200 "+
		"Milliseconds=420 Chat=beef FirstTokenMilliseconds=120 Tokens=11 TokenGapMicroseconds=30000\n")
}
