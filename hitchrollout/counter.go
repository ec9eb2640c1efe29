package hitchrollout

import (
	"slices"
	"strings"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Limits of counters.
const (
	// longPromptTokens is the number of uncached tokens from which a prompt is a long one.
	longPromptTokens = 500
	// minPauses is the number of pauses between events for a mean that counts.
	minPauses = 2
	// maxRuns and maxRoutes limit the size of the counts. Attempts beyond them count together.
	maxRuns   = 24
	maxRoutes = 12
)

// otherRoutes is the route of attempts for whose own route there is no room.
const otherRoutes = hitchfleet.RouteID("*")

// Attempt is a request at an endpoint.
type Attempt struct {
	Route hitchfleet.RouteID
	Run   hitchfleet.RunID
	// IsNew is set if the endpoint is of the new version.
	IsNew bool
	// IsCold is set if the endpoint is in its cold start. The attempt counts as exposure, but is
	// no evidence.
	IsCold bool
	// UncachedTokens is the number of tokens of the prompt that the endpoint hasn't cached; 0 for
	// plain services.
	UncachedTokens int
}

// class returns the class of the attempt's time to the first event, and that time normalised.
func (a Attempt) class(d time.Duration) (Class, time.Duration) {
	if a.UncachedTokens < longPromptTokens {
		return ShortPrompt, d
	}
	return LongPrompt, d / time.Duration(a.UncachedTokens)
}

// Outcome is how an attempt ended.
type Outcome struct {
	// IsFailure is set for an error status, a truncated response, a cut connection, and no
	// response by the request's deadline.
	IsFailure bool
	// IsIgnored is set if the outcome says nothing of the version: a refusal, or a caller that
	// disconnected.
	IsIgnored bool
	// Events is the number of events of the response; at most 1 if it isn't a stream.
	Events int
}

// Sample is an attempt that has ended.
type Sample struct {
	Attempt
	Outcome
	BeganAt time.Time
	// FirstAt is when the first event came, or the whole response if there are none; zero if
	// nothing came.
	FirstAt time.Time
}

// Counter counts an instance's evidence for one service. The zero value is ready to use. Its
// methods are safe for concurrent use.
type Counter struct {
	mu        sync.Mutex
	order     hitchfleet.Revision
	sequence  uint32
	arrived   uint32
	exposed   uint32
	durations buckets
	routes    map[hitchfleet.RouteID]*routeCount
	runs      int
	waiting   map[*Flight]struct{}
}

// routeCount are the counts of a route.
type routeCount struct {
	old runCount
	new map[hitchfleet.RunID]*runCount
}

// runCount are the counts of a run, or of several.
type runCount struct {
	responses, failures uint32
	times, waiting      [classes]buckets
}

// counts returns the counts in their compact form.
func (r *runCount) counts(run hitchfleet.RunID) RunCounts {
	c := RunCounts{Run: run, Responses: r.responses, Failures: r.failures}
	for class := range classes {
		c.Times[class], c.Waiting[class] = r.times[class].histogram(), r.waiting[class].histogram()
	}
	return c
}

// SetOrder starts the counts anew if the order is another one.
func (c *Counter) SetOrder(revision hitchfleet.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.order == revision {
		return
	}
	c.order, c.arrived, c.exposed, c.runs = revision, 0, 0, 0
	c.durations, c.routes, c.waiting = buckets{}, nil, nil
}

// Arrive counts a request of the service, once, whichever group its first attempt goes to.
func (c *Counter) Arrive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrived++
}

// Begin counts an attempt that is sent. The caller ends it by Flight.End.
func (c *Counter) Begin(now time.Time, a Attempt) *Flight {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expose(a)
	f := &Flight{counter: c, order: c.order, sample: Sample{Attempt: a, BeganAt: now}}
	if !a.IsCold {
		if c.waiting == nil {
			c.waiting = make(map[*Flight]struct{})
		}
		c.waiting[f] = struct{}{}
	}
	return f
}

// Observe counts an attempt that has ended and that Begin hasn't counted.
func (c *Counter) Observe(now time.Time, s Sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expose(s.Attempt)
	c.observe(now, s)
}

// expose counts an attempt at the new version.
func (c *Counter) expose(a Attempt) {
	if a.IsNew {
		c.exposed++
	}
}

// observe counts the outcome of an attempt.
func (c *Counter) observe(now time.Time, s Sample) {
	if s.IsIgnored || s.IsCold {
		return
	}
	r := c.run(s.Attempt)
	r.responses++
	if s.IsFailure {
		r.failures++
		return
	}
	first := s.FirstAt
	if first.IsZero() {
		first = now
	}
	class, normalised := s.class(first.Sub(s.BeganAt))
	r.times[class][bucketOf(normalised)]++
	if pauses := s.Events - 1; pauses >= minPauses {
		r.times[Pause][bucketOf(now.Sub(first)/time.Duration(pauses))]++
	}
	if !s.IsNew {
		c.durations[bucketOf(now.Sub(s.BeganAt))]++
	}
}

// run returns the counts for an attempt.
func (c *Counter) run(a Attempt) *runCount {
	if c.routes == nil {
		c.routes = make(map[hitchfleet.RouteID]*routeCount)
	}
	if c.routes[a.Route] == nil && len(c.routes) >= maxRoutes {
		a.Route = otherRoutes
	}
	route := c.routes[a.Route]
	if route == nil {
		route = &routeCount{new: make(map[hitchfleet.RunID]*runCount)}
		c.routes[a.Route] = route
	}
	if !a.IsNew {
		return &route.old
	}
	r := route.new[a.Run]
	if r == nil {
		if c.runs >= maxRuns {
			a.Run = 0
		}
		if r = route.new[a.Run]; r == nil {
			r = &runCount{}
			route.new[a.Run] = r
			c.runs++
		}
	}
	return r
}

// Counts returns the counts for the next report. inFlightOld is the number of the instance's
// requests in flight at endpoints of other versions than the new one, streams and requests from
// before the order included.
func (c *Counter) Counts(now time.Time, service hitchfleet.ServiceID, inForce InForce, inFlightOld int) Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence++
	counts := Counts{
		Service: service, InForce: inForce, Sequence: c.sequence, Arrived: c.arrived, Exposed: c.exposed,
		InFlightOld: uint32(max(inFlightOld, 0)), Durations: c.durations.histogram(),
	}
	var touched []*runCount
	for f := range c.waiting {
		class, normalised := f.sample.class(now.Sub(f.sample.BeganAt))
		r := c.run(f.sample.Attempt)
		r.waiting[class][bucketOf(normalised)]++
		touched = append(touched, r)
	}
	for id, route := range c.routes {
		counts.Routes = append(counts.Routes, RouteCounts{Route: id, Old: route.old.counts(0)})
		last := &counts.Routes[len(counts.Routes)-1]
		for run, r := range route.new {
			last.New = append(last.New, r.counts(run))
		}
		slices.SortFunc(last.New, func(a, b RunCounts) int { return int(int64(a.Run) - int64(b.Run)) })
	}
	slices.SortFunc(counts.Routes, func(a, b RouteCounts) int { return strings.Compare(string(a.Route), string(b.Route)) })
	for _, r := range touched {
		r.waiting = [classes]buckets{}
	}
	return counts
}

// Flight is an attempt that hasn't ended. A nil *Flight does nothing.
type Flight struct {
	counter *Counter
	order   hitchfleet.Revision
	sample  Sample
	isEnded bool
}

// First records that the first event has come, or the whole response if there are none.
func (f *Flight) First(now time.Time) {
	if f == nil {
		return
	}
	f.counter.mu.Lock()
	defer f.counter.mu.Unlock()
	if f.sample.FirstAt.IsZero() {
		f.sample.FirstAt = now
		delete(f.counter.waiting, f)
	}
}

// End counts the attempt's outcome. Later calls do nothing.
func (f *Flight) End(now time.Time, o Outcome) {
	if f == nil {
		return
	}
	f.counter.mu.Lock()
	defer f.counter.mu.Unlock()
	if f.isEnded {
		return
	}
	f.isEnded = true
	delete(f.counter.waiting, f)
	if f.order == f.counter.order {
		f.sample.Outcome = o
		f.counter.observe(now, f.sample)
	}
}
