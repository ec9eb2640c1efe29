// Package hitchdigest shares soft state among instances: how many requests each
// endpoint has in flight, which engines cache which prompts, and which revision of
// the store is the newest.
//
// A few instances are hubs. All others send each hub a Report several times a
// second; a hub adds them up and sends everyone a Digest. Both are datagrams: one
// that is lost is replaced by the next.
//
//	var a hitchdigest.Aggregator
//	a.Take(now, report)
//	for _, d := range a.Digests(now, head) {
//		// ... send d to every instance ...
//	}
package hitchdigest

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Ref names an endpoint in four bytes.
type Ref uint32

// RefOf returns the reference of an endpoint.
func RefOf(id hitchfleet.EndpointID) Ref { return Ref(hitchfleet.KeyOf(string(id))) }

// Load is the number of requests in flight at an endpoint.
type Load struct {
	_        struct{} `cbor:",toarray"`
	Endpoint Ref
	InFlight uint16
}

// Cached says that an engine has read a prefix of a prompt, or reads it.
type Cached struct {
	_        struct{} `cbor:",toarray"`
	Endpoint Ref
	Prefix   hitchfleet.Key
	IsRead   bool
	// Tokens is what the engine has to read, if it reads the prefix.
	Tokens int
}

// Report is what one instance tells a hub.
type Report struct {
	_     struct{} `cbor:",toarray"`
	From  hitchfleet.InstanceID
	Loads []Load
	// Cached are the prefixes that the instance's requests brought to engines since
	// its last report.
	Cached []Cached
}

// Head is what a hub says of itself.
type Head struct {
	_    struct{} `cbor:",toarray"`
	From hitchfleet.InstanceID
	// Revision is the store's, as the hub knows it.
	Revision int64
	// HasStore tells that the hub reaches the store.
	HasStore bool
	// ViewAddr is where the changes up to the revision are read.
	ViewAddr string
	// Silent are instances that the hub hasn't heard lately.
	Silent []hitchfleet.InstanceID
}

// Digest is what a hub tells everyone.
type Digest struct {
	_    struct{} `cbor:",toarray"`
	Head Head
	// Loads are sums over all instances. Endpoints without requests are left out.
	Loads  []Load
	Cached []Cached
}

// News says at once what requests that come meanwhile should know. Instances tell
// the first hub, which tells everyone.
type News struct {
	_      struct{} `cbor:",toarray"`
	From   hitchfleet.InstanceID
	Cached []Cached
}

// Packet is one datagram: a report, a digest or news.
type Packet struct {
	_      struct{} `cbor:",toarray"`
	Report *Report
	Digest *Digest
	News   *News
}

// Encode returns the packet's bytes.
func (p Packet) Encode() (b []byte, err error) { return cbor.Marshal(p) }

// Decode reads a packet.
func Decode(b []byte) (p Packet, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("datagram of %d bytes: %w", len(b), err)
		}
	}()
	err = cbor.Unmarshal(b, &p)
	return p, err
}
