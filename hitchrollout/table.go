package hitchrollout

import (
	"citronhitch.example/citronhitch/hitchfleet"
)

// cell counts the bad responses by a metric.
type cell struct{ bad, total float64 }

func (c cell) plus(o cell) cell  { return cell{c.bad + o.bad, c.total + o.total} }
func (c cell) minus(o cell) cell { return cell{max(c.bad-o.bad, 0), max(c.total-o.total, 0)} }

// cells are the counts by all metrics.
type cells [metrics]cell

// table compares the versions.
type table struct {
	old cells
	new map[hitchfleet.RunID]cells
}

// add adds the counts of a route to those of others.
func (t *table) add(other table) {
	for m := range t.old {
		t.old[m] = t.old[m].plus(other.old[m])
	}
	if t.new == nil {
		t.new = make(map[hitchfleet.RunID]cells, len(other.new))
	}
	for run, c := range other.new {
		sum := t.new[run]
		for m := range sum {
			sum[m] = sum[m].plus(c[m])
		}
		t.new[run] = sum
	}
}

// medians are the buckets of the old versions' medians on a route, by class; -1 if unknown.
type medians [classes]int

func (r *runCount) medians() (m medians) {
	for class := range classes {
		m[class] = -1
		if r.times[class].total() >= minMedian {
			m[class] = r.times[class].quantile(0.5)
		}
	}
	return m
}

// cells returns the counts by all metrics, given the medians. Attempts that have waited for longer
// than is slow count as slow before their response comes.
func (r *runCount) cells(m medians) (c cells) {
	c[failureMetric] = cell{float64(r.failures), float64(r.responses)}
	for class, median := range m {
		if median < 0 {
			continue
		}
		first := timeMetric
		if Class(class) == Pause {
			first = pauseMetric
		}
		total := r.times[class].total()
		for n, above := range slowBuckets {
			waiting := r.waiting[class].from(median + above)
			slow := r.times[class].from(median+above) + waiting
			c[first+n] = c[first+n].plus(cell{float64(slow), float64(total + waiting)})
		}
	}
	return c
}

// cells returns the counts of a checkpoint by all metrics.
func (c RunCounts) cells(m medians) (out cells) {
	out[failureMetric] = cell{float64(c.Failures), float64(c.Responses)}
	for class, median := range m {
		if median < 0 {
			continue
		}
		first := timeMetric
		if Class(class) == Pause {
			first = pauseMetric
		}
		h := c.Times[class]
		for n := 0; n+1 < len(h); n += 2 {
			for metric, above := range slowBuckets {
				out[first+metric].total += float64(h[n+1])
				if int(h[n]) >= median+above {
					out[first+metric].bad += float64(h[n+1])
				}
			}
		}
	}
	return out
}

// tables returns the comparison on each route since a checkpoint, or since the order if it is nil.
func (s sums) tables(since *checkpoint) map[hitchfleet.RouteID]table {
	tables := make(map[hitchfleet.RouteID]table, len(s.routes))
	for id, route := range s.routes {
		m := route.old.medians()
		t := table{old: route.old.cells(m), new: make(map[hitchfleet.RunID]cells, len(route.new))}
		var then routeCheckpoint
		if since != nil {
			then = since.routes[id]
			t.old = t.old.minus(then.old.cells(m))
		}
		for run, counts := range route.new {
			c := counts.cells(m)
			if before, ok := then.new[run]; ok {
				c = c.minus(before.cells(m))
			}
			t.new[run] = c
		}
		tables[id] = t
	}
	return tables
}

func (c cells) minus(o cells) cells {
	for m := range c {
		c[m] = c[m].minus(o[m])
	}
	return c
}
