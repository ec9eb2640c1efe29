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
	journals, err := rt.readJournals(ctx)
	if err != nil {
		return nil, err
	}
	for _, journal := range journals {
		doubts = append(doubts, journal.Doubts(rt.now())...)
	}
	return doubts, nil
}

// readJournals reads the journals of all homes from the key-value store.
func (rt *Router) readJournals(ctx context.Context) ([]hitchclaim.JournalSnapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, journalReadTimeout)
	defer cancel()
	values, status := rt.Bookings.Store.List(ctx, hitchclaim.JournalPrefix)
	if status != hitchclaim.StoreDone {
		return nil, hitchoutcome.RefuseNotRun(hitchoutcome.ReasonStoreOut, rt.now().Add(defaultRetryDelay), "the journals can't be read now")
	}
	return hitchclaim.DecodeJournals(values)
}

// ResolveDoubt records the outcome that an operator gives for a booking in doubt.
func (rt *Router) ResolveDoubt(ctx context.Context, key hitchclaim.KeyID, resolution hitchclaim.Resolution) error {
	journals, err := rt.readJournals(ctx)
	if err != nil {
		return err
	}
	for _, journal := range journals {
		for _, doubt := range journal.Doubts(rt.now()) {
			if doubt.Record.Run.Key == key {
				return rt.recordResolution(ctx, journal, doubt, resolution)
			}
		}
	}
	return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonNoRoute, time.Time{}, "no booking in doubt has this key")
}

// recordResolution records the outcome of a booking in doubt: through its home if that
// is open in this process, else in the journal of the fenced home.
func (rt *Router) recordResolution(ctx context.Context, journal hitchclaim.JournalSnapshot, doubt hitchclaim.Doubt, resolution hitchclaim.Resolution) error {
	if h, ok := rt.Bookings.localHome(doubt.Home); ok && !doubt.IsFenced {
		record, err := h.home.ResolveDoubt(rt.now(), doubt.Record.Run.Key, resolution)
		if err != nil {
			return resolveRefusal(err)
		}
		rt.Bookings.recordAsync(h, record)
		return nil
	}
	record, err := doubt.Resolve(rt.now(), resolution)
	if err != nil {
		return resolveRefusal(err)
	}
	command, err := journal.ResolveCommand(rt.now(), record)
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
