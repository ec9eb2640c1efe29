package hitchconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"
)

const (
	// maxRecent is how many accepts the head keeps before it moves the older
	// half to a page.
	maxRecent = 64
	// pageAccepts is how many accepts are on a page.
	pageAccepts = 32
	// maxRecentBytes is how many bytes of accepts the head keeps at most.
	maxRecentBytes = 256 << 10
	// maxIntentBytes bounds an intent and its inverse each, so that a page of
	// the largest fits into a value.
	maxIntentBytes = 12 << 10
	// maxPages is how many pages the history has; then the oldest is written over.
	maxPages = 256
	// maxValueBytes is below the megabyte that a value of the store may have.
	maxValueBytes = 1_000_000
)

// Accept records an accepted change.
type Accept struct {
	Revision uint64
	PlanID   string
	// Operator is who confirmed; PlannedBy is who planned.
	Operator  string
	PlannedBy string
	At        time.Time
	Intent    Intent
	// Inverse takes the change back.
	Inverse Intent
	// Element is the checksum of what the intent changed, after the change.
	Element Checksum
}

// String returns the accept as a line of the history.
func (a Accept) String() string {
	undo := ""
	if a.Intent.Revision > 0 {
		undo = fmt.Sprintf(" (undo of revision %d)", a.Intent.Revision)
	}
	return fmt.Sprintf("%d %s %s: %s %s%s", a.Revision, a.At.Format(time.RFC3339), a.Operator,
		a.Intent.Kind, a.Intent.Subject(), undo)
}

// Head is the one value of the key-value service that decides which revision is
// accepted.
type Head struct {
	Configuration Configuration
	// Proof vouches for the configuration.
	Proof Proof
	// Accepts are the latest, oldest first. The last one made Configuration.
	Accepts []Accept
}

// Page holds older accepts.
type Page struct {
	Accepts []Accept
}

// Encode returns the head's bytes in JSON.
func (h Head) Encode() (data []byte, err error) {
	defer annotate(&err, "encode head")
	if err := h.Configuration.Check(); err != nil {
		return nil, err
	}
	data, err = json.Marshal(h)
	if err == nil && len(data) > maxValueBytes {
		err = fmt.Errorf("%d bytes, want at most %d", len(data), maxValueBytes)
	}
	return data, err
}

// DecodeHead reads a head and verifies its proof. No bytes are the head of a
// fleet that was never configured.
func DecodeHead(data []byte, keys Keyring) (h Head, err error) {
	defer annotate(&err, "decode head")
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
		return Head{}, ErrOrigin
	}
	return h, nil
}

// with returns the head after an accepted plan.
func (h Head) with(t Token, operator string, now time.Time, keys Keyring) (next Head, err error) {
	cfg, err := t.Intent.Apply(h.Configuration)
	if err != nil {
		return Head{}, err
	}
	sum, err := cfg.Checksum()
	if err != nil {
		return Head{}, err
	}
	if sum != t.Result {
		return Head{}, fmt.Errorf("the plan leads to %.12s, not to %.12s as was planned", sum, t.Result)
	}
	inverse, err := t.Intent.boundedInverse(h.Configuration)
	if err != nil {
		return Head{}, err
	}
	element, err := t.Intent.element(cfg)
	if err != nil {
		return Head{}, err
	}
	accept := Accept{
		Revision: cfg.Revision, PlanID: t.ID, Operator: operator, PlannedBy: t.Operator,
		At: now.UTC().Round(0), Intent: t.Intent, Inverse: inverse, Element: element,
	}
	next.Configuration = cfg
	next.Proof = signRevision(keys, cfg.Revision, sum)
	next.Accepts = append(append(next.Accepts, h.Accepts...), accept)
	return next, nil
}

// acceptOf returns the accept that made a revision.
func acceptOf(all []Accept, revision uint64) (Accept, bool) {
	for _, a := range all {
		if a.Revision == revision {
			return a, true
		}
	}
	return Accept{}, false
}

// Offer returns what routers need of the head.
func (h Head) Offer() (Offer, error) {
	data, err := h.Configuration.Encode()
	if err != nil {
		return Offer{}, err
	}
	return Offer{Revision: h.Configuration.Revision, Proof: h.Proof, Data: data}, nil
}
