package hitchfake

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	firstRevision = 1
	// maxStoreEvents bounds the events that watches can start from.
	maxStoreEvents = 1 << 14
)

// keyValues is the state of the key-value service. The store's lock guards it.
type keyValues struct {
	records   map[string]etcdKeyValue
	revision  int64
	events    []etcdEvent
	compacted int64
	leases    map[int64]*storeLease
	nextLease int64
}

type storeLease struct {
	ttl      int64 // seconds
	deadline time.Time
}

func (kv *keyValues) prepare() {
	if kv.records == nil {
		kv.records = make(map[string]etcdKeyValue)
		kv.leases = make(map[int64]*storeLease)
		kv.revision = firstRevision
	}
}

func (kv *keyValues) header() *etcdHeader { return &etcdHeader{Revision: kv.revision} }

// trim compacts the older half of the events when there are too many.
func (kv *keyValues) trim() {
	if len(kv.events) > maxStoreEvents {
		kv.compact(kv.events[len(kv.events)/2].KV.ModRevision)
	}
}

// compact forgets the events up to a revision.
func (kv *keyValues) compact(revision int64) {
	kv.compacted = revision
	kv.events = slices.Clone(kv.eventsFrom(revision + 1))
}

// eventsFrom returns the events from a revision on.
func (kv *keyValues) eventsFrom(revision int64) []etcdEvent {
	i, _ := slices.BinarySearchFunc(kv.events, revision, func(event etcdEvent, revision int64) int {
		return cmp.Compare(event.KV.ModRevision, revision)
	})
	return kv.events[i:]
}

// inRange says whether a key is asked for: end is empty for one key, and a zero
// byte for all from start on.
func inRange(key, start, end string) bool {
	switch end {
	case "":
		return key == start
	case "\x00":
		return key >= start
	default:
		return key >= start && key < end
	}
}

func (kv *keyValues) find(r *etcdRangeRequest) *etcdRangeResponse {
	answer := &etcdRangeResponse{Header: kv.header()}
	for _, key := range slices.Sorted(maps.Keys(kv.records)) {
		if inRange(key, string(r.Key), string(r.RangeEnd)) {
			answer.KVs = append(answer.KVs, kv.records[key])
		}
	}
	answer.Count = int64(len(answer.KVs))
	return answer
}

func (kv *keyValues) put(r *etcdPutRequest, revision int64) {
	record := kv.records[string(r.Key)]
	if record.Version == 0 {
		record.Key, record.CreateRevision = r.Key, revision
	}
	record.Value, record.Lease = r.Value, r.Lease
	record.ModRevision = revision
	record.Version++
	kv.records[string(r.Key)] = record
	kv.events = append(kv.events, etcdEvent{KV: record})
}

func (kv *keyValues) remove(r *etcdDeleteRequest, revision int64) (deleted int64) {
	for _, record := range kv.find(&etcdRangeRequest{Key: r.Key, RangeEnd: r.RangeEnd}).KVs {
		delete(kv.records, string(record.Key))
		gone := etcdKeyValue{Key: record.Key, ModRevision: revision}
		kv.events = append(kv.events, etcdEvent{Type: "DELETE", KV: gone})
		deleted++
	}
	return deleted
}

// apply runs the operations of a transaction; its writes share one revision.
func (kv *keyValues) apply(ops []etcdRequestOp) []etcdResponseOp {
	next, wrote := kv.revision+1, false
	var answers []etcdResponseOp
	for _, op := range ops {
		var answer etcdResponseOp
		switch {
		case op.Range != nil:
			answer.Range = kv.find(op.Range)
		case op.Put != nil:
			kv.put(op.Put, next)
			wrote = true
			answer.Put = &etcdPutResponse{Header: &etcdHeader{Revision: next}}
		case op.Delete != nil:
			deleted := kv.remove(op.Delete, next)
			wrote = wrote || deleted > 0
			answer.Delete = &etcdDeleteResponse{Header: &etcdHeader{Revision: next}, Deleted: deleted}
		}
		answers = append(answers, answer)
	}
	if wrote {
		kv.revision = next
	}
	return answers
}

func (kv *keyValues) txn(r *etcdTxnRequest) (answer *etcdTxnResponse, problem *etcdProblem) {
	succeeded := true
	for _, c := range r.Compare {
		holds, problem := kv.compare(c)
		if problem != nil {
			return nil, problem
		}
		succeeded = succeeded && holds
	}
	ops := r.Failure
	if succeeded {
		ops = r.Success
	}
	for _, op := range ops {
		if op.Put != nil && op.Put.Lease != 0 && kv.leases[op.Put.Lease] == nil {
			return nil, leaseNotFound()
		}
	}
	responses := kv.apply(ops)
	return &etcdTxnResponse{Header: kv.header(), Succeeded: succeeded, Responses: responses}, nil
}

func (kv *keyValues) compare(c etcdCompare) (holds bool, problem *etcdProblem) {
	record := kv.records[string(c.Key)]
	var order int
	switch c.Target {
	case "MOD":
		order = cmp.Compare(record.ModRevision, c.ModRevision)
	case "CREATE":
		order = cmp.Compare(record.CreateRevision, c.CreateRevision)
	case "VERSION", "":
		order = cmp.Compare(record.Version, c.Version)
	default:
		return false, problemOf(codeInvalidArgument, "the stand-in compares no "+c.Target)
	}
	switch c.Result {
	case "EQUAL", "":
		return order == 0, nil
	case "NOT_EQUAL":
		return order != 0, nil
	case "GREATER":
		return order > 0, nil
	case "LESS":
		return order < 0, nil
	default:
		return false, problemOf(codeInvalidArgument, "no such result: "+c.Result)
	}
}

// expire ends the leases whose deadline has passed, with their keys, and
// reports whether there were any.
func (kv *keyValues) expire(now time.Time) bool {
	expired := false
	for _, id := range slices.Sorted(maps.Keys(kv.leases)) {
		if !now.Before(kv.leases[id].deadline) {
			kv.revoke(id)
			expired = true
		}
	}
	return expired
}

func (kv *keyValues) revoke(id int64) {
	delete(kv.leases, id)
	next, wrote := kv.revision+1, false
	for _, key := range slices.Sorted(maps.Keys(kv.records)) {
		if kv.records[key].Lease == id {
			kv.remove(&etcdDeleteRequest{Key: []byte(key)}, next)
			wrote = true
		}
	}
	if wrote {
		kv.revision = next
	}
}

// nextExpiry returns the earliest deadline of a lease, or the zero time.
func (kv *keyValues) nextExpiry() (next time.Time) {
	for _, lease := range kv.leases {
		if next.IsZero() || lease.deadline.Before(next) {
			next = lease.deadline
		}
	}
	return next
}
