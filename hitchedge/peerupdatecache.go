package hitchedge

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchview"
)

// maxUpdateAge is how long an update is sent again. The times in it are relative to when it was encoded, so that a
// later receiver would keep entries for longer that the store has removed.
const maxUpdateAge = 100 * time.Millisecond

// peerUpdateCache caches the encoded updates to the current revision, as most
// instances ask a hub for the same changes at the same time. The zero value is ready
// to use.
type peerUpdateCache struct {
	mu        sync.Mutex
	revision  hitchfleet.Revision // revision that the cached updates lead to
	expiresAt time.Time
	bodies    map[peerRevisions][]byte
}

// peerRevisions holds the revisions that the requesting instance already has.
type peerRevisions struct {
	revision      hitchfleet.Revision
	tableRevision hitchfleet.Revision
}

// get returns the compressed update from the revisions of the requesting instance to
// the current revision.
func (c *peerUpdateCache) get(currentRevision, revision, tableRevision hitchfleet.Revision, newUpdate func(revision, tableRevision hitchfleet.Revision) hitchview.PeerUpdate) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); c.revision != currentRevision || !now.Before(c.expiresAt) {
		c.revision, c.expiresAt, c.bodies = currentRevision, now.Add(maxUpdateAge), make(map[peerRevisions][]byte)
	}
	key := peerRevisions{revision, tableRevision}
	if body, ok := c.bodies[key]; ok {
		return body, nil
	}
	body, err := encodePeerUpdate(newUpdate(revision, tableRevision))
	if err != nil {
		return nil, err
	}
	c.bodies[key] = body
	return body, nil
}

// encodePeerUpdate returns an update as JSON, compressed with gzip.
func encodePeerUpdate(update hitchview.PeerUpdate) ([]byte, error) {
	var out bytes.Buffer
	z, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := json.NewEncoder(z).Encode(update); err != nil {
		return nil, err
	}
	if err := z.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}
