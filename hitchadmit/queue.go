package hitchadmit

import (
	"slices"
	"time"
)

// batchEvery is how many queued grants go to interactive asks for each one that
// goes to a waiting batch ask, so that batch work doesn't starve.
const batchEvery = 8

// waiting is a queued ask.
type waiting struct {
	ask Ask
	// arrived and deadline are steady times.
	arrived  time.Time
	deadline time.Time
	tenant   *tenant
	start    float64
	// held is set while the entry is passed over since its tenant is above its share.
	held bool
}

// queue orders the asks that wait at one endpoint by start-time fair queueing
// (Goyal, Vin, Cheng: Start-Time Fair Queueing, 1996) inside each priority.
type queue struct {
	entries []waiting
	// virtual is the start tag last served, by priority.
	virtual [priorities]float64
	// interactive counts the grants to interactive asks since the last batch one.
	interactive int
}

func (q *queue) find(id GrantID) int {
	return slices.IndexFunc(q.entries, func(w waiting) bool { return w.ask.ID == id })
}

// startTag is the tag that an ask of the tenant would get.
func (q *queue) startTag(t *tenant, p Priority) float64 {
	return max(q.virtual[p], t.finish[p])
}

// push adds an ask. The caller counts it to its tenant.
func (q *queue) push(a *Ask, arrived, deadline time.Time, t *tenant) {
	start := q.startTag(t, a.Priority)
	t.finish[a.Priority] = start + float64(a.Cost)/t.weight
	q.entries = append(q.entries, waiting{ask: *a, arrived: arrived, deadline: deadline, tenant: t, start: start})
}

// remove takes an entry out and returns it.
func (q *queue) remove(i int) waiting {
	w := q.entries[i]
	q.entries = slices.Delete(q.entries, i, i+1)
	return w
}

// next returns the index of the entry to serve next, or -1.
func (q *queue) next() int {
	best := [priorities]int{-1, -1}
	for i := range q.entries {
		p := q.entries[i].ask.Priority
		if q.entries[i].held {
			continue
		}
		if best[p] < 0 || q.entries[i].start < q.entries[best[p]].start {
			best[p] = i
		}
	}
	if best[Interactive] < 0 || (best[Batch] >= 0 && q.interactive >= batchEvery-1) {
		return best[Batch]
	}
	return best[Interactive]
}

// served records that an entry was granted.
func (q *queue) served(w *waiting) {
	p := w.ask.Priority
	q.virtual[p] = max(q.virtual[p], w.start)
	if p == Batch {
		q.interactive = 0
		return
	}
	q.interactive++
}

// ahead sums the cost of the entries that come before a start tag, and of those
// among them that are the tenant's own.
func (q *queue) ahead(t *tenant, p Priority, start float64) (all, own int64) {
	for i := range q.entries {
		w := &q.entries[i]
		if w.ask.Priority > p || (w.ask.Priority == p && w.start > start) {
			continue
		}
		all += w.ask.Cost
		if w.tenant == t {
			own += w.ask.Cost
		}
	}
	return all, own
}

// victim returns the newest entry of the tenant that has the most entries above
// its weight, if that is more than t would have; else -1.
func (q *queue) victim(t *tenant) int {
	most := float64(t.queued+1) / t.weight
	found := -1
	for i := range q.entries {
		w := &q.entries[i]
		if share := float64(w.tenant.queued) / w.tenant.weight; share > most {
			most, found = share, i
		} else if found >= 0 && w.tenant == q.entries[found].tenant {
			found = i
		}
	}
	return found
}
