package hitchstore

import (
	"context"
	"errors"
	"time"
)

// Lease is a granted lease.
type Lease struct {
	ID LeaseID
	// Deadline is when the lease ends unless it is kept alive. It counts from
	// before the call, so that the store ends the lease no earlier.
	Deadline time.Time
}

// GrantLease starts a lease that ends at the deadline unless it is kept alive;
// its time to live is rounded up to seconds. A grant whose answer is lost leaves a
// lease behind that nothing hangs on, and ends by itself. Errors are of type
// *UnavailableError.
func (c *Client) GrantLease(ctx context.Context, deadline time.Time) (lease Lease, err error) {
	defer c.annotate("lease", &err)
	seconds := max(1, int64((deadline.Sub(c.now())+time.Second-1)/time.Second))
	return c.grant(ctx, seconds, c.retry)
}

// caller does a call; it is the call or the retry method of a client.
type caller func(ctx context.Context, path string, request, answer any) error

func (c *Client) grant(ctx context.Context, seconds int64, call caller) (Lease, error) {
	var answer wireLease
	before := c.now()
	if err := call(ctx, pathGrant, wireLease{TTL: seconds}, &answer); err != nil {
		return Lease{}, err
	}
	return Lease{ID: LeaseID(answer.ID), Deadline: before.Add(time.Duration(answer.TTL) * time.Second)}, nil
}

// KeepAlive starts the time to live of a lease anew. Errors are of type
// *LeaseLapsedError or *UnavailableError.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) (lease Lease, err error) {
	defer c.annotate("lease", &err)
	return c.renew(ctx, id, c.retry)
}

func (c *Client) renew(ctx context.Context, id LeaseID, call caller) (Lease, error) {
	var answer wireKeepAliveAnswer
	before := c.now()
	if err := call(ctx, pathKeepAlive, wireLease{ID: int64(id)}, &answer); err != nil {
		return Lease{}, err
	}
	if answer.Result.TTL <= 0 {
		return Lease{}, &LeaseLapsedError{Lease: id}
	}
	return Lease{ID: id, Deadline: before.Add(time.Duration(answer.Result.TTL) * time.Second)}, nil
}

// Revoke ends a lease and deletes the keys that hang on it. A lease that has
// ended already is no error. Errors are of type *UnavailableError.
func (c *Client) Revoke(ctx context.Context, id LeaseID) (err error) {
	defer c.annotate("lease", &err)
	var answer wireLease
	err = c.retry(ctx, pathRevoke, wireLease{ID: int64(id)}, &answer)
	if isLeaseNotFound(err) {
		return nil
	}
	return err
}

func isLeaseNotFound(err error) bool {
	var failed *callError
	return errors.As(err, &failed) && failed.Code == codeNotFound
}

// annotate turns the failure of calls into an *UnavailableError.
func (c *Client) annotate(key string, err *error) {
	var failed *callError
	if errors.As(*err, &failed) {
		*err = &UnavailableError{Key: key, MayHaveTakenEffect: failed.Ambiguous, Err: *err}
	}
}
