package hitchburn

import (
	"cmp"
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Summary is what one router, or several together, counted. Its size is bounded
// by the most names of each dimension. Summaries merge in any order.
type Summary struct {
	AsOf time.Time
	// Routers are those that the counts come from.
	Routers []hitchfleet.InstanceID
	// Missing are the routers that didn't answer.
	Missing []MissingRouter `json:",omitempty"`
	Series  []Series
	// Latencies are by route.
	Latencies []Latency
}

// MissingRouter is a router that gave no summary.
type MissingRouter struct {
	Instance hitchfleet.InstanceID
	Address  string
	Error    string
}

// Series is the history of one level for one name of a dimension.
type Series struct {
	Dimension Dimension
	Name      string
	Level     Level
	// Rings are the same events at resolutions from 15 s to 3 h.
	Rings [ringCount]Ring
}

// Latency holds a route's times of the last one to two hours, in units of 100 µs,
// as HdrHistogram V2 compressed encodings.
type Latency struct {
	Route      hitchfleet.RouteID
	FirstToken []byte `json:",omitempty"`
	TokenGap   []byte `json:",omitempty"`
}

// seriesKey identifies a series.
type seriesKey struct {
	dimension Dimension
	name      string
	level     Level
}

func (s Series) key() seriesKey { return seriesKey{s.Dimension, s.Name, s.Level} }

// Count returns the events of a window that ends now.
func (s Series) Count(now time.Time, w Window) Count {
	at := spans[w]
	return s.Rings[at.ring].sum(resolutions[at.ring].slot(now), at.buckets)
}

// plus returns the sum of two histories of the same series.
func (s Series) plus(o Series) Series {
	for i, r := range resolutions {
		s.Rings[i] = s.Rings[i].plus(o.Rings[i], r.buckets)
	}
	return s
}

// Summary returns what the recorder has counted.
func (r *Recorder) Summary(now time.Time) Summary {
	s := Summary{AsOf: now.UTC(), Series: []Series{}, Latencies: []Latency{}}
	for i := range r.shards {
		s = r.shards[i].summarize(now, s)
	}
	return s.sorted()
}

// summarize appends what a shard holds to a summary.
func (s *recorderShard) summarize(now time.Time, sum Summary) Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, x := range s.entries {
		for l, c := range x.levels {
			if c != nil {
				sum.Series = append(sum.Series, Series{key.dimension, key.name, Level(l), c.rings()})
			}
		}
		if key.dimension != ByRoute {
			continue
		}
		latency := Latency{hitchfleet.RouteID(key.name), x.firstToken.encode(now), x.tokenGap.encode(now)}
		if latency.FirstToken != nil || latency.TokenGap != nil {
			sum.Latencies = append(sum.Latencies, latency)
		}
	}
	return sum
}

// WithRouter returns a copy that says which router counted.
func (s Summary) WithRouter(id hitchfleet.InstanceID) Summary {
	s.Routers = []hitchfleet.InstanceID{id}
	return s
}

// WithMissing returns a copy that names one more router without an answer.
func (s Summary) WithMissing(m MissingRouter) Summary {
	s.Missing = append(slices.Clone(s.Missing), m)
	return s
}

// Merge returns the sum of summaries. A router that is in several counts once in
// Routers, but its events count each time.
func Merge(all ...Summary) Summary {
	sum := Summary{Series: []Series{}, Latencies: []Latency{}}
	series := make(map[seriesKey]int)
	routes := make(map[hitchfleet.RouteID]int)
	for _, s := range all {
		if s.AsOf.After(sum.AsOf) {
			sum.AsOf = s.AsOf
		}
		sum.Routers = append(sum.Routers, s.Routers...)
		sum.Missing = append(sum.Missing, s.Missing...)
		for _, x := range s.Series {
			sum.Series = addTo(sum.Series, series, x.key(), x, Series.plus)
		}
		for _, x := range s.Latencies {
			sum.Latencies = addTo(sum.Latencies, routes, x.Route, x, Latency.plus)
		}
	}
	return sum.sorted()
}

// addTo adds an item to the one with its key, whose place in all index knows.
func addTo[K comparable, T any](all []T, index map[K]int, key K, item T, plus func(T, T) T) []T {
	i, ok := index[key]
	if ok {
		all[i] = plus(all[i], item)
		return all
	}
	index[key] = len(all)
	return append(all, item)
}

// plus returns the times of both.
func (l Latency) plus(o Latency) Latency {
	l.FirstToken = joined(l.FirstToken, o.FirstToken)
	l.TokenGap = joined(l.TokenGap, o.TokenGap)
	return l
}

// sorted puts everything in an order that doesn't depend on who answered first.
func (s Summary) sorted() Summary {
	slices.Sort(s.Routers)
	s.Routers = slices.Compact(s.Routers)
	slices.SortFunc(s.Missing, func(a, b MissingRouter) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Address, b.Address))
	})
	slices.SortFunc(s.Series, func(a, b Series) int {
		return cmp.Or(cmp.Compare(a.Dimension, b.Dimension), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Level, b.Level))
	})
	slices.SortFunc(s.Latencies, func(a, b Latency) int { return cmp.Compare(a.Route, b.Route) })
	return s
}
