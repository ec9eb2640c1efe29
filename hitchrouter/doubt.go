package hitchrouter

import (
	"context"
	"errors"
	"time"

	"citronhitch.example/citronhitch/hitchclaim"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// doubtLimit bounds the store's part of a question for doubts.
const doubtLimit = 5 * time.Second

// Doubts returns the bookings whose outcome isn't known, of all homes in the
// key-value service.
func (rt *Router) Doubts(ctx context.Context) (doubts []hitchclaim.Doubt, err error) {
	ledgers, err := rt.ledgers(ctx)
	if err != nil {
		return nil, err
	}
	for _, ledger := range ledgers {
		doubts = append(doubts, ledger.Doubts(rt.now())...)
	}
	return doubts, nil
}

// ledgers reads all journals.
func (rt *Router) ledgers(ctx context.Context) ([]hitchclaim.Ledger, error) {
	ctx, cancel := context.WithTimeout(ctx, doubtLimit)
	defer cancel()
	values, status := rt.Bookings.Store.List(ctx, hitchclaim.JournalPrefix)
	if status != hitchclaim.StoreDone {
		return nil, hitchoutcome.RefuseUnsent(hitchoutcome.ReasonStoreOut, rt.now().Add(retryLater), "the journals can't be read now")
	}
	return hitchclaim.ReadLedgers(values)
}

// ResolveDoubt ends a doubt with what an operator knows.
func (rt *Router) ResolveDoubt(ctx context.Context, key hitchclaim.KeyID, truth hitchclaim.Truth) error {
	ledgers, err := rt.ledgers(ctx)
	if err != nil {
		return err
	}
	for _, ledger := range ledgers {
		for _, doubt := range ledger.Doubts(rt.now()) {
			if doubt.Record.Run.Key == key {
				return rt.resolveDoubt(ctx, ledger, doubt, truth)
			}
		}
	}
	return hitchoutcome.RefuseUnsent(hitchoutcome.ReasonNoRoute, time.Time{}, "no booking in doubt has this key")
}

// resolveDoubt records the truth: in the home if it lives here, else in the
// journal of a home that has ended.
func (rt *Router) resolveDoubt(ctx context.Context, ledger hitchclaim.Ledger, doubt hitchclaim.Doubt, truth hitchclaim.Truth) error {
	if h, ok := rt.Bookings.homeOf(doubt.Home); ok && !doubt.IsFenced {
		record, err := h.home.Resolve(rt.now(), doubt.Record.Run.Key, truth)
		if err != nil {
			return resolveRefusal(err)
		}
		rt.Bookings.record(h, record)
		return nil
	}
	record, err := doubt.Resolve(rt.now(), truth)
	if err != nil {
		return resolveRefusal(err)
	}
	command, err := ledger.Settle(rt.now(), record)
	if err != nil {
		return resolveRefusal(err)
	}
	if answer := rt.Bookings.Store.Do(ctx, command); answer.Status != hitchclaim.StoreDone {
		return hitchoutcome.RefuseUnsent(hitchoutcome.ReasonStoreOut, rt.now().Add(retryLater), "the truth isn't known to be recorded: resolve again")
	}
	return nil
}

// resolveRefusal returns an error of a resolution as a refusal.
func resolveRefusal(err error) error {
	var early *hitchclaim.TooEarlyError
	retryAt := time.Time{}
	if errors.As(err, &early) {
		retryAt = early.RetryAt
	}
	return hitchoutcome.RefuseUnsent(hitchoutcome.ReasonConflict, retryAt, "%v", err)
}
