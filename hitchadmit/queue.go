package hitchadmit

import (
	"slices"
	"time"
)

// batchInterval is how often a waiting batch request is granted: one in
// batchInterval grants from the queue, so that interactive requests don't
// starve batch work.
const batchInterval = 8

// queuedRequest is a slot request in the queue.
type queuedRequest struct {
	request SlotRequest
	// arrived and deadline are monotonic times.
	arrived  time.Time
	deadline time.Time
	tenant   *tenant
	startTag float64
	// skipped is set while the entry is passed over because its tenant is above
	// its fair share.
	skipped bool
}

// queue orders the requests that wait at one endpoint by start-time fair
// queueing (Goyal, Vin, Cheng: Start-Time Fair Queueing, 1996) within each
// priority.
type queue struct {
	entries []queuedRequest
	// virtualTime is the greatest start tag granted so far, by priority.
	virtualTime [priorityCount]float64
	// grantsSinceBatch counts the interactive grants since the last batch
	// grant.
	grantsSinceBatch int
}

func (q *queue) indexOf(id GrantID) int {
	return slices.IndexFunc(q.entries, func(entry queuedRequest) bool { return entry.request.ID == id })
}

// startTag returns the start tag that a new request of the tenant would get.
func (q *queue) startTag(t *tenant, p Priority) float64 {
	return max(q.virtualTime[p], t.finishTags[p])
}

// push adds a request. The caller updates the tenant's count of queued
// requests.
func (q *queue) push(req *SlotRequest, arrived, deadline time.Time, t *tenant) {
	start := q.startTag(t, req.Priority)
	t.finishTags[req.Priority] = start + float64(req.Cost)/t.weight
	q.entries = append(q.entries, queuedRequest{request: *req, arrived: arrived, deadline: deadline, tenant: t, startTag: start})
}

// remove removes an entry and returns it.
func (q *queue) remove(i int) queuedRequest {
	entry := q.entries[i]
	q.entries = slices.Delete(q.entries, i, i+1)
	return entry
}

// nextIndex returns the index of the entry to grant next, or -1.
func (q *queue) nextIndex() int {
	best := [priorityCount]int{-1, -1}
	for i := range q.entries {
		p := q.entries[i].request.Priority
		if q.entries[i].skipped {
			continue
		}
		if best[p] < 0 || q.entries[i].startTag < q.entries[best[p]].startTag {
			best[p] = i
		}
	}
	if best[Interactive] < 0 || (best[Batch] >= 0 && q.grantsSinceBatch >= batchInterval-1) {
		return best[Batch]
	}
	return best[Interactive]
}

// recordGrant records that an entry was granted.
func (q *queue) recordGrant(entry *queuedRequest) {
	p := entry.request.Priority
	q.virtualTime[p] = max(q.virtualTime[p], entry.startTag)
	if p == Batch {
		q.grantsSinceBatch = 0
		return
	}
	q.grantsSinceBatch++
}

// costAhead returns the cost of the entries that are ahead of a start tag, and
// the part of it that belongs to the tenant itself.
func (q *queue) costAhead(t *tenant, p Priority, start float64) (all, own int64) {
	for i := range q.entries {
		entry := &q.entries[i]
		if entry.request.Priority > p || (entry.request.Priority == p && entry.startTag > start) {
			continue
		}
		all += entry.request.Cost
		if entry.tenant == t {
			own += entry.request.Cost
		}
	}
	return all, own
}

// evictionIndex returns the index of the newest entry of the tenant that has
// the most entries relative to its weight, or -1 if no tenant has more than t
// would have with one more entry.
func (q *queue) evictionIndex(t *tenant) int {
	maxShare := float64(t.queued+1) / t.weight
	found := -1
	for i := range q.entries {
		entry := &q.entries[i]
		if share := float64(entry.tenant.queued) / entry.tenant.weight; share > maxShare {
			maxShare, found = share, i
		} else if found >= 0 && entry.tenant == q.entries[found].tenant {
			found = i
		}
	}
	return found
}
