// Package hitchorigin tracks at which version of the endpoints' software streams began,
// so that a stream that is resumed goes on at that version. It has no socket, clock or
// goroutine of its own.
//
// An instance keeps the origins of its own streams. It shares them with a few other
// instances, the homes of the stream, while the route's endpoints have several versions.
// An instance that a caller returns to, and that knows no origin, asks the homes:
//
//	if tracker.Begin(now, "route", origin) {
//		// ... send origin to Homes(origin.Stream, instances, self) ...
//	}
//	answers := ... // of AskedHomes, each by tracker.Answer
//	origin, source := hitchorigin.Combine(own, answers, false)
package hitchorigin

import (
	"unique"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Origin is the service and the version of the endpoint that wrote the first event of a
// stream.
type Origin struct {
	_       struct{} `cbor:",toarray"`
	Stream  hitchfleet.Key
	Service hitchfleet.ServiceID
	Version string
}

// StreamKey returns the key of the stream whose first event came with a caller's attempt.
func StreamKey(attemptID string) hitchfleet.Key { return hitchfleet.KeyOf(attemptID) }

// interned returns the origin with texts that all origins share.
func (o Origin) interned() Origin {
	o.Service = unique.Make(o.Service).Value()
	o.Version = unique.Make(o.Version).Value()
	return o
}

// Source is how the origin of a stream is known.
type Source uint8

// The sources.
const (
	// SourceNone means that the request begins a stream, or that none has begun yet.
	SourceNone Source = iota
	// SourceBegun means that the stream began in this response.
	SourceBegun
	// SourceOwn means that the stream began at this instance.
	SourceOwn
	// SourceShared means that another instance shared the origin with this one.
	SourceShared
	// SourceAsked means that a home knew it.
	SourceAsked
	// SourceInferred means that the route's endpoints have had one version only.
	SourceInferred
	// SourceRecorded means that the store has a record of it.
	SourceRecorded
	// SourceUnknown means that it isn't known.
	SourceUnknown
)

// String returns the source's name in logs and metrics.
func (s Source) String() string {
	return [...]string{"", "Begun", "Own", "Shared", "Asked", "Inferred", "Recorded", "Unknown"}[s]
}
