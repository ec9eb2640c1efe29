package hitchingress

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchbalance"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchorigin"
	"citronhitch.example/citronhitch/hitchoutcome"
	"citronhitch.example/citronhitch/hitchroute"
	"citronhitch.example/citronhitch/hitchview"
)

// Limits of the time in which other instances are asked where a stream began: maxAskTime,
// and the request's remaining time divided by askTimeDivisor.
const (
	maxAskTime     = 500 * time.Millisecond
	askTimeDivisor = 8
	// askInterval is how often an instance that has just started asks again.
	askInterval = 100 * time.Millisecond
	// firstRecordTry is the try from which on the store's record is read although no
	// instance says that there were several versions. Usually this is known by then.
	firstRecordTry = 3
)

// errOtherVersion is returned if an endpoint isn't of the version that began the stream, or
// was replaced in place after it was picked.
var errOtherVersion = errors.New("the stream began at another version than the endpoint's, or the endpoint was replaced after the pick")

// OriginExchange exchanges the origins of streams with other instances. The zero value is
// that of an instance that is alone.
type OriginExchange struct {
	// Share sends origins to their homes.
	Share func(origins []hitchorigin.Origin)
	// Ask returns what the homes of a stream know about it, and how many haven't answered. It ends at the
	// first record.
	Ask func(ctx context.Context, stream hitchfleet.Key, route string) (answers []hitchorigin.Answer, silent int)
	// Recorded returns the origin of a stream that the store has a record of, for the case
	// that the instances that knew it are lost, and an error if the record can't be read.
	Recorded func(ctx context.Context, stream hitchfleet.Key) (o hitchorigin.Origin, ok bool, err error)
	// RecordedVersions returns which versions there were by the store's record, and an error if it has none or
	// can't be read.
	RecordedVersions func(ctx context.Context) (hitchorigin.Recent, error)
	// IsAlone reports whether there are no other instances.
	IsAlone func() bool
	// IsViewCurrent reports whether the view shows the endpoints as they are, but for
	// the usual delay. If it isn't current, the version of an endpoint isn't known.
	IsViewCurrent func() bool
}

// share sends origins to their homes.
func (x OriginExchange) share(origins []hitchorigin.Origin) {
	if x.Share != nil && len(origins) > 0 {
		x.Share(origins)
	}
}

// ask returns what the homes of a stream know, how many haven't answered, and whether there are no other
// instances.
func (x OriginExchange) ask(ctx context.Context, stream hitchfleet.Key, route string) (answers []hitchorigin.Answer, silent int, isAlone bool) {
	if x.Ask == nil {
		return nil, 0, true
	}
	answers, silent = x.Ask(ctx, stream, route)
	return answers, silent, x.IsAlone != nil && x.IsAlone()
}

// recorded returns the origin of a stream that the store has a record of.
func (x OriginExchange) recorded(ctx context.Context, stream hitchfleet.Key) (o hitchorigin.Origin, ok bool, err error) {
	if x.Recorded == nil {
		return o, false, nil
	}
	return x.Recorded(ctx, stream)
}

// errNoRecord is returned if the store has no record.
var errNoRecord = errors.New("there is no record in the store")

// recordedVersions returns which versions there were by the store's record.
func (x OriginExchange) recordedVersions(ctx context.Context) (hitchorigin.Recent, error) {
	if x.RecordedVersions == nil {
		return hitchorigin.Recent{}, errNoRecord
	}
	return x.RecordedVersions(ctx)
}

// isViewCurrent reports whether the view is kept up to date.
func (x OriginExchange) isViewCurrent() bool { return x.IsViewCurrent == nil || x.IsViewCurrent() }

// streamOrigin is the origin of a request's stream, as far as it is known. The zero value
// is that of a stream without events.
type streamOrigin struct {
	hitchorigin.Origin
	source hitchorigin.Source
}

// newFleetAge is how old the endpoints of a fleet that starts are at most.
const newFleetAge = 20 * time.Second

// IsNewFleet reports whether a first view is that of a fleet that starts: this instance
// has no entry in it, so that it wasn't there before, and no endpoint is older than
// newFleetAge.
func (g *Gateway) IsNewFleet(now time.Time, view hitchview.View) bool {
	if _, _, ok := view.RegisteredInstance(g.Self.ID); ok {
		return false
	}
	return !slices.ContainsFunc(view.AllEndpoints(), func(e hitchfleet.Endpoint) bool {
		return e.Born > 0 && now.Sub(time.UnixMilli(e.Born)) >= newFleetAge
	})
}

// updateOrigins passes a new view to the tracker of origins. In a fleet that didn't start
// together with this instance, there may have been versions that it hasn't seen.
func (g *Gateway) updateOrigins(now time.Time, view hitchview.View, isFirst bool) {
	if isFirst && !g.IsNewFleet(now, view) {
		g.Origins.RecordGap(now)
	}
	g.OriginExchange.share(g.Origins.SetFleet(now, view.AllEndpoints(), view.Table))
}

// RecordGap records that the instance wasn't in touch for a while until now, and may have
// missed versions that came and went.
func (g *Gateway) RecordGap(now time.Time) { g.OriginExchange.share(g.Origins.RecordGap(now)) }

// InheritVersions records which versions another instance has seen, as this one has missed
// some.
func (g *Gateway) InheritVersions(now time.Time, recent hitchorigin.Recent) {
	g.OriginExchange.share(g.Origins.Inherit(now, recent))
}

// NoteVersions records versions that there were, beside others that this instance may have
// missed.
func (g *Gateway) NoteVersions(now time.Time, versions map[hitchfleet.ServiceID][]string) {
	g.OriginExchange.share(g.Origins.NoteVersions(now, versions))
}

// ReceiveOrigins records origins that another instance shares.
func (g *Gateway) ReceiveOrigins(now time.Time, origins []hitchorigin.Origin) {
	g.OriginExchange.share(g.Origins.Receive(now, origins))
}

// AnswerOrigin returns what this instance knows about the origin of a stream. Unless it
// is in touch, that is its records only.
func (g *Gateway) AnswerOrigin(now time.Time, stream hitchfleet.Key, route string) hitchorigin.Answer {
	answer := g.Origins.Answer(now, stream, route)
	if answer.Knowledge == hitchorigin.KnowsOnly && !g.OriginExchange.isViewCurrent() {
		return hitchorigin.Answer{}
	}
	return answer
}

// resolveOrigin finds the origin of a stream that the caller takes up again. It returns
// a refusal if that isn't known.
func (g *Gateway) resolveOrigin(ctx context.Context, req *proxyRequest) *hitchoutcome.Refusal {
	isReturn := req.LastEventID > 0 || req.Resumes != ""
	if req.route.Kind != hitchroute.Streaming || !isReturn {
		return nil
	}
	stream := hitchorigin.StreamKey(cmp.Or(req.Resumes, req.ID))
	req.origin.Origin, req.origin.source = g.Origins.Find(stream)
	if req.origin.source == hitchorigin.SourceUnknown {
		req.origin.Origin, req.origin.source = g.askOrigin(ctx, req, stream)
	}
	req.origin.Stream = stream
	switch {
	case isEnded(ctx):
		return endedRefusal()
	case req.origin.source == hitchorigin.SourceUnknown:
		g.Metrics.countResumption(req.origin.source.String())
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonOriginUnknown, g.originReturnTime(req), "the version that began the stream isn't known")
	case !g.OriginExchange.isViewCurrent():
		g.Metrics.countResumption(resumptionStale)
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonStale, jitteredRetryTime(time.Now(), meanRetryAfter), "the versions of the endpoints may have changed")
	}
	if req.origin.Service == "" {
		req.origin.Service = req.service
	} else if req.route.LeadsTo(req.origin.Service) {
		req.service = req.origin.Service
	}
	g.Metrics.countResumption(req.origin.source.String())
	return nil
}

// askOrigin asks the homes of a stream for its origin. An instance that still learns which
// versions there were, as after its start, asks again: so may its homes.
func (g *Gateway) askOrigin(ctx context.Context, req *proxyRequest, stream hitchfleet.Key) (hitchorigin.Origin, hitchorigin.Source) {
	now := time.Now()
	ctx, cancel := context.WithDeadline(ctx, now.Add(min(maxAskTime, req.effectiveDeadline.Sub(now)/askTimeDivisor)))
	defer cancel()
	for try := 1; ; try++ {
		o, source := g.askOriginOnce(ctx, req, stream, try)
		if source != hitchorigin.SourceUnknown || g.Origins.IsComplete(now) && !req.isOriginUnread {
			return o, source
		}
		select {
		case <-time.After(askInterval):
		case <-ctx.Done():
			return o, source
		}
	}
}

// originReturnTime returns when a caller whose stream has no known origin should return: a
// little later if the instance still learns which versions there were, or couldn't read the
// store's record. Otherwise the zero time, as it won't be known later either.
func (g *Gateway) originReturnTime(req *proxyRequest) time.Time {
	now := time.Now()
	if !req.isOriginUnread && g.Origins.IsComplete(now) {
		return time.Time{}
	}
	return jitteredRetryTime(now, meanRetryAfter)
}

// askOriginOnce asks the homes of a stream for its origin once. If none has it while the
// route's endpoints have several versions, or may have had as nobody says which ones, it looks
// into the store's record.
func (g *Gateway) askOriginOnce(ctx context.Context, req *proxyRequest, stream hitchfleet.Key, try int) (hitchorigin.Origin, hitchorigin.Source) {
	answers, silent, isAlone := g.OriginExchange.ask(ctx, stream, req.route.Name)
	own := g.AnswerOrigin(time.Now(), stream, req.route.Name)
	if own.Knowledge == hitchorigin.KnowsRecord { // it was shared meanwhile
		return g.Origins.Find(stream)
	}
	o, source := hitchorigin.Combine(own, answers, isAlone)
	if source == hitchorigin.SourceInferred && silent >= len(answers) && !isAlone {
		return g.confirmInferred(ctx, req, o)
	}
	if source != hitchorigin.SourceUnknown || !knowsSeveral(own, answers) && try < firstRecordTry {
		return o, source
	}
	o, ok, err := g.OriginExchange.recorded(ctx, stream)
	req.isOriginUnread = err != nil
	if ok {
		return o, hitchorigin.SourceRecorded
	}
	return hitchorigin.Origin{}, hitchorigin.SourceUnknown
}

// confirmInferred confirms by the store's record an origin that was inferred while half of the homes or more
// didn't answer. Those that did may all be behind, as instances that are cut off together are.
func (g *Gateway) confirmInferred(ctx context.Context, req *proxyRequest, o hitchorigin.Origin) (hitchorigin.Origin, hitchorigin.Source) {
	recent, err := g.OriginExchange.recordedVersions(ctx)
	req.isOriginUnread = err != nil
	for _, split := range req.route.Splits {
		if err == nil && !recent.HasOnly(split.Service, o.Version) {
			err = errOtherVersion
		}
	}
	if err != nil {
		return hitchorigin.Origin{}, hitchorigin.SourceUnknown
	}
	return o, hitchorigin.SourceInferred
}

// knowsSeveral reports whether any of the answers about a stream is that the route's
// endpoints have had several versions.
func knowsSeveral(own hitchorigin.Answer, homes []hitchorigin.Answer) bool {
	return slices.ContainsFunc(append(homes, own), func(a hitchorigin.Answer) bool { return a.Knowledge == hitchorigin.KnowsSeveral })
}

// beginStream records the origin of a stream before its first event is sent to the
// caller. pick is the endpoint that wrote the event. A caller that returns names the
// first attempt again, so that the origin is also kept for that one.
func (g *Gateway) beginStream(req *proxyRequest, pick hitchbalance.Pick) {
	if req.origin.source == hitchorigin.SourceNone {
		req.origin = streamOrigin{
			Origin: hitchorigin.Origin{Stream: hitchorigin.StreamKey(req.ID), Service: pick.Endpoint.Service, Version: pick.Endpoint.Version},
			source: hitchorigin.SourceBegun,
		}
		if pick.Relay != "" || !g.OriginExchange.isViewCurrent() || !g.isAsPicked(pick) {
			req.origin.source = hitchorigin.SourceUnknown
			return
		}
	}
	if g.Origins.Begin(time.Now(), req.route.Name, req.origin.Origin) && req.route.IsResumable {
		g.OriginExchange.share([]hitchorigin.Origin{req.origin.Origin})
	}
}

// endStream records that the response of a stream has ended.
func (g *Gateway) endStream(req *proxyRequest) {
	if req.origin.source != hitchorigin.SourceNone {
		g.Origins.End(time.Now(), req.origin.Stream)
	}
}

// isAsPicked reports whether the view still has the endpoint as it was picked. One that
// is no longer listed goes on for a while.
func (g *Gateway) isAsPicked(pick hitchbalance.Pick) bool {
	e, ok := g.View().Endpoint(pick.Endpoint.ID)
	return !ok || e.Born == pick.Endpoint.Born && e.Version == pick.Endpoint.Version
}

// checkVersion returns an error if a stream that has begun would go on at an endpoint of
// another version: one that was picked before the first event, or that has been replaced
// in place since.
func (g *Gateway) checkVersion(req *proxyRequest, pick hitchbalance.Pick) error {
	if req.origin.source == hitchorigin.SourceNone || pick.Relay != "" {
		return nil
	}
	if !g.versionConstraint(req).Allows(pick.Endpoint) || !g.isAsPicked(pick) {
		return errOtherVersion
	}
	return nil
}

// versionConstraint returns which versions may go on with the request's stream: any if it
// has no event yet, and none if the origin, or the versions of the endpoints, aren't
// known.
func (g *Gateway) versionConstraint(req *proxyRequest) hitchbalance.VersionConstraint {
	switch {
	case req.origin.source == hitchorigin.SourceNone:
		return hitchbalance.VersionConstraint{}
	case req.origin.source == hitchorigin.SourceUnknown || !g.OriginExchange.isViewCurrent():
		return hitchbalance.NoVersion()
	default:
		return hitchbalance.OnlyVersion(req.origin.Version)
	}
}

// countNoResumption counts a stream that can't go on as no endpoint may do that.
func (g *Gateway) countNoResumption(req *proxyRequest) {
	switch {
	case req.origin.source == hitchorigin.SourceUnknown:
		g.Metrics.countResumption(req.origin.source.String())
	case !g.OriginExchange.isViewCurrent():
		g.Metrics.countResumption(resumptionStale)
	default:
		g.Metrics.countResumption(resumptionNoEndpoint)
	}
}

// refuseOtherVersions ends a request to take up a stream again for which no endpoint of
// the stream's version is left. A later return would find none either.
func (g *Gateway) refuseOtherVersions(req *proxyRequest) {
	g.writeRefusal(req, req.dispatchTracker.Refuse(hitchoutcome.ReasonOtherVersions, time.Time{}, "no endpoint has version %q, which began the stream", req.origin.Version))
}
