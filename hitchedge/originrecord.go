package hitchedge

import (
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"citronhitch.example/citronhitch/hitchdigest"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchorigin"
	hitchplatform "citronhitch.example/citronhitch/platform"
)

// Times and sizes of the record of streams' origins in the store. While a route's
// endpoints have several versions, each instance sends the origins of its streams to the
// primary hub together with its report, and the primary hub writes those of all instances
// at once.
const (
	// recordInterval is multiplied by the number of regions, each of which has a primary hub,
	// so that the fleet makes two writes a second at most.
	recordInterval = 500 * time.Millisecond
	// recordParts is the number of parts of the record that a writer has. The oldest one is
	// overwritten, after 16 s in a fleet of one region.
	recordParts = 32
	// resendInterval is how often the origins of all streams in flight are recorded again,
	// before their parts are overwritten.
	resendInterval = 8 * time.Second
	// maxPartOrigins limits a part to about 24 KB.
	maxPartOrigins = 4096
)

// Delays between two reads of the record by an instance that is asked for streams that
// nobody knows. It doubles while there are such streams, as a lost instance's last writes
// may be late.
const (
	minRecordReadDelay  = 200 * time.Millisecond
	maxRecordReadDelay  = 8 * time.Second
	failedReadDelay     = 200 * time.Millisecond
	recordReadTimeout   = 2 * time.Second
	recordReadsInFlight = "origins"
)

// originRecorder is this instance's part in the record of streams' origins. The zero value
// has sent and read nothing.
type originRecorder struct {
	// unsent are the origins to send to the primary hub, and unwritten those to write as the
	// primary hub.
	unsent, unwritten hitchorigin.Queue
	// hub is the primary hub that got the origins of all streams in flight, at sentAt. They
	// are used by sendOrigins alone.
	hub    hitchfleet.InstanceID
	sentAt time.Time
	// part is the last part written, and hasParts is set if there may be some in the store.
	// They are used by recordOrigins alone.
	part     int
	hasParts bool

	reads singleflight.Group
	mu    sync.Mutex
	// read is the record as it was last read, and nextReadAt when it may be read again.
	read       *hitchorigin.Recorded
	nextReadAt time.Time
	readDelay  time.Duration
}

// sendOrigins sends the origins of streams on mixed routes to the primary hub: the new ones,
// and at times, or to a new hub, those of all streams in flight.
func (e *Edge) sendOrigins(socket *net.UDPConn, r *region) {
	now := time.Now()
	o := &e.origins
	origins := o.unsent.Take(maxPartOrigins)
	if len(r.roles.Hubs) == 0 {
		return
	}
	hub := r.roles.Hubs[0]
	if hub.ID != o.hub || now.Sub(o.sentAt) >= resendInterval {
		var isMixed bool
		if origins, isMixed = e.gateway.Origins.MixedInFlight(now); isMixed {
			o.hub, o.sentAt = hub.ID, now
		}
	} else if len(origins) > 0 {
		origins = e.gateway.Origins.Mixed(now, origins)
	}
	if hub.ID == e.Settings.Self.ID {
		o.unwritten.Add(origins...)
		return
	}
	for len(origins) > 0 {
		n := min(len(origins), maxOriginsPerDatagram)
		e.send(socket, hitchdigest.Packet{Origins: origins[:n]}, hub)
		origins = origins[n:]
	}
}

// receiveOrigins handles origins that another instance sends to this one as a home of the
// streams, or as the primary hub.
func (e *Edge) receiveOrigins(now time.Time, origins []hitchorigin.Origin) {
	e.gateway.ReceiveOrigins(now, origins)
	if e.currentRegion().isPrimaryHub(e.Settings.Self.ID) {
		e.origins.unwritten.Add(origins...)
	}
}

// recordOrigins writes the origins of streams on mixed routes to the store while this
// instance is the primary hub, until ctx ends.
func (e *Edge) recordOrigins(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-time.After(recordInterval * time.Duration(max(countRegions(e.gateway.View().Instances()), 1))):
		case <-ctx.Done():
			return
		}
		isPrimary := e.currentRegion().isPrimaryHub(e.Settings.Self.ID)
		origins := e.origins.unwritten.Take(maxPartOrigins)
		if !e.gateway.Origins.IsMixed(time.Now()) {
			e.removeOriginsRecord(ctx, isPrimary)
			e.origins.forgetRead()
			continue
		}
		e.origins.hasParts = true
		if origins = e.gateway.Origins.Mixed(time.Now(), origins); isPrimary && len(origins) > 0 {
			e.writeOrigins(ctx, origins)
		}
	}
}

// writeOrigins writes origins as the next part of the record. If the outcome isn't known,
// they are written again with the next part.
func (e *Edge) writeOrigins(ctx context.Context, origins []hitchorigin.Origin) {
	value, err := hitchorigin.EncodeSegment(origins)
	if err == nil {
		e.origins.part = (e.origins.part + 1) % recordParts
		err = e.store.PutRecord(ctx, hitchplatform.OriginsRecord(e.Settings.Self.ID, e.origins.part), value)
	}
	if err != nil {
		e.origins.unwritten.Add(origins...)
		e.Log.Info("failed to write the origins of streams to the store", "Origins", len(origins), "Error", err)
	}
}

// removeOriginsRecord removes the record from the store once no route is mixed any more.
func (e *Edge) removeOriginsRecord(ctx context.Context, isPrimary bool) {
	if !e.origins.hasParts || !isPrimary || !e.gateway.OriginExchange.IsViewCurrent() {
		return
	}
	if err := e.store.RemoveOriginsRecords(ctx); err != nil {
		e.Log.Info("failed to remove the origins of streams from the store", "Error", err)
		return
	}
	e.origins.hasParts = false
}

// countRegions returns the number of regions of instances.
func countRegions(instances []hitchfleet.Instance) int {
	regions := make(map[hitchfleet.Region]bool)
	for _, i := range instances {
		regions[i.Region] = true
	}
	return len(regions)
}

// recordedOrigin returns the origin of a stream that the store has a record of. The record
// is read again if it doesn't hold the stream, but not often. It returns an error if it
// couldn't be read.
func (e *Edge) recordedOrigin(ctx context.Context, stream hitchfleet.Key) (o hitchorigin.Origin, ok bool, err error) {
	read, isDue := e.origins.lastRead(time.Now())
	if read != nil {
		if o, ok = read.Find(stream); ok || !isDue {
			return o, ok, nil
		}
	}
	if !isDue {
		return o, false, context.DeadlineExceeded
	}
	select {
	case result := <-e.origins.reads.DoChan(recordReadsInFlight, func() (any, error) {
		return nil, e.readOriginsRecord(context.WithoutCancel(ctx))
	}):
		if result.Err != nil {
			return o, false, result.Err
		}
	case <-ctx.Done():
		return o, false, ctx.Err()
	}
	if read, _ = e.origins.lastRead(time.Now()); read != nil {
		o, ok = read.Find(stream)
	}
	return o, ok, nil
}

// lastRead returns the record as it was last read, nil if it wasn't, and whether it may be
// read again.
func (o *originRecorder) lastRead(now time.Time) (read *hitchorigin.Recorded, isDue bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.read, !now.Before(o.nextReadAt)
}

// readOriginsRecord reads the record from the store.
func (e *Edge) readOriginsRecord(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recordReadTimeout)
	defer cancel()
	parts, err := e.store.OriginsRecords(ctx)
	if err != nil {
		e.origins.setRead(nil)
		e.Log.Warn("failed to read the origins of streams", "Error", err)
		return err
	}
	read := &hitchorigin.Recorded{}
	for _, part := range parts {
		if err := read.Add(part); err != nil {
			e.Log.Warn("invalid origins of streams in the store", "Error", err)
		}
	}
	e.gateway.NoteVersions(time.Now(), read.Versions())
	e.origins.setRead(read)
	e.Log.Info("origins of streams read from the store", "Parts", len(parts))
	return nil
}

// forgetRead frees the record once no route is mixed.
func (o *originRecorder) forgetRead() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.read = nil
}

// setRead records that the record was read, or couldn't be if it is nil.
func (o *originRecorder) setRead(read *hitchorigin.Recorded) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if read == nil {
		o.nextReadAt = time.Now().Add(failedReadDelay)
		return
	}
	o.readDelay = min(max(2*o.readDelay, minRecordReadDelay), maxRecordReadDelay)
	o.read, o.nextReadAt = read, time.Now().Add(o.readDelay)
}

// expectUnknownStreams makes the next read of the record due at once, and the following ones
// soon.
func (o *originRecorder) expectUnknownStreams() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.nextReadAt, o.readDelay = time.Time{}, 0
}
