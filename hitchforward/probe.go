package hitchforward

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// IsGone reports whether nothing listens at an address any more. A connection that can be
// opened is kept for the next exchange; an address that doesn't respond before ctx ends
// doesn't count as gone.
func (p *ConnPool) IsGone(ctx context.Context, addr string) bool {
	c, err := dial(ctx, addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.Dialed.Add(1)
	p.putIdle(addr, c, time.Now().Add(defaultIdleTimeout))
	return false
}
