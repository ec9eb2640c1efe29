package hitchfake

// The types of this file are the messages of the JSON gateway of etcd v3 with its
// field names: bytes are in base64, 64-bit numbers are strings, and zero values are
// left out. See https://etcd.io/docs/v3.6/dev-guide/api_grpc_gateway/.

type etcdHeader struct {
	Revision int64 `json:"revision,string,omitempty"`
}

type etcdKeyValue struct {
	Key            []byte `json:"key,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Version        int64  `json:"version,string,omitempty"`
	Value          []byte `json:"value,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

type etcdRangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

type etcdRangeResponse struct {
	Header *etcdHeader    `json:"header,omitempty"`
	KVs    []etcdKeyValue `json:"kvs,omitempty"`
	Count  int64          `json:"count,string,omitempty"`
}

type etcdPutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string"`
}

type etcdPutResponse struct {
	Header *etcdHeader `json:"header,omitempty"`
}

type etcdDeleteRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

type etcdDeleteResponse struct {
	Header  *etcdHeader `json:"header,omitempty"`
	Deleted int64       `json:"deleted,string,omitempty"`
}

type etcdCompare struct {
	Result         string `json:"result"`
	Target         string `json:"target"`
	Key            []byte `json:"key"`
	Version        int64  `json:"version,string"`
	CreateRevision int64  `json:"create_revision,string"`
	ModRevision    int64  `json:"mod_revision,string"`
}

type etcdRequestOp struct {
	Range  *etcdRangeRequest  `json:"request_range"`
	Put    *etcdPutRequest    `json:"request_put"`
	Delete *etcdDeleteRequest `json:"request_delete_range"`
}

type etcdTxnRequest struct {
	Compare []etcdCompare   `json:"compare"`
	Success []etcdRequestOp `json:"success"`
	Failure []etcdRequestOp `json:"failure"`
}

type etcdResponseOp struct {
	Range  *etcdRangeResponse  `json:"response_range,omitempty"`
	Put    *etcdPutResponse    `json:"response_put,omitempty"`
	Delete *etcdDeleteResponse `json:"response_delete_range,omitempty"`
}

type etcdTxnResponse struct {
	Header    *etcdHeader      `json:"header,omitempty"`
	Succeeded bool             `json:"succeeded,omitempty"`
	Responses []etcdResponseOp `json:"responses,omitempty"`
}

type etcdLease struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"` // seconds
}

type etcdLeaseResponse struct {
	Header *etcdHeader `json:"header,omitempty"`
	ID     int64       `json:"ID,string,omitempty"`
	TTL    int64       `json:"TTL,string,omitempty"` // seconds
}

type etcdKeepAliveResponse struct {
	Result etcdLeaseResponse `json:"result"`
}

type etcdWatchRequest struct {
	Create *etcdWatchCreate `json:"create_request"`
}

type etcdWatchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end"`
	StartRevision int64  `json:"start_revision,string"`
}

type etcdEvent struct {
	// Type is empty for a put, the zero value of etcd's enumeration.
	Type string       `json:"type,omitempty"`
	KV   etcdKeyValue `json:"kv"`
}

type etcdWatchResult struct {
	Header          *etcdHeader `json:"header,omitempty"`
	Created         bool        `json:"created,omitempty"`
	Canceled        bool        `json:"canceled,omitempty"`
	CompactRevision int64       `json:"compact_revision,string,omitempty"`
	Events          []etcdEvent `json:"events,omitempty"`
}

type etcdWatchResponse struct {
	Result etcdWatchResult `json:"result"`
}

type etcdError struct {
	Error   string `json:"error"`
	Message string `json:"message"`
	// Code is a gRPC status code.
	Code int `json:"code"`
}
