package hitchedge

import (
	"context"
	"encoding/json"
	"time"

	hitchplatform "citronhitch.example/citronhitch/platform"
)

// recordRetryDelay is how long a failed write to the store is put off.
const recordRetryDelay = time.Second

// storeRecord is a record in the store, as far as this instance has written it. A fleet
// that is lost as a whole starts with it. The zero value has written nothing.
type storeRecord struct {
	written string
	era     int64
	// retryAt is when the store may be written to again.
	retryAt time.Time
}

// forget makes the next write write the record whatever it holds.
func (r *storeRecord) forget() { r.written = "" }

// writeRecord writes a record, if it has changed or the store may have lost it.
func (e *Edge) writeRecord(ctx context.Context, name hitchplatform.RecordName, record *storeRecord, content any) {
	now := time.Now()
	if now.Before(record.retryAt) {
		return
	}
	value, err := json.Marshal(content)
	era := e.gateway.View().Revision.Era()
	if err != nil || string(value) == record.written && era == record.era {
		return
	}
	if err := e.store.PutRecord(ctx, name, value); err != nil {
		record.retryAt = now.Add(recordRetryDelay)
		e.Log.Info("failed to write a record to the store", "Record", name, "Error", err)
		return
	}
	record.written, record.era = string(value), era
}
