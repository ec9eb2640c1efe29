package hitchdispatch

import (
	"slices"
	"time"
)

// Order of the queue.
const (
	// rankCount is the number of ranks; less urgent ones count as the last.
	rankCount = 10
	// rankTime is over which time the arrivals and assignments of a rank fade.
	rankTime = 2 * time.Second
	// leastRankShare is the part of the served share of more urgent ranks that a rank gets
	// although they wait, and leastRankDelay how long it has to wait for each.
	leastRankShare = 0.25
	leastRankDelay = 20 * time.Millisecond
	// lateInterval is how many of a rank's slots go to one request that missed its objective,
	// while others can still meet theirs.
	lateInterval = 8
)

// queue holds the waiting requests. The zero value is empty.
type queue struct {
	ranks [rankCount]rank
	count int
}

// rank holds the waiting requests of a rank.
type rank struct {
	// timely requests can still meet their objective, late ones can't.
	timely, late lane
	// objectives holds the timely ones by the time at which they become late.
	objectives heapOf[*entry]
	// arrivals, admitted and assigned are recent counts.
	arrivals, admitted, assigned counter
	// unservedSince is when the rank got its last slot or its first waiting request.
	unservedSince time.Time
	// sinceLate counts the slots of timely requests since one of a late request.
	sinceLate int
}

// lane holds requests by organisation.
type lane struct {
	lines heapOf[*line]
	byOrg map[*organisation]*line
	count int
}

// line holds the requests of one organisation in a lane.
type line struct {
	lane     *lane
	org      *organisation
	entries  heapOf[*entry]
	position int
}

// rankOf returns the rank of a request.
func (q *queue) rankOf(e *entry) *rank { return &q.ranks[min(e.Rank, rankCount-1)] }

// count returns the number of waiting requests of the rank.
func (r *rank) count() int { return r.timely.count + r.late.count }

// add adds a request.
func (q *queue) add(now time.Time, e *entry) {
	r := q.rankOf(e)
	if r.count() == 0 {
		r.unservedSince = now
	}
	q.count++
	if !now.Before(e.lateAt) {
		r.late.add(e)
		return
	}
	r.timely.add(e)
	if r.objectives.isLess == nil {
		r.objectives = heapOf[*entry]{
			isLess:   func(a, b *entry) bool { return a.lateAt.Before(b.lateAt) },
			position: func(e *entry) *int { return &e.objectivePosition },
		}
	}
	r.objectives.set(e)
}

// remove removes a request.
func (q *queue) remove(e *entry) {
	if e.line == nil {
		return
	}
	q.rankOf(e).objectives.remove(e)
	e.line.lane.remove(e)
	q.count--
}

// age moves the requests that can no longer meet their objective.
func (q *queue) age(now time.Time) {
	for n := range q.ranks {
		r := &q.ranks[n]
		for e, ok := r.objectives.first(); ok && !now.Before(e.lateAt); e, ok = r.objectives.first() {
			r.objectives.remove(e)
			r.timely.remove(e)
			r.late.add(e)
		}
	}
}

// next returns the request that is served next, and nil if none waits. skipped are left out.
func (q *queue) next(now time.Time, skipped []*entry) *entry {
	var first *rank
	// least is the least served share of the more urgent ranks.
	least := 1.0
	for n := range q.ranks {
		r := &q.ranks[n]
		if r.count() > 0 && (first == nil || r.isOwed(now, least)) {
			if e := r.next(skipped); e != nil {
				if first != nil {
					return e
				}
				first = r
			}
		}
		if arrivals := r.arrivals.valueAt(now, rankTime); arrivals >= 1 {
			least = min(least, r.assigned.valueAt(now, rankTime)/arrivals)
		}
	}
	if first == nil {
		return nil
	}
	return first.next(skipped)
}

// isOwed reports whether the rank goes before more urgent ones, of which least is the least
// served share.
func (r *rank) isOwed(now time.Time, least float64) bool {
	return now.Sub(r.unservedSince) >= leastRankDelay &&
		r.assigned.valueAt(now, rankTime) < leastRankShare*least*r.arrivals.valueAt(now, rankTime)
}

// next returns the request of the rank that is served next.
func (r *rank) next(skipped []*entry) *entry {
	lanes := [2]*lane{&r.timely, &r.late}
	if r.sinceLate >= lateInterval-1 {
		lanes = [2]*lane{&r.late, &r.timely}
	}
	for _, l := range lanes {
		if e := l.next(skipped); e != nil {
			return e
		}
	}
	return nil
}

// serve removes a request that gets a slot.
func (q *queue) serve(now time.Time, e *entry) {
	r := q.rankOf(e)
	if e.line.lane == &r.late || r.late.count == 0 {
		r.sinceLate = 0
	} else {
		r.sinceLate++
	}
	q.remove(e)
	r.assigned.add(now, 1, rankTime)
	r.unservedSince = now
}

// add adds a request.
func (l *lane) add(e *entry) {
	if l.byOrg == nil {
		l.byOrg = make(map[*organisation]*line)
		l.lines = heapOf[*line]{
			isLess:   func(a, b *line) bool { return a.org.share < b.org.share },
			position: func(l *line) *int { return &l.position },
		}
	}
	of := l.byOrg[e.org]
	if of == nil {
		of = &line{lane: l, org: e.org, entries: heapOf[*entry]{
			isLess:   func(a, b *entry) bool { return a.order < b.order },
			position: func(e *entry) *int { return &e.linePosition },
		}}
		l.byOrg[e.org] = of
		e.org.lines = append(e.org.lines, of)
		l.lines.set(of)
	}
	e.line = of
	of.entries.set(e)
	l.count++
}

// remove removes a request, and its line if that is empty.
func (l *lane) remove(e *entry) {
	of := e.line
	e.line = nil
	of.entries.remove(e)
	l.count--
	if of.entries.Len() > 0 {
		return
	}
	l.lines.remove(of)
	delete(l.byOrg, of.org)
	of.org.lines = slices.DeleteFunc(of.org.lines, func(other *line) bool { return other == of })
}

// next returns the request that is served next.
func (l *lane) next(skipped []*entry) *entry {
	first, ok := l.lines.first()
	if !ok {
		return nil
	}
	if e := first.entries.items[0]; !slices.Contains(skipped, e) {
		return e
	}
	// Only requests that can't use the free endpoints are skipped, which are few.
	var best *entry
	for _, of := range l.lines.items {
		if best != nil && best.org.share <= of.org.share {
			continue
		}
		for _, e := range of.entries.items {
			if !slices.Contains(skipped, e) {
				best = e
				break
			}
		}
	}
	return best
}

// ahead returns how many requests of the lane come before one more of an organisation, if
// organisations take turns.
func (l *lane) ahead(org *organisation) (n int) {
	own := 1
	if of := l.byOrg[org]; of != nil {
		own = of.entries.Len()
	}
	for _, of := range l.lines.items {
		n += min(of.entries.Len(), own)
	}
	return n
}
