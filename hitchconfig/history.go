package hitchconfig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/samber/lo"
)

// pageKey returns where the page with a revision stands. Pages are reused in
// turn, so the history is bounded.
func pageKey(revision uint64) string {
	return fmt.Sprintf("citronhitch/history/%d", revision/pageAccepts%maxPages)
}

// archive moves the older accepts of a full head to their pages, and returns the
// head without them. A page is written first: if the head's own write then
// fails, the page repeats what the head still holds. It costs two store calls
// for every pageAccepts accepts, more often only if they are very large.
func (f Confirmer) archive(ctx context.Context, h Head) (Head, error) {
	for isFull(h.Accepts) {
		page := h.Accepts[0].Revision / pageAccepts
		n := 0
		for n < len(h.Accepts)-1 && h.Accepts[n].Revision/pageAccepts == page {
			n++
		}
		if err := f.writePage(ctx, h.Accepts[:n]); err != nil {
			return h, fmt.Errorf("write page of history: %w", err)
		}
		h.Accepts = h.Accepts[n:]
	}
	return h, nil
}

// isFull tells whether accepts must leave the head.
func isFull(accepts []Accept) bool {
	if len(accepts) >= maxRecent {
		return true
	}
	data, err := json.Marshal(accepts)
	return err == nil && len(accepts) > 1 && len(data) > maxRecentBytes
}

// writePage adds accepts to their page. A page of an earlier turn is written
// over; one of a later turn, or with the same accepts, stays.
func (f Confirmer) writePage(ctx context.Context, accepts []Accept) error {
	first, last := accepts[0].Revision, accepts[len(accepts)-1].Revision
	value, err := f.Store.Get(ctx, pageKey(first))
	if err != nil {
		return err
	}
	old, err := decodePage(value.Data)
	if err != nil {
		return err
	}
	kept := lo.Filter(old.Accepts, func(a Accept, _ int) bool {
		return a.Revision/pageAccepts == first/pageAccepts && a.Revision < first
	})
	if n := len(old.Accepts); n > 0 && old.Accepts[n-1].Revision >= last {
		return nil
	}
	data, err := json.Marshal(Page{Accepts: append(kept, accepts...)})
	if err != nil {
		return err
	}
	outcome, err := f.Store.Swap(ctx, pageKey(first), value.Revision, data)
	if outcome == SwapDone {
		return nil
	}
	return errors.Join(errors.New("page not written"), err)
}

// archived reads the accept of a revision from its page.
func (f Confirmer) archived(ctx context.Context, revision uint64) (Accept, bool, error) {
	page, err := f.Page(ctx, revision)
	if err != nil {
		return Accept{}, false, err
	}
	accept, ok := acceptOf(page.Accepts, revision)
	return accept, ok, nil
}

// Page reads the page of history that a revision belongs to. It is empty if the
// revision is still in the head.
func (f Confirmer) Page(ctx context.Context, revision uint64) (p Page, err error) {
	defer annotate(&err, "read page of history")
	value, err := f.Store.Get(ctx, pageKey(revision))
	if err != nil {
		return Page{}, err
	}
	return decodePage(value.Data)
}

// History returns up to n accepts, newest first, from the head and as many
// pages as that takes.
func (f Confirmer) History(ctx context.Context, n int) (all []Accept, err error) {
	defer annotate(&err, "read history")
	h, _, err := f.Head(ctx)
	if err != nil {
		return nil, err
	}
	recent := h.Accepts
	for {
		for i := len(recent) - 1; i >= 0 && len(all) < n; i-- {
			all = append(all, recent[i])
		}
		if len(all) == 0 || len(all) >= n || all[len(all)-1].Revision <= 1 {
			return all, nil
		}
		before := all[len(all)-1].Revision - 1
		page, err := f.Page(ctx, before)
		if err != nil {
			return nil, err
		}
		if _, ok := acceptOf(page.Accepts, before); !ok {
			return all, nil
		}
		recent = page.Accepts
	}
}

func decodePage(data []byte) (p Page, err error) {
	if len(data) == 0 {
		return Page{}, nil
	}
	err = decodeStrict(data, &p)
	return p, err
}
