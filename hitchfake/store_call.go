package hitchfake

import "time"

func (s *Store) callRange(body []byte) (response any, etcdErr *etcdError) {
	var r etcdRangeRequest
	if etcdErr := decode(body, &r); etcdErr != nil {
		return nil, etcdErr
	}
	return s.kv.getRange(&r), nil
}

func (s *Store) callPut(body []byte) (response any, etcdErr *etcdError) {
	var r etcdPutRequest
	if etcdErr := decode(body, &r); etcdErr != nil {
		return nil, etcdErr
	}
	ops := []etcdRequestOp{{Put: &r}}
	if etcdErr := checkSizes(ops); etcdErr != nil {
		return nil, etcdErr
	}
	if _, etcdErr := s.kv.txn(&etcdTxnRequest{Success: ops}); etcdErr != nil {
		return nil, etcdErr
	}
	return &etcdPutResponse{Header: s.kv.header()}, nil
}

func (s *Store) callTxn(body []byte) (response any, etcdErr *etcdError) {
	var r etcdTxnRequest
	if etcdErr := decode(body, &r); etcdErr != nil {
		return nil, etcdErr
	}
	for _, ops := range [][]etcdRequestOp{r.Success, r.Failure} {
		if etcdErr := checkSizes(ops); etcdErr != nil {
			return nil, etcdErr
		}
	}
	done, etcdErr := s.kv.txn(&r)
	if etcdErr != nil {
		return nil, etcdErr
	}
	return done, nil
}

func checkSizes(ops []etcdRequestOp) *etcdError {
	for _, op := range ops {
		if op.Put != nil && len(op.Put.Value) > maxValueBytes {
			return newEtcdError(codeInvalidArgument, "etcdserver: request is too large")
		}
	}
	return nil
}

func (s *Store) callDelete(body []byte) (response any, etcdErr *etcdError) {
	var r etcdDeleteRequest
	if etcdErr := decode(body, &r); etcdErr != nil {
		return nil, etcdErr
	}
	responses := s.kv.applyOps([]etcdRequestOp{{Delete: &r}})
	done := responses[0].Delete
	done.Header = s.kv.header()
	return done, nil
}

func (s *Store) callGrant(body []byte) (response any, etcdErr *etcdError) {
	var r etcdLease
	if etcdErr := decode(body, &r); etcdErr != nil {
		return nil, etcdErr
	}
	if r.TTL <= 0 {
		return nil, newEtcdError(codeInvalidArgument, "the TTL isn't positive")
	}
	if r.ID == 0 {
		s.kv.lastLeaseID++
		r.ID = s.kv.lastLeaseID
	}
	s.kv.leases[r.ID] = &lease{ttl: r.TTL, deadline: leaseDeadline(r.TTL)}
	s.notifyWatches()
	return &etcdLeaseResponse{Header: s.kv.header(), ID: r.ID, TTL: r.TTL}, nil
}

// callKeepAlive renews a lease. As in etcd, the response has no TTL if the lease
// has expired.
func (s *Store) callKeepAlive(body []byte) (response any, etcdErr *etcdError) {
	var r etcdLease
	if etcdErr := decode(body, &r); etcdErr != nil {
		return nil, etcdErr
	}
	result := etcdLeaseResponse{Header: s.kv.header(), ID: r.ID}
	if lease := s.kv.leases[r.ID]; lease != nil {
		lease.deadline = leaseDeadline(lease.ttl)
		result.TTL = lease.ttl
	}
	return &etcdKeepAliveResponse{Result: result}, nil
}

func (s *Store) callRevoke(body []byte) (response any, etcdErr *etcdError) {
	var r etcdLease
	if etcdErr := decode(body, &r); etcdErr != nil {
		return nil, etcdErr
	}
	if s.kv.leases[r.ID] == nil {
		return nil, leaseNotFound()
	}
	s.kv.revokeLease(r.ID)
	return &etcdLeaseResponse{Header: s.kv.header()}, nil
}

func leaseDeadline(ttl int64) time.Time {
	return time.Now().Add(time.Duration(ttl) * time.Second)
}
