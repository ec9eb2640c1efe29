// Package hitchdigest shares soft state among instances: the number of requests
// in flight at each endpoint, the prompt prefixes that each engine has cached,
// and the newest revision of the store.
//
// A few instances are hubs. Every instance sends a Report to each hub several
// times a second. A hub sums the reports and sends a Digest to every instance.
// Reports and digests are datagrams and are not retransmitted, because the next
// one replaces a lost one.
//
//	var a hitchdigest.Aggregator
//	a.AddReport(now, report)
//	for _, d := range a.Digests(now, status) {
//		// ... send d to every instance ...
//	}
package hitchdigest

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchorigin"
	"citronhitch.example/citronhitch/hitchpath"
	"citronhitch.example/citronhitch/hitchquarantine"
	"citronhitch.example/citronhitch/hitchquota"
	"citronhitch.example/citronhitch/hitchrollout"
)

// EndpointRef identifies an endpoint in four bytes.
type EndpointRef uint32

// EndpointRefOf returns the reference of an endpoint.
func EndpointRefOf(id hitchfleet.EndpointID) EndpointRef {
	return EndpointRef(hitchfleet.KeyOf(string(id)))
}

// InstanceRef identifies an instance in four bytes.
type InstanceRef uint32

// InstanceRefOf returns the reference of an instance.
func InstanceRefOf(id hitchfleet.InstanceID) InstanceRef {
	return InstanceRef(hitchfleet.KeyOf(string(id)))
}

// Load is the number of requests in flight at an endpoint.
type Load struct {
	_        struct{} `cbor:",toarray"`
	Endpoint EndpointRef
	InFlight uint16
}

// CachedPrefix is a prefix of a prompt that an engine has cached or is
// prefilling.
type CachedPrefix struct {
	_        struct{} `cbor:",toarray"`
	Endpoint EndpointRef
	Prefix   hitchfleet.Key
	// IsPrefilled is set once the engine has prefilled the prefix.
	IsPrefilled bool
	// PrefillTokens is the number of tokens to prefill while IsPrefilled is not
	// set; 0 if the engine doesn't prefill it any more.
	PrefillTokens int
}

// IsDropped reports whether the prefill of the prefix ended before it was complete.
func (c CachedPrefix) IsDropped() bool { return !c.IsPrefilled && c.PrefillTokens == 0 }

// Report is the message that each instance sends to the hubs.
type Report struct {
	_     struct{} `cbor:",toarray"`
	From  hitchfleet.InstanceID
	Loads []Load
	// CachedPrefixes lists the prefixes that the instance's requests added to
	// engine caches since its last report.
	CachedPrefixes []CachedPrefix
	// IsCutOff is set if the instance reaches no endpoint, while others do.
	IsCutOff bool
}

// HubStatus is the status that a hub reports about itself, with the instances
// that it receives no reports from. Instances that watch the store in place of a hub
// send it too.
type HubStatus struct {
	_    struct{} `cbor:",toarray"`
	From hitchfleet.InstanceID
	Zone hitchfleet.AvailabilityZone
	// Revision is the newest store revision that the hub knows.
	Revision hitchfleet.Revision
	// IsStoreReachable reports whether the hub can reach the store and keeps up with it.
	IsStoreReachable bool
	// ViewAddr is the address from which to read the changes up to Revision.
	ViewAddr string
	// Silence lists the instances that sent the hub no report.
	Silence Silence
	// CutOff lists the instances that say that they reach no endpoint, sorted.
	CutOff []InstanceRef
}

// Digest is the message that a hub sends to every instance.
type Digest struct {
	_    struct{} `cbor:",toarray"`
	From hitchfleet.InstanceID
	// HubStatus is nil in all but one of the digests that are sent at a time.
	HubStatus *HubStatus
	// Loads are the sums over all instances. Endpoints without requests are left
	// out.
	Loads          []Load
	CachedPrefixes []CachedPrefix
}

// CacheUpdate carries cached prefixes ahead of the next report, because requests
// that arrive in the meantime should be routed by them. Instances send it to the
// primary hub, the first one that Hubs returns, which relays it to every
// instance.
type CacheUpdate struct {
	_              struct{} `cbor:",toarray"`
	From           hitchfleet.InstanceID
	CachedPrefixes []CachedPrefix
}

// Packet is one datagram. Exactly one of its fields is set.
type Packet struct {
	_           struct{} `cbor:",toarray"`
	Report      *Report
	Digest      *Digest
	CacheUpdate *CacheUpdate
	// Origins are those of streams on routes whose endpoints have several versions. The
	// receiver is one of their homes.
	Origins []hitchorigin.Origin
	// Suspicions are those of an instance, for the hubs, or of a hub, for all.
	Suspicions *hitchquarantine.SuspicionsMsg
	// Quotas are those of endpoints, as an instance tells the hubs, or a hub all.
	Quotas *hitchquota.NoticesMsg
	// PermitRequest asks the owner of an endpoint for a permit, which PermitReply answers.
	PermitRequest *hitchquota.PermitRequestMsg
	PermitReply   *hitchquota.PermitReplyMsg
	// Holding tells the owner of an endpoint what an instance has in flight there.
	Holding *hitchquota.HoldingMsg
	// TurnRequest asks the owner of a trait of requests for a turn, which TurnReply answers.
	TurnRequest *hitchquarantine.TurnRequestMsg
	TurnReply   *hitchquarantine.TurnReplyMsg
	// PathRequest asks an instance whether it reaches endpoints, which PathReply answers.
	PathRequest *hitchpath.RequestMsg
	PathReply   *hitchpath.ReplyMsg
	// Slot is a message about slots. It isn't encoded as a field.
	Slot *SlotMsg `cbor:"-"`
	// RolloutCounts are what an instance has counted for rollouts, for the hubs, and
	// RolloutStops what a hub tells all instances to send less to. Both are omitted from the
	// encoding if they are nil.
	RolloutCounts *RolloutCountsMsg
	RolloutStops  *RolloutStopsMsg
}

// RolloutCountsMsg tells the hubs what an instance has counted for a rollout.
type RolloutCountsMsg struct {
	_    struct{} `cbor:",toarray"`
	From hitchfleet.InstanceID
	// Incarnation differs between runs of the instance, whose counts start from zero.
	Incarnation uint64
	Counts      hitchrollout.Counts
}

// RolloutStopsMsg tells instances to send less to the new versions of services.
type RolloutStopsMsg struct {
	_     struct{} `cbor:",toarray"`
	From  hitchfleet.InstanceID
	Stops []hitchrollout.StopMsg
}

// requiredFields is the number of a packet's fields that are always encoded, and
// optionalFields that of the last ones, which are omitted together if all are nil. Both are
// below 24, so that the head of the array is one byte.
const (
	requiredFields = 13
	optionalFields = 2
	arrayHead      = 0x80
	nilValue       = 0xf6
)

// Encode returns the packet's CBOR encoding.
func (p Packet) Encode() (b []byte, err error) {
	if p.Slot != nil {
		return encodeSlot(p.Slot)
	}
	b, err = cbor.Marshal(p)
	if err == nil && p.RolloutCounts == nil && p.RolloutStops == nil {
		b = b[:len(b)-optionalFields]
		b[0] = arrayHead + requiredFields
	}
	return b, err
}

// Decode parses a packet.
func Decode(b []byte) (p Packet, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("datagram of %d bytes: %w", len(b), err)
		}
	}()
	if p.Slot, err = decodeSlot(b); p.Slot != nil || err != nil {
		return p, err
	}
	if len(b) > 0 && b[0] == arrayHead+requiredFields {
		b = append(slices.Clone(b), slices.Repeat([]byte{nilValue}, optionalFields)...)
		b[0] = arrayHead + requiredFields + optionalFields
	}
	err = cbor.Unmarshal(b, &p)
	return p, err
}
