package hitchorigin

import "citronhitch.example/citronhitch/hitchfleet"

// Knowledge is what an instance can say about where a stream began.
type Knowledge uint8

// The kinds of knowledge.
const (
	// KnowsNothing means that the instance hasn't been there for long enough, or isn't in
	// touch.
	KnowsNothing Knowledge = iota
	// KnowsSeveral means that the route's endpoints have had several versions, and that
	// the instance has no record of the stream.
	KnowsSeveral
	// KnowsOnly means that the route's endpoints have had one version only.
	KnowsOnly
	// KnowsRecord means that the instance has a record of the stream.
	KnowsRecord
)

// Answer is what an instance knows about the origin of a stream.
type Answer struct {
	Knowledge Knowledge
	// Service is set for KnowsRecord, and Version also for KnowsOnly.
	Service hitchfleet.ServiceID
	Version string
}

// Combine returns the origin that an instance's own answer and those of the stream's homes
// imply, with SourceUnknown if they imply none. Records count more than the inference
// from a route with one version only. That takes at least one home, unless the instance
// is alone, and no other that knows better: an instance by itself may be behind.
func Combine(own Answer, homes []Answer, isAlone bool) (o Origin, source Source) {
	var inferred []Answer
	isDisputed := own.Knowledge == KnowsSeveral
	if own.Knowledge == KnowsOnly {
		inferred = append(inferred, own)
	}
	hasHome := isAlone
	for _, a := range homes {
		switch a.Knowledge {
		case KnowsRecord:
			if source == SourceAsked && o.Version != a.Version {
				return Origin{}, SourceUnknown
			}
			o, source = Origin{Service: a.Service, Version: a.Version}, SourceAsked
		case KnowsSeveral:
			isDisputed = true
		case KnowsOnly:
			inferred, hasHome = append(inferred, a), true
		}
	}
	if source == SourceAsked {
		return o, source
	}
	if isDisputed || !hasHome || len(inferred) == 0 {
		return Origin{}, SourceUnknown
	}
	for _, a := range inferred {
		if a.Version != inferred[0].Version {
			return Origin{}, SourceUnknown
		}
	}
	return Origin{Version: inferred[0].Version}, SourceInferred
}
