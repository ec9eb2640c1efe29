package hitchpeer

import (
	"cmp"
	"fmt"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Status is what the fleet believes of a router.
type Status uint8

// The statuses. At the same incarnation and detail the higher one wins.
const (
	Alive Status = iota
	Suspect
	Dead
	// Left is said by a router itself when it stops.
	Left
)

var statusNames = [...]string{"Alive", "Suspect", "Dead", "Left"}

// String returns the status's name.
func (s Status) String() string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}
	return fmt.Sprintf("Status(%d)", uint8(s))
}

// Record is a claim about a router, as routers pass it on.
type Record struct {
	_           struct{} `cbor:",toarray"`
	ID          hitchfleet.InstanceID
	Incarnation uint64
	// Detail is raised by the router itself, to refute a suspicion or to change
	// what the record says. It is the incarnation number of SWIM.
	Detail   uint32
	Status   Status
	Leaving  bool
	Addr     string
	PeerAddr string
	Region   hitchfleet.Region
	Zone     hitchfleet.AvailabilityZone
}

// RecordOf returns the first claim that an instance makes about itself.
func RecordOf(i hitchfleet.Instance) Record {
	return Record{
		ID: i.ID, Incarnation: i.Incarnation, Leaving: i.Leaving,
		Addr: i.Addr, PeerAddr: i.PeerAddr, Region: i.Region, Zone: i.Zone,
	}
}

// Instance returns the router that the record describes.
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

// brief returns the record as it is spread. Only news of a router that is alive
// say where it is.
func (r Record) brief() Record {
	if r.Status == Alive {
		return r
	}
	return Record{ID: r.ID, Incarnation: r.Incarnation, Detail: r.Detail, Status: r.Status, Leaving: r.Leaving}
}

// withPlaceOf returns a copy that says where the router is as the other one does,
// if it doesn't say so itself.
func (r Record) withPlaceOf(other Record) Record {
	if r.PeerAddr == "" && r.Region == "" {
		r.Addr, r.PeerAddr, r.Region, r.Zone = other.Addr, other.PeerAddr, other.Region, other.Zone
	}
	return r
}

// Compare orders claims about one router; the higher one overrides the lower.
// It looks at the incarnation first, then the detail, then the status.
func (r Record) Compare(other Record) int {
	return cmp.Or(
		cmp.Compare(r.Incarnation, other.Incarnation),
		cmp.Compare(r.Detail, other.Detail),
		cmp.Compare(r.Status, other.Status),
	)
}

func (r Record) gone() bool { return r.Status >= Dead }

// recordOverheadBytes is a record's size on the wire without its texts.
const recordOverheadBytes = 24

func (r Record) wireBytes() int {
	return recordOverheadBytes + len(r.ID) + len(r.Addr) + len(r.PeerAddr) + len(r.Region) + len(r.Zone)
}

func (r Record) sum() (bucket int, sum uint64) {
	if r.gone() {
		return 0, 0
	}
	key := hitchfleet.KeyOf(string(r.ID))
	return bucketOf(key), hitchfleet.Score(key, hitchfleet.Key(r.Incarnation*31+uint64(r.Detail)))
}

// member is what this router knows of another one, beyond its record.
type member struct {
	Record
	// suspectUntil is when a suspicion becomes a death.
	suspectUntil time.Time
	// forgetAt is when the record of a router that is gone is dropped.
	forgetAt time.Time
	// listLeaving is set while the platform lists this incarnation as leaving.
	listLeaving bool
	// unanswered is set while the own probes fail, though others may be answered.
	unanswered bool
	// accuseAt is when this router may suspect the other one again; accusations
	// counts its suspicions so far.
	accuseAt    time.Time
	accusations int
	flaps       penalty
}
