package hitchburn

import (
	"cmp"
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Summary holds the counts of one or more routers. The maximum number of names per
// dimension bounds its size. Summaries can be merged in any order.
type Summary struct {
	AsOf time.Time
	// Routers are those that the summary covers.
	Routers []hitchfleet.InstanceID
	// Missing are the routers that didn't respond.
	Missing []MissingRouter `json:",omitempty"`
	Series  []Series
	// Latencies has one element per route.
	Latencies []Latency
}

// MissingRouter is a router whose summary couldn't be fetched.
type MissingRouter struct {
	Instance hitchfleet.InstanceID
	Address  string
	Error    string
}

// Series is the history of one service level for one name of a dimension.
type Series struct {
	Dimension Dimension
	Name      string
	Level     Level
	// Rings count the same events at resolutions from 15 s to 3 h.
	Rings [ringCount]Ring
}

// Latency holds a route's latencies of the last one to two hours, in units of
// 100 µs, in the HdrHistogram V2 compressed encoding.
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

// Count returns the number of events in a window that ends now.
func (s Series) Count(now time.Time, w Window) Count {
	at := windowSpans[w]
	return s.Rings[at.ring].sumLast(resolutions[at.ring].bucketIndex(now), at.buckets)
}

// merge returns the sum of two histories of one series.
func (s Series) merge(o Series) Series {
	for i, r := range resolutions {
		s.Rings[i] = s.Rings[i].merge(o.Rings[i], r.buckets)
	}
	return s
}

// Summary returns the recorder's counts.
func (r *Recorder) Summary(now time.Time) Summary {
	s := Summary{AsOf: now.UTC(), Series: []Series{}, Latencies: []Latency{}}
	for i := range r.shards {
		s = r.shards[i].appendTo(now, s)
	}
	return s.sorted()
}

// appendTo appends the shard's series and latencies to a summary.
func (s *recorderShard) appendTo(now time.Time, sum Summary) Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, e := range s.entries {
		for l, c := range e.levels {
			if c != nil {
				sum.Series = append(sum.Series, Series{key.dimension, key.name, Level(l), c.exportRings()})
			}
		}
		if key.dimension != ByRoute {
			continue
		}
		latency := Latency{hitchfleet.RouteID(key.name), e.firstToken.encode(now), e.tokenGap.encode(now)}
		if latency.FirstToken != nil || latency.TokenGap != nil {
			sum.Latencies = append(sum.Latencies, latency)
		}
	}
	return sum
}

// WithRouter returns a copy with the ID of the router that it covers.
func (s Summary) WithRouter(id hitchfleet.InstanceID) Summary {
	s.Routers = []hitchfleet.InstanceID{id}
	return s
}

// WithMissing returns a copy with one more router that didn't respond.
func (s Summary) WithMissing(m MissingRouter) Summary {
	s.Missing = append(slices.Clone(s.Missing), m)
	return s
}

// Merge returns the sum of summaries. A router that is in several of them is listed
// once in Routers, but its events are counted each time.
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
		for _, one := range s.Series {
			sum.Series = mergeItem(sum.Series, series, one.key(), one, Series.merge)
		}
		for _, one := range s.Latencies {
			sum.Latencies = mergeItem(sum.Latencies, routes, one.Route, one, Latency.merge)
		}
	}
	return sum.sorted()
}

// mergeItem merges an item into the one with the same key, or appends it. index maps
// the keys to their positions in all.
func mergeItem[K comparable, T any](all []T, index map[K]int, key K, item T, merge func(T, T) T) []T {
	i, ok := index[key]
	if ok {
		all[i] = merge(all[i], item)
		return all
	}
	index[key] = len(all)
	return append(all, item)
}

// merge returns the merged histograms of two latencies of one route.
func (l Latency) merge(o Latency) Latency {
	l.FirstToken = mergeEncoded(l.FirstToken, o.FirstToken)
	l.TokenGap = mergeEncoded(l.TokenGap, o.TokenGap)
	return l
}

// sorted returns the summary in an order that doesn't depend on the order in which
// routers responded.
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
