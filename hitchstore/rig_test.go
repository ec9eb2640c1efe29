package hitchstore

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfake"
)

// rig is a store on an in-memory network with a client.
type rig struct {
	store   hitchfake.Store
	network hitchfake.Network
	client  *Client
}

// withRig runs a test in a synctest bubble.
func withRig(t *testing.T, test func(t *testing.T, r *rig)) {
	synctest.Test(t, func(t *testing.T) {
		r := &rig{}
		r.network.Serve("store-1:80", r.store.Handler())
		r.network.Serve("store-2:80", r.store.Handler())
		defer func() { qt.Check(t, r.network.Close(), qt.IsNil) }()
		r.client = r.newClient("router-1")
		test(t, r)
	})
}

func (r *rig) newClient(writer string) *Client {
	return &Client{
		Endpoints: []string{"http://store-1", "http://store-2"},
		Writer:    writer,
		HTTP:      r.network.Client(),
	}
}

// dropResponses returns a fault by which the next transactions take effect, but their
// responses are dropped; 0 times means all transactions.
func dropResponses(times int) hitchfake.Fault {
	return hitchfake.Fault{Kind: hitchfake.FaultDropResponses, Path: pathTxn, Times: times}
}

func mustSwap(t *testing.T, c *Client, key string, expected Revision, value string) Entry {
	t.Helper()
	entry, err := c.Swap(t.Context(), key, expected, []byte(value), 0)
	qt.Assert(t, err, qt.IsNil)
	return entry
}

func mustGet(t *testing.T, c *Client, key string) Entry {
	t.Helper()
	entry, err := c.Get(t.Context(), key)
	qt.Assert(t, err, qt.IsNil)
	return entry
}

// kindOf returns a short name for the type of an error.
func kindOf(err error) string {
	var conflict *ConflictError
	var unavailable *UnavailableError
	var tooLarge *TooLargeError
	var expired *LeaseExpiredError
	switch {
	case err == nil:
		return "none"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &tooLarge):
		return "too large"
	case errors.As(err, &expired):
		return "expired"
	case errors.As(err, &unavailable) && unavailable.MayHaveTakenEffect:
		return "unknown"
	case errors.As(err, &unavailable):
		return "unavailable"
	case errors.Is(err, context.Canceled):
		return "cancelled"
	default:
		return err.Error()
	}
}

func waitUntil(t *testing.T, deadline time.Time) {
	t.Helper()
	time.Sleep(time.Until(deadline))
	synctest.Wait()
}
