package hitchrouter

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchforward"
	"citronhitch.example/citronhitch/hitchoutcome"
	"citronhitch.example/citronhitch/hitchpath"
	"citronhitch.example/citronhitch/hitchpeer"
)

// The kinds of requests between routers of which one reaches no endpoint.
const (
	// KindReach asks a router whether it reaches endpoints.
	KindReach hitchpeer.Kind = "Reach"
	// KindRelay has a router send a request to an endpoint in place of another one.
	KindRelay hitchpeer.Kind = "Relay"
)

// Limits of the questions whether others reach endpoints.
const (
	askedRouters = 6
	reachTimeout = 250 * time.Millisecond
)

// errRelay is returned for a relayed request without a response.
var errRelay = errors.New("the router that was to send the request on gave no response")

// relayRequest is a request that another router is to send to an endpoint.
type relayRequest struct {
	_            struct{} `cbor:",toarray"`
	Organisation hitchfleet.OrganisationID
	Route        hitchfleet.RouteID
	IsChat       bool
	IsStream     bool
	Chat         string
	Zone         hitchfleet.AvailabilityZone
	IsBatch      bool
	PromptBytes  int64
	MaxTokens    int64
	Parts        []hitchfleet.PartID
	Call         hitchforward.Call
	// RemainingMilliseconds is the time until the call's deadline; 0 if it has none. The clocks
	// of routers differ.
	RemainingMilliseconds int64
}

// headerAttempts is the header of a relayed call with the number of attempts that the other router may make.
// Routers of older versions don't read it.
const headerAttempts = "Citronhitch-Attempts"

// withAttempts returns the request with the number of attempts that the other router may make.
func (r relayRequest) withAttempts(n int) relayRequest {
	r.Call.Header = r.Call.Header.Clone()
	if r.Call.Header == nil {
		r.Call.Header = make(http.Header)
	}
	r.Call.Header.Set(headerAttempts, strconv.Itoa(n))
	return r
}

// takeAttempts returns the number of attempts that this router may make, and removes it from the call. A
// number that isn't valid counts as all.
func (r relayRequest) takeAttempts() int {
	n, err := strconv.Atoi(r.Call.Header.Get(headerAttempts))
	r.Call.Header.Del(headerAttempts)
	if err != nil || n < 1 || n > maxAttempts {
		return maxAttempts
	}
	return n
}

// relayResponse is the response to a relayRequest: one of its fields is set.
type relayResponse struct {
	_        struct{} `cbor:",toarray"`
	Response *hitchforward.Response
	Stream   *relayedStream
	Refusal  *hitchoutcome.Refusal
}

// relayedStream is a whole stream.
type relayedStream struct {
	_      struct{} `cbor:",toarray"`
	Header http.Header
	Events []hitchforward.Event
}

// deliverTo delivers a response to the caller of a stream.
func (r relayResponse) deliverTo(stream *hitchforward.Stream, deliver func(hitchforward.Event) error) error {
	if r.Response != nil {
		stream.OnResponse(r.Response)
		return nil
	}
	if stream.OnHeader != nil {
		stream.OnHeader(r.Stream.Header)
	}
	for _, event := range r.Stream.Events {
		if err := deliver(event); err != nil {
			return err
		}
	}
	return nil
}

// ownPath returns the state of this router's own path to the endpoints.
func (rt *Router) ownPath() *hitchpath.Monitor {
	rt.pathOnce.Do(rt.initPath)
	return &rt.path
}

// initPath connects the monitor of the path.
func (rt *Router) initPath() {
	rt.path.Ask = func(ctx context.Context, e hitchfleet.Endpoint) hitchpath.Evidence {
		return hitchpath.EvidenceOf(rt.Forward.Ask(ctx, e))
	}
	rt.path.Endpoints = func() []hitchfleet.Endpoint { return append([]hitchfleet.Endpoint(nil), rt.View().Endpoints...) }
	rt.path.Confirm = rt.findRelays
	rt.path.OnChange = func(c hitchpath.Change) {
		rt.log().Warn("path to the endpoints", "State", c.New, "Old", c.Old, "Failures", c.Failures, "Rounds", c.Rounds, "Evidence", c.Evidence, "ContactAt", c.ContactAt, "Relays", len(c.Relays))
	}
}

// findRelays asks some live routers whether they reach endpoints, and returns those that do.
func (rt *Router) findRelays(ctx context.Context, needsAnswer bool) (relays []hitchfleet.Instance) {
	body, err := cbor.Marshal(needsAnswer)
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	var mu sync.Mutex
	var group sync.WaitGroup
	asked := 0
	for _, n := range rand.Perm(len(rt.View().LiveRouters)) {
		i := rt.View().LiveRouters[n]
		if i.ID == rt.Self.ID || i.Region != rt.Self.Region || asked == askedRouters {
			continue
		}
		asked++
		group.Go(func() {
			if _, err := rt.Peers.call(ctx, i.ID, 0, KindReach, body); err == nil {
				mu.Lock()
				defer mu.Unlock()
				relays = append(relays, i)
			}
		})
	}
	group.Wait()
	return relays
}

// errNoPath is the response of a router that reaches no endpoint itself.
var errNoPath = errors.New("this router reaches no endpoint")

// handleReach answers whether this router reaches endpoints. A question without a body, of an
// older version, needs no answer of an endpoint.
func (rt *Router) handleReach(_ context.Context, _ hitchfleet.Instance, body []byte) ([]byte, error) {
	needsAnswer := false
	if len(body) > 0 {
		if err := cbor.Unmarshal(body, &needsAnswer); err != nil {
			return nil, err
		}
	}
	if rt.isDraining.Load() || !rt.ownPath().ReachesEndpoints(time.Now(), needsAnswer) {
		return nil, errNoPath
	}
	return []byte{}, nil
}

// observePath records what an attempt says about this router's path to the endpoints.
func (rt *Router) observePath(err error) {
	var failure *hitchforward.Failure
	switch {
	case err == nil:
		rt.ownPath().RecordContact(time.Now(), time.Time{})
	case !errors.As(err, &failure):
	case failure.Kind == hitchforward.FailureUnsent || failure.Kind == hitchforward.FailureCut || failure.Kind == hitchforward.FailureSilent:
		rt.ownPath().RecordFailure(time.Now())
	}
}

// maxPathSilence is how long an attempt has no response until the path is doubted, if no endpoint
// has responded meanwhile: without that a silent path shows only after the inactivity timeout.
const maxPathSilence = time.Second

// doubtPathLater has the path checked once an attempt that begins now is silent, until the timer is
// stopped.
func (rt *Router) doubtPathLater() *time.Timer {
	begin := time.Now()
	return time.AfterFunc(maxPathSilence, func() {
		if !rt.ownPath().HasContactSince(begin) {
			rt.ownPath().RecordFailure(time.Now())
		}
	})
}

// relayThrough has another router send a request, if this one reaches no endpoint and the caller
// has got nothing yet. It returns false if this router sends the request itself. The other one makes
// the attempts that are left. deliver handles the response.
func (rt *Router) relayThrough(ctx context.Context, req *proxyRequest, left int, tracker *hitchoutcome.DispatchTracker, deliver func(relayResponse) error) (isRelayed bool, err error) {
	if req.relay == nil || req.isVersionFixed || !rt.ownPath().SendsElsewhere(time.Now()) {
		return false, nil
	}
	var tried []hitchfleet.InstanceID
	for {
		to, ok := rt.ownPath().Relay(tried)
		if !ok {
			return false, nil
		}
		tried = append(tried, to.ID)
		response, err := rt.relayTo(ctx, to.ID, req, left, tracker)
		var callErr *hitchpeer.CallError
		switch {
		case err == nil && response.Refusal != nil:
			return true, response.Refusal
		case err == nil:
			tracker.MarkAnswered()
			return true, deliver(response)
		case errors.As(err, &callErr) && callErr.NotHandled:
			tracker.MarkUnsent()
		default:
			return true, tracker.Refuse(hitchoutcome.ReasonEndpointLost, rt.now().Add(defaultRetryDelay), "%v", errRelay)
		}
	}
}

// relayTo has one router send a request.
func (rt *Router) relayTo(ctx context.Context, to hitchfleet.InstanceID, req *proxyRequest, left int, tracker *hitchoutcome.DispatchTracker) (response relayResponse, err error) {
	message := req.relay.withAttempts(left)
	if !req.deadline.IsZero() {
		message.RemainingMilliseconds = max(req.deadline.Sub(rt.now()).Milliseconds(), 1)
	}
	body, err := cbor.Marshal(message)
	if err != nil {
		return response, err
	}
	if err := tracker.BeginDispatch(); err != nil {
		return response, err
	}
	rt.log().Info("request relayed", "Route", req.route.ID, "Chat", req.key, "Relay", to)
	reply, err := rt.Peers.call(ctx, to, 0, KindRelay, body)
	if err != nil {
		return response, err
	}
	return response, cbor.Unmarshal(reply, &response)
}

// handleRelay sends a request of another router to an endpoint. It isn't relayed again.
func (rt *Router) handleRelay(ctx context.Context, _ hitchfleet.Instance, body []byte) ([]byte, error) {
	var message relayRequest
	if err := cbor.Unmarshal(body, &message); err != nil {
		return nil, err
	}
	route, ok := rt.View().Index.Route(message.Route)
	organisation, isKnown := rt.View().Index.Configuration().Organisation(message.Organisation)
	if !ok || !isKnown {
		return cbor.Marshal(relayResponse{Refusal: refusalOf(noRouteRefusal())})
	}
	attempts := message.takeAttempts()
	call := message.Call
	if message.RemainingMilliseconds > 0 {
		call.Deadline = rt.now().Add(time.Duration(message.RemainingMilliseconds) * time.Millisecond)
	}
	req := ServiceCall{Organisation: organisation, Route: route, Zone: message.Zone, Call: call}.proxyRequest()
	if message.IsChat {
		req = ChatRequest{
			Organisation: organisation, Route: route, ID: message.Chat, Zone: message.Zone, Batch: message.IsBatch,
			PromptBytes: message.PromptBytes, MaxTokens: message.MaxTokens, Call: call, Parts: message.Parts,
		}.proxyRequest()
	}
	req.relay, req.maxAttempts = nil, attempts
	var response relayResponse
	var err error
	if message.IsStream {
		response, err = rt.collectStream(ctx, req, call)
	} else {
		response.Response, err = rt.serveUnary(ctx, req, call, nil)
	}
	if err != nil {
		response = relayResponse{Refusal: refusalOf(err)}
	}
	return cbor.Marshal(response)
}

// collectStream serves a stream and returns it as a whole.
func (rt *Router) collectStream(ctx context.Context, req *proxyRequest, call hitchforward.Call) (response relayResponse, err error) {
	response.Stream = &relayedStream{}
	err = rt.serveStream(ctx, req, call, &hitchforward.Stream{
		Call:       call,
		OnHeader:   func(h http.Header) { response.Stream.Header = h.Clone() },
		OnResponse: func(r *hitchforward.Response) { response.Response = r },
		Deliver: func(e hitchforward.Event) error {
			e.Data = bytes.Clone(e.Data)
			response.Stream.Events = append(response.Stream.Events, e)
			return nil
		},
	}, nil)
	return response, err
}
