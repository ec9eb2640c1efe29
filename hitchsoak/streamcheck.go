package hitchsoak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

// Bounds of the guarantees for streams.
const (
	// maxMixedStreams is the number of streams of a soak that may hold events of two
	// versions. They are printed in any case.
	maxMixedStreams = 2
	// minGoOnRatio is the least share of the streams taken up that go on, relative to the
	// share of new streams that begin. It is compared if there are minTakeUps.
	minGoOnRatio = 0.5
	minTakeUps   = 12
	// minServing is the number of endpoints of a stream's version that must have served
	// from servingTime before the stream was taken up.
	minServing  = 2
	servingTime = time.Second
)

// streamCounts counts the streams that began and those that went on.
type streamCounts struct {
	// New counts the requests for new streams at undisturbed instances, and Begun those
	// that sent an event.
	New, Begun int
	// TakenUp counts the requests for the rest of a stream at undisturbed instances while
	// minServing endpoints of its version served, and GoneOn those that sent an event.
	TakenUp, GoneOn int
	// AllTakenUp and AllGoneOn count them all.
	AllTakenUp, AllGoneOn int
	// Mixed counts the streams with events of two versions, and MixedInOne those with such
	// events in one response.
	Mixed, MixedInOne int
}

// String returns the counts as they are printed in reports.
func (n streamCounts) String() string {
	return fmt.Sprintf("Streams New=%d Begun=%d TakenUp=%d GoneOn=%d AllTakenUp=%d AllGoneOn=%d Mixed=%d MixedInOneResponse=%d",
		n.New, n.Begun, n.TakenUp, n.GoneOn, n.AllTakenUp, n.AllGoneOn, n.Mixed, n.MixedInOne)
}

// checkStreams returns the violations that streams show over all their tries, and notes of
// what was counted and what is tolerated. The function countServing returns the number of
// endpoints of a version that served during a period.
func (c *checker) checkStreams(streams []stream, countServing func(version string, from, to time.Time) int) (out []Violation, notes []string) {
	var counts streamCounts
	var mixed []Violation
	for _, s := range streams {
		out = append(out, checkPieces(s)...)
		c.count(&counts, s, countServing)
		if versions := versionsOf(s.Tries...); len(versions) > 1 {
			counts.Mixed++
			if slices.ContainsFunc(s.Tries, func(t streamTry) bool { return len(versionsOf(t)) > 1 }) {
				counts.MixedInOne++
			}
			mixed = append(mixed, Violation{Guarantee: "SameVersion", Call: s.Tries[0].Attempt, Detail: c.describe(s)})
		}
	}
	notes = append(notes, counts.String())
	if counts.Mixed > maxMixedStreams {
		out = append(out, mixed...)
	} else {
		for _, v := range mixed {
			notes = append(notes, "Tolerated "+v.String())
		}
	}
	return append(out, checkGoOn(counts)...), notes
}

// checkGoOn checks the share of streams taken up that went on.
func checkGoOn(n streamCounts) []Violation {
	if n.TakenUp < minTakeUps || n.New == 0 {
		return nil
	}
	goOn, begin := float64(n.GoneOn)/float64(n.TakenUp), float64(n.Begun)/float64(n.New)
	if goOn >= minGoOnRatio*begin {
		return nil
	}
	return []Violation{{Guarantee: "StreamsGoOn", Detail: fmt.Sprintf("%d of %d streams taken up went on, %d of %d new ones began", n.GoneOn, n.TakenUp, n.Begun, n.New)}}
}

// count counts the tries of a stream.
func (c *checker) count(n *streamCounts, s stream, countServing func(version string, from, to time.Time) int) {
	version := ""
	for _, t := range s.Tries {
		goesOn := len(t.Events) > 0
		isUndisturbed := c.isInstanceUndisturbed(t.Instance, t.Begin, t.answeredAt())
		switch {
		case !t.IsResumption && isUndisturbed:
			countTry(&n.New, &n.Begun, goesOn)
		case t.IsResumption:
			countTry(&n.AllTakenUp, &n.AllGoneOn, goesOn)
			if isUndisturbed && countServing(version, t.Begin.Add(-servingTime), t.answeredAt()) >= minServing {
				countTry(&n.TakenUp, &n.GoneOn, goesOn)
			}
		}
		if version == "" && goesOn {
			version = t.Events[0].Version
		}
	}
}

// countTry counts a try, and its success if it was one.
func countTry(tries, successes *int, isSuccess bool) {
	*tries++
	if isSuccess {
		*successes++
	}
}

// answeredAt returns the time of the first event, or of the end if there was none.
func (t streamTry) answeredAt() time.Time {
	if len(t.Events) > 0 {
		return t.FirstEventAt
	}
	return t.End
}

// isInstanceUndisturbed reports whether no fault affected an instance or its connection to
// the store during an interval and faultSettleTime before it.
func (c *checker) isInstanceUndisturbed(instance string, from, to time.Time) bool {
	return !slices.ContainsFunc(c.plan, func(f Fault) bool {
		switch f.Kind {
		case KillInstance, StopInstance, PauseInstance, ThrottleInstance, SilenceStore, PauseStore:
			return c.addrs[f.Target] == instance && c.overlaps(f, from.Add(-faultSettleTime), to)
		case KillAllInstances, RestoreStore:
			return c.overlaps(f, from.Add(-faultSettleTime), to)
		default:
			return false
		}
	})
}

// checkPieces checks that the responses to all tries of a stream are its events in order,
// without a gap or a repeat, and that only the last event ends it.
func checkPieces(s stream) (out []Violation) {
	want := 0
	for _, t := range s.Tries {
		add := func(format string, args ...any) {
			out = append(out, Violation{Guarantee: "ResumedStream", Call: t.Attempt, Detail: fmt.Sprintf(format, args...)})
		}
		for _, event := range t.Events {
			want++
			if event.ID != want {
				add("event %d, want %d", event.ID, want)
				want = event.ID
			}
			if event.Attempt != t.Attempt {
				add("event %d is of %s", event.ID, event.Attempt)
			}
		}
		if t.Status != http.StatusOK {
			continue
		}
		if t.IsEnded && (t.Rest != "" || want != hitchstandin.ShapeOf(s.Path).Events) {
			add("ended as complete after event %d and %q", want, t.Rest)
		}
		if strings.Contains(t.Rest, "\n\n") {
			add("bytes that are no event: %q", t.Rest)
		}
	}
	return out
}

// versionsOf returns the versions of the events of tries.
func versionsOf(tries ...streamTry) (out []string) {
	for _, t := range tries {
		for _, event := range t.Events {
			if !slices.Contains(out, event.Version) {
				out = append(out, event.Version)
			}
		}
	}
	return out
}

// describe returns the tries of a stream with the versions of their events and their runs.
func (c *checker) describe(s stream) string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "versions %v at %s", versionsOf(s.Tries...), s.Path)
	for _, t := range s.Tries {
		_, _ = fmt.Fprintf(&b, "; %s at %s, %.3fs to %.3fs, after event %d: %d, %d events of %v", t.Attempt, t.Instance,
			t.Begin.Sub(c.start).Seconds(), t.End.Sub(c.start).Seconds(), t.LastEventID, t.Status, len(t.Events), versionsOf(t))
		switch {
		case t.IsDropped:
			b.WriteString(", dropped by the caller")
		case t.Err != nil:
			_, _ = fmt.Fprintf(&b, ", %v", t.Err)
		}
		for _, r := range c.runLog.Runs(t.Attempt) {
			_, _ = fmt.Fprintf(&b, ", run at %.3fs by %s (%s) after event %d wrote %d", r.At.Sub(c.start).Seconds(), r.Endpoint, r.Version, r.LastEventID, r.Events)
		}
	}
	return b.String()
}
