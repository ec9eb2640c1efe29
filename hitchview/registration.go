package hitchview

import (
	"context"
	"errors"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Delays and timeouts of a registration.
const (
	// LeaseTTL is how long other instances still see an instance that crashed.
	LeaseTTL = 3 * time.Second
	// renewInterval allows for two failed renewals within LeaseTTL.
	renewInterval = 900 * time.Millisecond
	// registerRetryDelay is the delay after a failed call.
	registerRetryDelay = 200 * time.Millisecond
	// deregisterTimeout bounds the call that removes the entry at shutdown.
	deregisterTimeout = time.Second
)

// ErrLeaseExpired means that a lease expired before it was renewed.
var ErrLeaseExpired = errors.New("hitchview: lease expired")

// Registration keeps an instance's entry in the store under a lease, so that the
// store removes the entry if the instance crashes.
type Registration struct {
	// Grant creates a lease and writes the entry under it.
	Grant func(ctx context.Context, ttl time.Duration) (lease int64, err error)
	// Renew extends the lease. It returns ErrLeaseExpired if a new lease is
	// needed.
	Renew func(ctx context.Context, lease int64) error
	// Revoke ends the lease and removes the entry.
	Revoke func(ctx context.Context, lease int64) error
	Log    hclog.Logger
}

// Run keeps the entry in the store until the context is canceled, and then
// removes it.
func (r *Registration) Run(ctx context.Context) {
	var lease int64
	for ctx.Err() == nil {
		wait := renewInterval
		newLease, err := r.renewOrGrant(ctx, lease)
		if err != nil && ctx.Err() == nil {
			r.log().Warn("registration failed", "Lease", lease, "Error", err)
			wait = registerRetryDelay
		}
		lease = newLease
		sleep(ctx, wait)
	}
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deregisterTimeout)
	defer cancel()
	if err := r.Revoke(ctx, lease); err != nil {
		r.log().Warn("deregistration failed", "Lease", lease, "Error", err)
	}
}

// renewOrGrant renews the lease, or grants one if lease is 0. It returns the
// current lease, or 0 if there is none.
func (r *Registration) renewOrGrant(ctx context.Context, lease int64) (int64, error) {
	if lease == 0 {
		lease, err := r.Grant(ctx, LeaseTTL)
		if err != nil {
			return 0, err
		}
		r.log().Info("registered", "Lease", lease)
		return lease, nil
	}
	err := r.Renew(ctx, lease)
	if errors.Is(err, ErrLeaseExpired) {
		return 0, err
	}
	return lease, err
}

// sleep waits for d or until the context is canceled.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (r *Registration) log() hclog.Logger {
	if r.Log != nil {
		return r.Log
	}
	return hclog.NewNullLogger()
}
