package hitchconfig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/samber/lo"
)

// pageKey returns the key of the page for a revision. Pages are reused in a ring, so
// the history is bounded.
func pageKey(revision uint64) string {
	return fmt.Sprintf("citronhitch/history/%d", revision/acceptsPerPage%maxPages)
}

// moveToPages moves the older accepted changes of a full head to their pages, and
// returns the head without them. The page is written before the head: if the write
// of the head then fails, the changes are merely stored twice. This takes two store
// calls for every acceptsPerPage changes, or for fewer if they are very large.
func (c Confirmer) moveToPages(ctx context.Context, h Head) (Head, error) {
	for mustArchive(h.Accepts) {
		pageNumber := h.Accepts[0].Revision / acceptsPerPage
		n := 0
		for n < len(h.Accepts)-1 && h.Accepts[n].Revision/acceptsPerPage == pageNumber {
			n++
		}
		if err := c.writePage(ctx, h.Accepts[:n]); err != nil {
			return h, fmt.Errorf("write page of history: %w", err)
		}
		h.Accepts = h.Accepts[n:]
	}
	return h, nil
}

// mustArchive reports whether the head holds too many accepted changes, or too large
// ones.
func mustArchive(accepts []AcceptedChange) bool {
	if len(accepts) >= maxHeadAccepts {
		return true
	}
	data, err := json.Marshal(accepts)
	return err == nil && len(accepts) > 1 && len(data) > maxHeadAcceptsBytes
}

// writePage adds accepted changes to their page. If the page still holds revisions of
// the ring's previous cycle, it is overwritten. If it already holds these revisions or
// later ones, it is left unchanged.
func (c Confirmer) writePage(ctx context.Context, accepts []AcceptedChange) error {
	first, last := accepts[0].Revision, accepts[len(accepts)-1].Revision
	value, err := c.Store.Get(ctx, pageKey(first))
	if err != nil {
		return err
	}
	existing, err := decodePage(value.Data)
	if err != nil {
		return err
	}
	kept := lo.Filter(existing.Accepts, func(a AcceptedChange, _ int) bool {
		return a.Revision/acceptsPerPage == first/acceptsPerPage && a.Revision < first
	})
	if n := len(existing.Accepts); n > 0 && existing.Accepts[n-1].Revision >= last {
		return nil
	}
	data, err := json.Marshal(Page{Accepts: append(kept, accepts...)})
	if err != nil {
		return err
	}
	outcome, err := c.Store.Swap(ctx, pageKey(first), value.Revision, data)
	if outcome == SwapDone {
		return nil
	}
	return errors.Join(errors.New("page write failed or is not confirmed"), err)
}

// readArchivedChange reads the accepted change of a revision from its page.
func (c Confirmer) readArchivedChange(ctx context.Context, revision uint64) (AcceptedChange, bool, error) {
	page, err := c.ReadPage(ctx, revision)
	if err != nil {
		return AcceptedChange{}, false, err
	}
	change, ok := findByRevision(page.Accepts, revision)
	return change, ok, nil
}

// ReadPage reads the page of history for a revision. The page doesn't contain the revision
// while it is still in the head.
func (c Confirmer) ReadPage(ctx context.Context, revision uint64) (p Page, err error) {
	defer wrapError(&err, "read page of history")
	value, err := c.Store.Get(ctx, pageKey(revision))
	if err != nil {
		return Page{}, err
	}
	return decodePage(value.Data)
}

// ReadHistory returns up to n accepted changes, newest first. It reads the head and as
// many pages as needed.
func (c Confirmer) ReadHistory(ctx context.Context, n int) (all []AcceptedChange, err error) {
	defer wrapError(&err, "read history")
	h, _, err := c.ReadHead(ctx)
	if err != nil {
		return nil, err
	}
	accepts := h.Accepts
	for {
		for i := len(accepts) - 1; i >= 0 && len(all) < n; i-- {
			all = append(all, accepts[i])
		}
		if len(all) == 0 || len(all) >= n || all[len(all)-1].Revision <= 1 {
			return all, nil
		}
		before := all[len(all)-1].Revision - 1
		page, err := c.ReadPage(ctx, before)
		if err != nil {
			return nil, err
		}
		if _, ok := findByRevision(page.Accepts, before); !ok {
			return all, nil
		}
		accepts = page.Accepts
	}
}

func decodePage(data []byte) (p Page, err error) {
	if len(data) == 0 {
		return Page{}, nil
	}
	err = decodeStrict(data, &p)
	return p, err
}
