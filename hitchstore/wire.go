package hitchstore

// The types of this file are the messages of the JSON gateway of etcd v3, with
// its field names: bytes in base64, 64-bit numbers as strings, zero values left
// out. See https://etcd.io/docs/v3.6/dev-guide/api_grpc_gateway/.

const (
	pathRange     = "/v3/kv/range"
	pathTxn       = "/v3/kv/txn"
	pathGrant     = "/v3/lease/grant"
	pathKeepAlive = "/v3/lease/keepalive"
	pathRevoke    = "/v3/lease/revoke"
	pathWatch     = "/v3/watch"

	// codeNotFound is the gRPC status code of an unknown lease.
	codeNotFound = 5

	targetMod   = "MOD"
	resultEqual = "EQUAL"
	eventDelete = "DELETE"
)

type wireHeader struct {
	Revision int64 `json:"revision,string"`
}

type wireKeyValue struct {
	Key         []byte `json:"key"`
	ModRevision int64  `json:"mod_revision,string"`
	Value       []byte `json:"value"`
	Lease       int64  `json:"lease,string"`
}

type wireRange struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

type wireRangeResponse struct {
	Header wireHeader     `json:"header"`
	KVs    []wireKeyValue `json:"kvs"`
}

type wirePut struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

type wireDelete struct {
	Key []byte `json:"key"`
}

type wireCompare struct {
	Result      string `json:"result"`
	Target      string `json:"target"`
	Key         []byte `json:"key"`
	ModRevision int64  `json:"mod_revision,string"`
}

type wireOp struct {
	Range  *wireRange  `json:"request_range,omitempty"`
	Put    *wirePut    `json:"request_put,omitempty"`
	Delete *wireDelete `json:"request_delete_range,omitempty"`
}

type wireTxn struct {
	Compare []wireCompare `json:"compare"`
	Success []wireOp      `json:"success"`
	Failure []wireOp      `json:"failure"`
}

type wireOpResponse struct {
	Range *wireRangeResponse `json:"response_range"`
}

type wireTxnResponse struct {
	Header    wireHeader       `json:"header"`
	Succeeded bool             `json:"succeeded"`
	Responses []wireOpResponse `json:"responses"`
}

// keyValue returns the key that the i-th operation of a transaction has read, or the
// zero value if it found none.
func (r wireTxnResponse) keyValue(i int) wireKeyValue {
	if i >= len(r.Responses) || r.Responses[i].Range == nil || len(r.Responses[i].Range.KVs) == 0 {
		return wireKeyValue{}
	}
	return r.Responses[i].Range.KVs[0]
}

type wireLease struct {
	ID  int64 `json:"ID,string,omitempty"`
	TTL int64 `json:"TTL,string,omitempty"` // seconds
}

type wireKeepAliveResponse struct {
	Result wireLease `json:"result"`
}

type wireWatch struct {
	Create wireWatchCreate `json:"create_request"`
}

type wireWatchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string"`
}

type wireEvent struct {
	Type string       `json:"type"`
	KV   wireKeyValue `json:"kv"`
}

type wireWatchResult struct {
	Canceled        bool        `json:"canceled"`
	CompactRevision int64       `json:"compact_revision,string"`
	Events          []wireEvent `json:"events"`
}

type wireWatchResponse struct {
	Result wireWatchResult `json:"result"`
}

type wireError struct {
	Message string `json:"message"`
	Code    int    `json:"code"`
}

func compareMod(key string, revision Revision) wireCompare {
	return wireCompare{Result: resultEqual, Target: targetMod, Key: []byte(key), ModRevision: int64(revision)}
}

func opRange(key string) wireOp {
	return wireOp{Range: &wireRange{Key: []byte(key)}}
}

func opPut(key string, value []byte, lease LeaseID) wireOp {
	return wireOp{Put: &wirePut{Key: []byte(key), Value: value, Lease: int64(lease)}}
}

func opDelete(key string) wireOp {
	return wireOp{Delete: &wireDelete{Key: []byte(key)}}
}
