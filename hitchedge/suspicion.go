package hitchedge

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchdigest"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchquarantine"
	hitchplatform "citronhitch.example/citronhitch/platform"
)

// sendSuspicions sends what is known of requests at which endpoints crash: to the
// hubs, or, from a hub, to all instances of the region. Callers are directed to all regions,
// so that the primary hub also tells the hubs of the others.
func (e *Edge) sendSuspicions(socket *net.UDPConn, r *region) {
	now := time.Now()
	self := e.Settings.Self
	isHub := r.isHub(self.ID)
	for range maxSuspicionMessages {
		due := e.gateway.Quarantine.Due(now, isHub)
		if len(due) == 0 {
			return
		}
		e.send(socket, hitchdigest.Packet{Suspicions: &hitchquarantine.SuspicionsMsg{From: self.ID, Suspicions: due}}, e.recipients(now, r)...)
		if len(due) < hitchquarantine.MaxPerMessage {
			return
		}
	}
}

// maxSuspicionMessages limits the messages that are sent at a time. The requests in flight at a
// crashed endpoint have more traits than one message holds; with one, the cause was told up to
// three intervals late at each hop.
const maxSuspicionMessages = 3

// recipients returns the instances to which this one tells what it knows: the hubs, or, from
// a hub, all instances of the region, and those that report to it without being listed.
func (e *Edge) recipients(now time.Time, r *region) []hitchfleet.Instance {
	self := e.Settings.Self
	if !r.isHub(self.ID) {
		return r.roles.Hubs
	}
	recipients := slices.Concat(r.instances, e.unlisted.Instances(now, r.instances))
	if r.isPrimaryHub(self.ID) {
		recipients = append(recipients, hubsOfOtherRegions(self.Region, e.gateway.View().Instances())...)
	}
	return recipients
}

// hubsOfOtherRegions returns the hubs of all regions but one, as they are unless hubs have
// failed.
func hubsOfOtherRegions(own hitchfleet.Region, instances []hitchfleet.Instance) (hubs []hitchfleet.Instance) {
	seen := map[hitchfleet.Region]bool{own: true}
	for _, i := range instances {
		if !seen[i.Region] {
			seen[i.Region] = true
			hubs = append(hubs, hitchdigest.Hubs(hitchdigest.Rank(hitchdigest.InRegion(instances, i.Region)))...)
		}
	}
	return hubs
}

// startTime is how long after its start an instance may be one of a fleet that was lost as a
// whole. Later it knows what the others know.
const startTime = 30 * time.Second

// followQuarantine keeps the store's record of the quarantined requests, which the primary hub
// reads after its start. It isn't written before there is one.
func (e *Edge) followQuarantine(ctx context.Context) {
	if isStarting := time.Since(e.gateway.StartedAt) < startTime; isStarting && !e.quarantineRead {
		e.quarantineRead = e.readQuarantine(ctx)
		return
	}
	record := e.gateway.Quarantine.Record(time.Now())
	if len(record.Traits) > 0 || e.quarantineRecord.written != "" {
		e.writeRecord(ctx, hitchplatform.QuarantineRecord, &e.quarantineRecord, record)
	}
}

// readQuarantine adds what the store's record says. It returns false if the store couldn't
// be read.
func (e *Edge) readQuarantine(ctx context.Context) bool {
	now := time.Now()
	if now.Before(e.quarantineRecord.retryAt) {
		return false
	}
	value, err := e.store.Record(ctx, hitchplatform.QuarantineRecord)
	if errors.Is(err, hitchplatform.ErrNotFound) {
		return true
	}
	if err != nil {
		e.quarantineRecord.retryAt = now.Add(recordRetryDelay)
		return false
	}
	var record hitchquarantine.Record
	if err := json.Unmarshal(value, &record); err != nil {
		e.Log.Warn("failed to decode the record of the quarantine", "Error", err)
		return true
	}
	e.quarantineRecord.written, e.quarantineRecord.era = string(value), e.gateway.View().Revision.Era()
	e.gateway.InheritQuarantine(time.Now(), record)
	return true
}
