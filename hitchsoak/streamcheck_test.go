package hitchsoak

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

// try returns a response that ended as complete, with the events of a version.
func try(attempt, version string, from, to int) streamTry {
	t := streamTry{call: call{Attempt: attempt, Status: http.StatusOK, Begin: timeAt(6), End: timeAt(7), Instance: "i-0"}, LastEventID: from - 1, IsEnded: true, FirstEventAt: timeAt(6.1)}
	for id := from; id <= to; id++ {
		t.Events = append(t.Events, hitchstandin.Event{ID: id, Attempt: attempt, Version: version})
	}
	return t
}

// cut returns a try that was cut.
func (t streamTry) cut() streamTry {
	t.IsEnded, t.Err = false, errors.New("EOF")
	return t
}

// then returns a try whose later events are those of another one of the same attempt.
func (t streamTry) then(next streamTry) streamTry {
	t.Events = append(t.Events, next.Events...)
	return t
}

// resumed returns a try that takes up a stream.
func (t streamTry) resumed() streamTry {
	t.IsResumption = true
	return t
}

// with returns a try changed by a function.
func (t streamTry) with(change func(*streamTry)) streamTry {
	change(&t)
	return t
}

func streamOf(tries ...streamTry) stream { return stream{Path: "/stream/8x1/x", Tries: tries} }

func noneServing(string, time.Time, time.Time) int { return 0 }

func newStreamChecker(plan ...Fault) *checker {
	return &checker{start: start, end: timeAt(80), plan: plan, addrs: []string{"i-0", "i-1"}, runLog: &hitchstandin.RunLog{}}
}

// TestCheckerReportsMixedStreams checks that streams of two versions are reported, in one
// response or over several, and that up to two of them are only printed.
func TestCheckerReportsMixedStreams(t *testing.T) {
	whole := streamOf(try("a", "v1", 1, 8))
	kept := streamOf(try("a", "v1", 1, 3).cut(), try("b", "v1", 4, 8).resumed())
	mixedInOne := streamOf(try("a", "v1", 1, 3).then(try("a", "v1.1", 4, 8)))
	mixedOver := streamOf(try("a", "v1", 1, 3).cut(), try("b", "v1.1", 4, 8).resumed())
	mixedLater := streamOf(try("a", "v1", 1, 3).cut(), try("b", "v1", 4, 5).cut().resumed(), try("c", "v1.2", 6, 8).resumed())
	mixedAndBack := streamOf(try("a", "v1", 1, 3).then(try("a", "v1.1", 4, 4)).cut(), try("b", "v1", 5, 8).resumed())
	tests := map[string]struct {
		streams         []stream
		want, tolerated int
	}{
		"none":                         {nil, 0, 0},
		"of one version":               {[]stream{whole, kept, streamOf(try("a", "v1.1", 1, 8)), streamOf()}, 0, 0},
		"one mixed in one response":    {[]stream{whole, mixedInOne}, 0, 1},
		"two mixed":                    {[]stream{mixedInOne, kept, mixedOver}, 0, 2},
		"three mixed in one response":  {[]stream{mixedInOne, mixedInOne, mixedInOne}, 3, 0},
		"three mixed over tries":       {[]stream{mixedOver, whole, mixedOver, mixedOver}, 3, 0},
		"three mixed at the third try": {[]stream{mixedLater, mixedLater, mixedLater}, 3, 0},
		"three that went back":         {[]stream{mixedAndBack, mixedAndBack, mixedAndBack}, 3, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, notes := newStreamChecker().checkStreams(test.streams, noneServing)
			qt.Assert(t, got, qt.HasLen, test.want)
			for _, v := range got {
				qt.Assert(t, v.Guarantee, qt.Equals, "SameVersion")
			}
			qt.Assert(t, notes, qt.HasLen, 1+test.tolerated)
			for _, note := range notes[1:] {
				qt.Assert(t, note, qt.Matches, "Tolerated Violation=SameVersion .*")
			}
		})
	}
}

// TestCheckerReportsPieces checks that gaps, repeats and false ends are reported.
func TestCheckerReportsPieces(t *testing.T) {
	first := try("a", "v1", 1, 3).cut()
	tests := map[string]struct {
		stream stream
		want   int
	}{
		"whole":                          {streamOf(try("a", "v1", 1, 8)), 0},
		"taken up":                       {streamOf(first, try("b", "v1", 4, 8).resumed()), 0},
		"taken up twice":                 {streamOf(first, try("b", "v1", 4, 5).cut(), try("c", "v1", 6, 8)), 0},
		"taken up after a refusal":       {streamOf(first, streamTry{call: call{Attempt: "b", Status: 503}, IsEnded: true}, try("c", "v1", 4, 8)), 0},
		"never complete":                 {streamOf(first), 0},
		"cut in an event":                {streamOf(first.with(func(t *streamTry) { t.Rest = "id: 4\ndata" }), try("b", "v1", 4, 8)), 0},
		"a gap between tries":            {streamOf(first, try("b", "v1", 5, 8)), 1},
		"a repeat between tries":         {streamOf(first, try("b", "v1", 3, 8)), 1},
		"from the start again":           {streamOf(first, try("b", "v1", 1, 8)), 1},
		"a gap in a response":            {streamOf(try("a", "v1", 1, 3).then(try("a", "v1", 5, 8))), 1},
		"a repeat in a response":         {streamOf(try("a", "v1", 1, 3).then(try("a", "v1", 3, 8))), 1},
		"of another attempt":             {streamOf(try("a", "v1", 1, 7).then(try("b", "v1", 8, 8))), 1},
		"ended too early":                {streamOf(try("a", "v1", 1, 7)), 1},
		"ended empty":                    {streamOf(try("a", "v1", 1, 0)), 1},
		"ended in an event":              {streamOf(try("a", "v1", 1, 7).with(func(t *streamTry) { t.Rest = "id: 8\n" })), 1},
		"more than the last event":       {streamOf(try("a", "v1", 1, 9)), 1},
		"bytes that are no event":        {streamOf(try("a", "v1", 1, 3).cut().with(func(t *streamTry) { t.Rest = "x\n\n" })), 1},
		"a taken up one ended too early": {streamOf(first, try("b", "v1", 4, 7)), 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := checkPieces(test.stream)
			qt.Assert(t, got, qt.HasLen, test.want, qt.Commentf("%v", got))
			for _, v := range got {
				qt.Assert(t, v.Guarantee, qt.Equals, "ResumedStream")
			}
		})
	}
}

// TestCheckerReportsStreamsThatDoNotGoOn checks the share of streams taken up that go on,
// and which of them are counted.
func TestCheckerReportsStreamsThatDoNotGoOn(t *testing.T) {
	refused := streamTry{call: call{Attempt: "b", Status: 503, Begin: timeAt(6), End: timeAt(6.1), Instance: "i-0", IsResumption: true}, IsEnded: true}
	lost := streamOf(try("a", "v1", 1, 3).cut(), refused)
	kept := streamOf(try("a", "v1", 1, 3).cut(), try("b", "v1", 4, 8).resumed())
	notBegun := streamOf(streamTry{call: call{Attempt: "a", Status: 503, Begin: timeAt(6), End: timeAt(6.1), Instance: "i-0"}, IsEnded: true})
	kill := func(target int) Fault {
		return Fault{Kind: KillInstance, Target: target, Begin: seconds(4), End: seconds(4.5)}
	}
	tests := map[string]struct {
		plan                 []Fault
		lost, kept, notBegun int
		serving              int
		want                 int
	}{
		"all go on":                           {nil, 0, 12, 0, 2, 0},
		"none goes on":                        {nil, 12, 0, 0, 2, 1},
		"too few to tell":                     {nil, 11, 0, 0, 2, 0},
		"exactly half":                        {nil, 6, 6, 0, 2, 0},
		"less than half":                      {nil, 7, 6, 0, 2, 1},
		"as few new ones begin":               {nil, 9, 6, 20, 2, 0},
		"with one endpoint of the version":    {nil, 12, 0, 0, 1, 0},
		"after a kill of the instance":        {[]Fault{kill(0)}, 12, 0, 0, 2, 0},
		"after a kill of another instance":    {[]Fault{kill(1)}, 12, 0, 0, 2, 1},
		"after a kill of all":                 {[]Fault{{Kind: KillAllInstances, Begin: seconds(4), End: seconds(5)}}, 12, 0, 0, 2, 0},
		"long after a kill of all":            {[]Fault{{Kind: KillAllInstances, Begin: seconds(0), End: seconds(1)}}, 12, 0, 0, 2, 1},
		"beside a silent engine":              {[]Fault{{Kind: HangStreams, Begin: seconds(4), End: seconds(7)}}, 12, 0, 0, 2, 1},
		"out of touch with the store":         {[]Fault{{Kind: PauseStore, Begin: seconds(4), End: seconds(7)}}, 12, 0, 0, 2, 0},
		"while another is out of touch":       {[]Fault{{Kind: PauseStore, Target: 1, Begin: seconds(4), End: seconds(7)}}, 12, 0, 0, 2, 1},
		"while the store is brought back":     {[]Fault{{Kind: RestoreStore, Begin: seconds(4), End: seconds(5)}}, 12, 0, 0, 2, 0},
		"beside a replacement of endpoints":   {[]Fault{{Kind: ReplaceEndpoints, Begin: seconds(4), End: seconds(7)}}, 12, 0, 0, 2, 1},
		"beside a kill after the fault's end": {[]Fault{{Kind: KillInstance, Begin: seconds(40), End: seconds(41)}}, 12, 0, 0, 2, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var streams []stream
			for range test.lost {
				streams = append(streams, lost)
			}
			for range test.kept {
				streams = append(streams, kept)
			}
			for range test.notBegun {
				streams = append(streams, notBegun)
			}
			countServing := func(version string, from, _ time.Time) int {
				qt.Check(t, fmt.Sprint(version, from), qt.Equals, fmt.Sprint("v1", timeAt(6).Add(-servingTime)))
				return test.serving
			}
			got, _ := newStreamChecker(test.plan...).checkStreams(streams, countServing)
			qt.Assert(t, got, qt.HasLen, test.want, qt.Commentf("%v", got))
			for _, v := range got {
				qt.Assert(t, v.Guarantee, qt.Equals, "StreamsGoOn")
			}
		})
	}
}
