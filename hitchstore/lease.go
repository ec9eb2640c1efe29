package hitchstore

import (
	"context"
	"errors"
	"time"
)

// Lease is a granted lease.
type Lease struct {
	ID LeaseID
	// Deadline is when the lease expires unless it is kept alive. It is counted from
	// before the call, so that the lease doesn't expire earlier in the store.
	Deadline time.Time
}

// GrantLease creates a lease that expires at the deadline unless it is kept alive; its
// time to live is rounded up to seconds. If the response is lost, a lease without keys
// remains in the store until it expires. Errors are of type *UnavailableError.
func (c *Client) GrantLease(ctx context.Context, deadline time.Time) (lease Lease, err error) {
	defer c.toUnavailable("lease", &err)
	seconds := max(1, int64((deadline.Sub(c.now())+time.Second-1)/time.Second))
	return c.grant(ctx, seconds, c.retry)
}

// callFunc makes a call; it is the call or the retry method of a client.
type callFunc func(ctx context.Context, path string, request, response any) error

func (c *Client) grant(ctx context.Context, seconds int64, call callFunc) (Lease, error) {
	var response wireLease
	before := c.now()
	if err := call(ctx, pathGrant, wireLease{TTL: seconds}, &response); err != nil {
		return Lease{}, err
	}
	return Lease{ID: LeaseID(response.ID), Deadline: before.Add(time.Duration(response.TTL) * time.Second)}, nil
}

// KeepAlive resets the time to live of a lease. Errors are of type
// *LeaseExpiredError or *UnavailableError.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) (lease Lease, err error) {
	defer c.toUnavailable("lease", &err)
	return c.renew(ctx, id, c.retry)
}

func (c *Client) renew(ctx context.Context, id LeaseID, call callFunc) (Lease, error) {
	var response wireKeepAliveResponse
	before := c.now()
	if err := call(ctx, pathKeepAlive, wireLease{ID: int64(id)}, &response); err != nil {
		return Lease{}, err
	}
	if response.Result.TTL <= 0 {
		return Lease{}, &LeaseExpiredError{Lease: id}
	}
	return Lease{ID: id, Deadline: before.Add(time.Duration(response.Result.TTL) * time.Second)}, nil
}

// Revoke revokes a lease and deletes the keys that are attached to it. It returns nil
// if the lease has expired already. Errors are of type *UnavailableError.
func (c *Client) Revoke(ctx context.Context, id LeaseID) (err error) {
	defer c.toUnavailable("lease", &err)
	var response wireLease
	err = c.retry(ctx, pathRevoke, wireLease{ID: int64(id)}, &response)
	if isLeaseNotFound(err) {
		return nil
	}
	return err
}

func isLeaseNotFound(err error) bool {
	var failed *callError
	return errors.As(err, &failed) && failed.Code == codeNotFound
}

// toUnavailable converts a failed call into an *UnavailableError.
func (c *Client) toUnavailable(key string, errp *error) {
	var failed *callError
	if errors.As(*errp, &failed) {
		*errp = &UnavailableError{Key: key, MayHaveTakenEffect: failed.Ambiguous, Err: *errp}
	}
}
