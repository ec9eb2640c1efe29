package hitchrouter

import (
	"context"
	"errors"
	"time"

	"citronhitch.example/citronhitch/hitchclaim"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// journalReadTimeout limits the time to read all booking journals from the store.
const journalReadTimeout = 5 * time.Second

// Doubts returns the bookings with an unknown outcome, from the journals of all homes
// in the key-value store.
func (rt *Router) Doubts(ctx context.Context) (doubts []hitchclaim.Doubt, err error) {
	ledgers, err := rt.readLedgers(ctx)
	if err != nil {
		return nil, err
	}
	for _, ledger := range ledgers {
		doubts = append(doubts, ledger.Doubts(rt.now())...)
	}
	return doubts, nil
}

// readLedgers reads the journals of all homes from the key-value store.
func (rt *Router) readLedgers(ctx context.Context) ([]hitchclaim.JournalSnapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, journalReadTimeout)
	defer cancel()
	values, status := rt.Bookings.Store.List(ctx, hitchclaim.JournalPrefix)
	if status != hitchclaim.StoreDone {
		return nil, hitchoutcome.RefuseNotRun(hitchoutcome.ReasonStoreOut, rt.now().Add(defaultRetryDelay), "the journals can't be read now")
	}
	return hitchclaim.DecodeJournals(values)
}

// ResolveDoubt records the outcome that an operator gives for a booking in doubt.
func (rt *Router) ResolveDoubt(ctx context.Context, key hitchclaim.KeyID, truth hitchclaim.Resolution) error {
	ledgers, err := rt.readLedgers(ctx)
	if err != nil {
		return err
	}
	for _, ledger := range ledgers {
		for _, doubt := range ledger.Doubts(rt.now()) {
			if doubt.Record.Run.Key == key {
				return rt.settleDoubt(ctx, ledger, doubt, truth)
			}
		}
	}
	return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonNoRoute, time.Time{}, "no booking in doubt has this key")
}

// settleDoubt records the outcome of a booking in doubt: through its home if that is
// open in this process, else in the journal of the fenced home.
func (rt *Router) settleDoubt(ctx context.Context, ledger hitchclaim.JournalSnapshot, doubt hitchclaim.Doubt, truth hitchclaim.Resolution) error {
	if h, ok := rt.Bookings.localHome(doubt.Home); ok && !doubt.IsFenced {
		record, err := h.home.ResolveDoubt(rt.now(), doubt.Record.Run.Key, truth)
		if err != nil {
			return resolveRefusal(err)
		}
		rt.Bookings.recordAsync(h, record)
		return nil
	}
	record, err := doubt.Resolve(rt.now(), truth)
	if err != nil {
		return resolveRefusal(err)
	}
	command, err := ledger.ResolveCommand(rt.now(), record)
	if err != nil {
		return resolveRefusal(err)
	}
	if result := rt.Bookings.Store.Do(ctx, command); result.Status != hitchclaim.StoreDone {
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonStoreOut, rt.now().Add(defaultRetryDelay), "the truth isn't known to be recorded: resolve again")
	}
	return nil
}

// resolveRefusal converts an error of resolving a doubt to a refusal.
func resolveRefusal(err error) error {
	var tooEarly *hitchclaim.TooEarlyError
	retryAt := time.Time{}
	if errors.As(err, &tooEarly) {
		retryAt = tooEarly.RetryAt
	}
	return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonConflict, retryAt, "%v", err)
}
