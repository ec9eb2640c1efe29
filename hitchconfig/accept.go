package hitchconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"
)

const (
	// maxHeadAccepts is the number of accepted changes in the head at which the
	// older half moves to a page of the history.
	maxHeadAccepts = 64
	acceptsPerPage = 32
	// maxHeadAcceptsBytes limits the encoded accepted changes in the head.
	maxHeadAcceptsBytes = 256 << 10
	// maxIntentBytes limits an intent and its inverse, each on its own, so that a
	// page of the largest ones fits into one value of the store.
	maxIntentBytes = 12 << 10
	// maxPages is the number of pages of history; after that, the oldest page is
	// overwritten.
	maxPages = 256
	// maxValueBytes stays below the store's limit of one megabyte per value.
	maxValueBytes = 1_000_000
)

// AcceptedChange is the record of an accepted change.
type AcceptedChange struct {
	Revision uint64
	PlanID   string
	// Operator confirmed the plan; PlannedBy created it.
	Operator  string
	PlannedBy string
	At        time.Time
	Intent    Intent
	// Inverse reverts the change.
	Inverse Intent
	// Element is the checksum of the changed element after the change.
	Element Checksum
}

// String returns the accepted change as one line of the history.
func (a AcceptedChange) String() string {
	undo := ""
	if a.Intent.Revision > 0 {
		undo = fmt.Sprintf(" (undo of revision %d)", a.Intent.Revision)
	}
	return fmt.Sprintf("%d %s %s: %s %s%s", a.Revision, a.At.Format(time.RFC3339), a.Operator,
		a.Intent.Kind, a.Intent.Subject(), undo)
}

// Head is the value in the key-value service that determines which revision is
// accepted.
type Head struct {
	Configuration Configuration
	// Proof authenticates the configuration.
	Proof Proof
	// Accepts are the latest accepted changes, oldest first. The last one resulted
	// in Configuration.
	Accepts []AcceptedChange
}

// Page is a part of the history with older accepted changes.
type Page struct {
	Accepts []AcceptedChange
}

// Encode validates the configuration and returns the head in JSON.
func (h Head) Encode() (data []byte, err error) {
	defer wrapError(&err, "encode head")
	if err := h.Configuration.Check(); err != nil {
		return nil, err
	}
	data, err = json.Marshal(h)
	if err == nil && len(data) > maxValueBytes {
		err = fmt.Errorf("%d bytes, want at most %d", len(data), maxValueBytes)
	}
	return data, err
}

// DecodeHead decodes a head and verifies its proof. Empty data is the head of a
// fleet that was never configured.
func DecodeHead(data []byte, keys Keyring) (h Head, err error) {
	defer wrapError(&err, "decode head")
	if len(bytes.TrimSpace(data)) == 0 {
		return Head{Configuration: Configuration{}.WithRevision(0)}, nil
	}
	if err := decodeStrict(data, &h); err != nil {
		return Head{}, err
	}
	sum, err := h.Configuration.Checksum()
	if err != nil {
		return Head{}, err
	}
	if !verifyRevision(keys, h.Proof, h.Configuration.Revision, sum) {
		return Head{}, ErrInvalidProof
	}
	return h, nil
}

// accept returns the head after the plan is accepted.
func (h Head) accept(t Token, operator string, now time.Time, keys Keyring) (next Head, err error) {
	cfg, err := t.Intent.Apply(h.Configuration)
	if err != nil {
		return Head{}, err
	}
	sum, err := cfg.Checksum()
	if err != nil {
		return Head{}, err
	}
	if sum != t.Result {
		return Head{}, fmt.Errorf("applying the plan gives checksum %.12s, want %.12s as planned", sum, t.Result)
	}
	inverse, err := t.Intent.inverseWithinLimits(h.Configuration)
	if err != nil {
		return Head{}, err
	}
	element, err := t.Intent.elementChecksum(cfg)
	if err != nil {
		return Head{}, err
	}
	record := AcceptedChange{
		Revision: cfg.Revision, PlanID: t.ID, Operator: operator, PlannedBy: t.Operator,
		At: now.UTC().Round(0), Intent: t.Intent, Inverse: inverse, Element: element,
	}
	next.Configuration = cfg
	next.Proof = signRevision(keys, cfg.Revision, sum)
	next.Accepts = append(append(next.Accepts, h.Accepts...), record)
	return next, nil
}

// findByRevision returns the accepted change that created a revision.
func findByRevision(all []AcceptedChange, revision uint64) (AcceptedChange, bool) {
	for _, a := range all {
		if a.Revision == revision {
			return a, true
		}
	}
	return AcceptedChange{}, false
}

// Snapshot returns the head's configuration and proof in the form that routers exchange.
func (h Head) Snapshot() (Snapshot, error) {
	data, err := h.Configuration.Encode()
	if err != nil {
		return Snapshot{}, err
	}
	return Snapshot{Revision: h.Configuration.Revision, Proof: h.Proof, Data: data}, nil
}
