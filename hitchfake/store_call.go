package hitchfake

import "time"

func (s *Store) callRange(body []byte) (answer any, problem *etcdProblem) {
	var r etcdRangeRequest
	if problem := decode(body, &r); problem != nil {
		return nil, problem
	}
	return s.kv.find(&r), nil
}

func (s *Store) callPut(body []byte) (answer any, problem *etcdProblem) {
	var r etcdPutRequest
	if problem := decode(body, &r); problem != nil {
		return nil, problem
	}
	ops := []etcdRequestOp{{Put: &r}}
	if problem := checkSizes(ops); problem != nil {
		return nil, problem
	}
	if _, problem := s.kv.txn(&etcdTxnRequest{Success: ops}); problem != nil {
		return nil, problem
	}
	return &etcdPutResponse{Header: s.kv.header()}, nil
}

func (s *Store) callTxn(body []byte) (answer any, problem *etcdProblem) {
	var r etcdTxnRequest
	if problem := decode(body, &r); problem != nil {
		return nil, problem
	}
	for _, ops := range [][]etcdRequestOp{r.Success, r.Failure} {
		if problem := checkSizes(ops); problem != nil {
			return nil, problem
		}
	}
	done, problem := s.kv.txn(&r)
	if problem != nil {
		return nil, problem
	}
	return done, nil
}

func checkSizes(ops []etcdRequestOp) *etcdProblem {
	for _, op := range ops {
		if op.Put != nil && len(op.Put.Value) > maxValueBytes {
			return problemOf(codeInvalidArgument, "etcdserver: request is too large")
		}
	}
	return nil
}

func (s *Store) callDelete(body []byte) (answer any, problem *etcdProblem) {
	var r etcdDeleteRequest
	if problem := decode(body, &r); problem != nil {
		return nil, problem
	}
	responses := s.kv.apply([]etcdRequestOp{{Delete: &r}})
	done := responses[0].Delete
	done.Header = s.kv.header()
	return done, nil
}

func (s *Store) callGrant(body []byte) (answer any, problem *etcdProblem) {
	var r etcdLease
	if problem := decode(body, &r); problem != nil {
		return nil, problem
	}
	if r.TTL <= 0 {
		return nil, problemOf(codeInvalidArgument, "the TTL isn't positive")
	}
	if r.ID == 0 {
		s.kv.nextLease++
		r.ID = s.kv.nextLease
	}
	s.kv.leases[r.ID] = &storeLease{ttl: r.TTL, deadline: leaseDeadline(r.TTL)}
	s.wake()
	return &etcdLeaseResponse{Header: s.kv.header(), ID: r.ID, TTL: r.TTL}, nil
}

// callKeepAlive answers for a lease that has lapsed as etcd does, with no TTL.
func (s *Store) callKeepAlive(body []byte) (answer any, problem *etcdProblem) {
	var r etcdLease
	if problem := decode(body, &r); problem != nil {
		return nil, problem
	}
	result := etcdLeaseResponse{Header: s.kv.header(), ID: r.ID}
	if lease := s.kv.leases[r.ID]; lease != nil {
		lease.deadline = leaseDeadline(lease.ttl)
		result.TTL = lease.ttl
	}
	return &etcdKeepAliveResponse{Result: result}, nil
}

func (s *Store) callRevoke(body []byte) (answer any, problem *etcdProblem) {
	var r etcdLease
	if problem := decode(body, &r); problem != nil {
		return nil, problem
	}
	if s.kv.leases[r.ID] == nil {
		return nil, leaseNotFound()
	}
	s.kv.revoke(r.ID)
	return &etcdLeaseResponse{Header: s.kv.header()}, nil
}

func leaseDeadline(ttl int64) time.Time {
	return time.Now().Add(time.Duration(ttl) * time.Second)
}
