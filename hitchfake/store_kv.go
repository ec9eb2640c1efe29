package hitchfake

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	firstRevision = 1
	// maxStoreEvents is the maximum number of past events kept for watches.
	maxStoreEvents = 1 << 14
)

// keyValues is the state of the key-value service. The store's mu guards it.
type keyValues struct {
	records           map[string]etcdKeyValue
	revision          int64
	events            []etcdEvent
	compactedRevision int64
	leases            map[int64]*lease
	lastLeaseID       int64
}

type lease struct {
	ttl      int64 // seconds
	deadline time.Time
}

func (kv *keyValues) init() {
	if kv.records == nil {
		kv.records = make(map[string]etcdKeyValue)
		kv.leases = make(map[int64]*lease)
		kv.revision = firstRevision
	}
}

func (kv *keyValues) header() *etcdHeader { return &etcdHeader{Revision: kv.revision} }

// compactIfFull compacts the older half of the events if there are more than
// maxStoreEvents.
func (kv *keyValues) compactIfFull() {
	if len(kv.events) > maxStoreEvents {
		kv.compact(kv.events[len(kv.events)/2].KV.ModRevision)
	}
}

// compact deletes the events up to and including a revision.
func (kv *keyValues) compact(revision int64) {
	kv.compactedRevision = revision
	kv.events = slices.Clone(kv.eventsFrom(revision + 1))
}

// eventsFrom returns the events of a revision and later ones.
func (kv *keyValues) eventsFrom(revision int64) []etcdEvent {
	i, _ := slices.BinarySearchFunc(kv.events, revision, func(event etcdEvent, revision int64) int {
		return cmp.Compare(event.KV.ModRevision, revision)
	})
	return kv.events[i:]
}

// inRange reports whether a key is in the range of a request. An empty end means
// the key start alone, and a zero byte means all keys from start on.
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

func (kv *keyValues) getRange(r *etcdRangeRequest) *etcdRangeResponse {
	response := &etcdRangeResponse{Header: kv.header()}
	for _, key := range slices.Sorted(maps.Keys(kv.records)) {
		if inRange(key, string(r.Key), string(r.RangeEnd)) {
			response.KVs = append(response.KVs, kv.records[key])
		}
	}
	response.Count = int64(len(response.KVs))
	return response
}

func (kv *keyValues) putKey(r *etcdPutRequest, revision int64) {
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

func (kv *keyValues) deleteRange(r *etcdDeleteRequest, revision int64) (deleted int64) {
	for _, record := range kv.getRange(&etcdRangeRequest{Key: r.Key, RangeEnd: r.RangeEnd}).KVs {
		delete(kv.records, string(record.Key))
		tombstone := etcdKeyValue{Key: record.Key, ModRevision: revision}
		kv.events = append(kv.events, etcdEvent{Type: "DELETE", KV: tombstone})
		deleted++
	}
	return deleted
}

// applyOps executes the operations of a transaction. Its writes share one revision.
func (kv *keyValues) applyOps(ops []etcdRequestOp) []etcdResponseOp {
	nextRevision, hasWritten := kv.revision+1, false
	var responses []etcdResponseOp
	for _, op := range ops {
		var response etcdResponseOp
		switch {
		case op.Range != nil:
			response.Range = kv.getRange(op.Range)
		case op.Put != nil:
			kv.putKey(op.Put, nextRevision)
			hasWritten = true
			response.Put = &etcdPutResponse{Header: &etcdHeader{Revision: nextRevision}}
		case op.Delete != nil:
			deleted := kv.deleteRange(op.Delete, nextRevision)
			hasWritten = hasWritten || deleted > 0
			response.Delete = &etcdDeleteResponse{Header: &etcdHeader{Revision: nextRevision}, Deleted: deleted}
		}
		responses = append(responses, response)
	}
	if hasWritten {
		kv.revision = nextRevision
	}
	return responses
}

func (kv *keyValues) txn(r *etcdTxnRequest) (response *etcdTxnResponse, etcdErr *etcdError) {
	succeeded := true
	for _, c := range r.Compare {
		isTrue, etcdErr := kv.evaluate(c)
		if etcdErr != nil {
			return nil, etcdErr
		}
		succeeded = succeeded && isTrue
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
	responses := kv.applyOps(ops)
	return &etcdTxnResponse{Header: kv.header(), Succeeded: succeeded, Responses: responses}, nil
}

func (kv *keyValues) evaluate(c etcdCompare) (isTrue bool, etcdErr *etcdError) {
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
		return false, newEtcdError(codeInvalidArgument, "unsupported compare target: "+c.Target)
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
		return false, newEtcdError(codeInvalidArgument, "unknown compare result: "+c.Result)
	}
}

// expireLeases deletes the leases whose deadline has passed, with their keys, and
// reports whether there were any.
func (kv *keyValues) expireLeases(now time.Time) bool {
	expired := false
	for _, id := range slices.Sorted(maps.Keys(kv.leases)) {
		if !now.Before(kv.leases[id].deadline) {
			kv.revokeLease(id)
			expired = true
		}
	}
	return expired
}

func (kv *keyValues) revokeLease(id int64) {
	delete(kv.leases, id)
	nextRevision, hasWritten := kv.revision+1, false
	for _, key := range slices.Sorted(maps.Keys(kv.records)) {
		if kv.records[key].Lease == id {
			kv.deleteRange(&etcdDeleteRequest{Key: []byte(key)}, nextRevision)
			hasWritten = true
		}
	}
	if hasWritten {
		kv.revision = nextRevision
	}
}

// nextExpiry returns the earliest deadline of the leases, or the zero time if there
// is no lease.
func (kv *keyValues) nextExpiry() (next time.Time) {
	for _, lease := range kv.leases {
		if next.IsZero() || lease.deadline.Before(next) {
			next = lease.deadline
		}
	}
	return next
}
