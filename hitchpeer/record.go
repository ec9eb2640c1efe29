package hitchpeer

import (
	"cmp"
	"fmt"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Status is the state of a router in the membership.
type Status uint8

// The statuses. Between records with the same incarnation and revision, the higher
// status wins.
const (
	Alive Status = iota
	Suspect
	Dead
	// Left is set only by the router itself when it stops.
	Left
)

var statusNames = [...]string{"Alive", "Suspect", "Dead", "Left"}

// String returns the name of the status.
func (s Status) String() string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}
	return fmt.Sprintf("Status(%d)", uint8(s))
}

// Record is a statement about a router's state, as exchanged between routers. It
// isn't necessarily true: the router refutes a wrong one with a higher Revision.
type Record struct {
	_           struct{} `cbor:",toarray"`
	ID          hitchfleet.InstanceID
	Incarnation uint64
	// Revision is incremented only by the router itself, to refute a suspicion or to
	// change other fields. It corresponds to the incarnation number of SWIM.
	Revision uint32
	Status   Status
	Leaving  bool
	Addr     string
	PeerAddr string
	Region   hitchfleet.Region
	Zone     hitchfleet.AvailabilityZone
}

// RecordOf returns the initial record of an instance.
func RecordOf(i hitchfleet.Instance) Record {
	return Record{
		ID: i.ID, Incarnation: i.Incarnation, Leaving: i.Leaving,
		Addr: i.Addr, PeerAddr: i.PeerAddr, Region: i.Region, Zone: i.Zone,
	}
}

// Instance returns the router as an instance.
func (r Record) Instance() hitchfleet.Instance {
	return hitchfleet.Instance{
		ID: r.ID, Incarnation: r.Incarnation, Leaving: r.Leaving,
		Addr: r.Addr, PeerAddr: r.PeerAddr, Region: r.Region, Zone: r.Zone,
	}
}

// WithStatus returns a copy with another status.
func (r Record) WithStatus(s Status) Record {
	r.Status = s
	return r
}

// forWire returns the record as it is sent in packets. Only the record of a live
// router has its addresses, region and zone.
func (r Record) forWire() Record {
	if r.Status == Alive {
		return r
	}
	return Record{ID: r.ID, Incarnation: r.Incarnation, Revision: r.Revision, Status: r.Status, Leaving: r.Leaving}
}

// withLocationOf returns a copy with the addresses, region and zone of the other
// record, if the record has none itself.
func (r Record) withLocationOf(other Record) Record {
	if r.PeerAddr == "" && r.Region == "" {
		r.Addr, r.PeerAddr, r.Region, r.Zone = other.Addr, other.PeerAddr, other.Region, other.Zone
	}
	return r
}

// Compare orders records of one router by incarnation, then revision, then status.
// The higher record replaces the lower one.
func (r Record) Compare(other Record) int {
	return cmp.Or(
		cmp.Compare(r.Incarnation, other.Incarnation),
		cmp.Compare(r.Revision, other.Revision),
		cmp.Compare(r.Status, other.Status),
	)
}

// isGone reports whether the router is dead or has left.
func (r Record) isGone() bool { return r.Status >= Dead }

// recordOverheadBytes is the encoded size of a record without its strings.
const recordOverheadBytes = 24

func (r Record) wireBytes() int {
	return recordOverheadBytes + len(r.ID) + len(r.Addr) + len(r.PeerAddr) + len(r.Region) + len(r.Zone)
}

// checksum returns the record's bucket and its checksum, which is zero if the router
// is dead or has left.
func (r Record) checksum() (bucket int, sum uint64) {
	if r.isGone() {
		return 0, 0
	}
	key := hitchfleet.KeyOf(string(r.ID))
	return bucketIndex(key), hitchfleet.Score(key, hitchfleet.Key(r.Incarnation*31+uint64(r.Revision)))
}

// member is another router's record with this router's local bookkeeping.
type member struct {
	Record
	// suspectUntil is when a suspected router is declared dead.
	suspectUntil time.Time
	// removeAt is when the record of a router that is dead or has left is removed.
	removeAt time.Time
	// listedAsLeaving is set while the platform lists this incarnation as leaving.
	listedAsLeaving bool
	// probeFailing is set while this router's own probes fail, even if those of other
	// routers succeed.
	probeFailing bool
	// nextSuspicionAt is when this router may suspect the member again; suspicions
	// counts how often it did so.
	nextSuspicionAt time.Time
	suspicions      int
	flapPenalty     flapPenalty
}
