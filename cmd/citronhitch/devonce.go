package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"

	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchapi"
	"citronhitch.example/citronhitch/hitchclient"
	"citronhitch.example/citronhitch/hitchdev"
	"citronhitch.example/citronhitch/hitchfake"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchnode"
)

// errSessionFailed reports that a step of the session failed.
var errSessionFailed = errors.New("the session failed")

// devSession is one session of requests and operator commands against a deployment.
type devSession struct {
	program  *program
	fleet    *hitchdev.Fleet
	client   *hitchclient.Client
	messages []hitchfake.Message
	booking  hitchclient.Booking
}

// runDevSession starts a deployment, runs one complete session and stops the
// deployment.
func (p *program) runDevSession(ctx context.Context, fleet *hitchdev.Fleet) (err error) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := fleet.Start(ctx); err != nil {
		return err
	}
	s := &devSession{program: p, fleet: fleet, client: fleet.Client(0)}
	for _, step := range s.steps() {
		if err := s.runStep(ctx, step); err != nil {
			return errors.Join(err, fleet.Stop(ctx))
		}
	}
	return s.runStep(ctx, devStep{"Stop", s.stop})
}

// devStep is one step of a session. The text returned by run describes its result.
type devStep struct {
	name string
	run  func(ctx context.Context) (text string, err error)
}

func (s *devSession) steps() []devStep {
	return []devStep{
		{"Address", s.requestAddress},
		{"Chat", s.startChat},
		{"Return", s.returnToChat},
		{"Lookup", s.lookup},
		{"Book", s.book},
		{"Repeat", s.repeatBooking},
		{"ZoneOut", s.takeZoneOut},
		{"NoNewWork", s.checkNoNewRequests},
		{"ZoneReturn", s.returnZone},
		{"StopRouter", s.stopRouter},
	}
}

// runStep runs a step and prints its line.
func (s *devSession) runStep(ctx context.Context, step devStep) error {
	text, err := step.run(ctx)
	if err != nil {
		s.program.printf("Step=%s Ok=false Error=%q\n", step.name, err)
		return fmt.Errorf("%w: step %s: %w", errSessionFailed, step.name, err)
	}
	s.program.printf("Step=%s Ok=true %s\n", step.name, text)
	return nil
}

const sessionChatID = "session-chat"

func (s *devSession) requestAddress(ctx context.Context) (string, error) {
	address, err := s.client.Address(ctx, sessionChatID)
	if err != nil {
		return "", err
	}
	if len(address.Addresses) < 2 {
		return "", fmt.Errorf("%d addresses, want a home router and alternatives", len(address.Addresses))
	}
	return fmt.Sprintf("Addresses=%d", len(address.Addresses)), nil
}

// sendTurn sends the next message of the session's chat and checks that the response
// is complete.
func (s *devSession) sendTurn(ctx context.Context, text string, onToken func(string)) (hitchclient.ChatResponse, error) {
	s.messages = append(s.messages, hitchfake.Message{Role: "user", Content: text})
	request := hitchfake.ChatRequest{Model: string(s.fleet.Deployment.EngineRoute), Messages: s.messages, Stream: true}
	body, err := json.Marshal(request)
	if err != nil {
		return hitchclient.ChatResponse{}, err
	}
	response, err := s.client.Chat(ctx, sessionChatID, body, onToken)
	if err != nil {
		return response, err
	}
	if response.Text != hitchfake.ResponseText(request) {
		return response, errors.New("the response isn't the complete response to this request")
	}
	s.messages = append(s.messages, hitchfake.Message{Role: "assistant", Content: response.Text})
	return response, nil
}

func (s *devSession) startChat(ctx context.Context) (string, error) {
	response, err := s.sendTurn(ctx, "Draft an itinerary for 40 pupils on Friday, with the ray tank at eleven.", nil)
	return fmt.Sprintf("Whole=true Tokens=%d", response.Tokens), err
}

func (s *devSession) returnToChat(ctx context.Context) (string, error) {
	response, err := s.sendTurn(ctx, "And lunch at half past twelve?", nil)
	if err == nil && response.CachedTokens == 0 {
		err = errors.New("no prompt tokens of the chat's second turn were cached")
	}
	return fmt.Sprintf("Whole=true Cached=%t", response.CachedTokens > 0), err
}

func (s *devSession) lookup(ctx context.Context) (string, error) {
	path := s.fleet.Deployment.ServicePrefix + "/slots/friday"
	body, err := s.client.Lookup(ctx, path)
	if err != nil {
		return "", err
	}
	var lookup hitchfake.Lookup
	if err := json.Unmarshal(body, &lookup); err != nil {
		return "", err
	}
	if lookup.Value != hitchfake.LookupValue(path) {
		return "", fmt.Errorf("the lookup returned %q for %q", lookup.Value, lookup.Path)
	}
	return "Whole=true", nil
}

func (s *devSession) book(ctx context.Context) (_ string, err error) {
	d := s.fleet.Deployment
	s.booking, err = s.client.Book(ctx, string(d.ServiceRoute), d.ServicePrefix+"/slots", []byte(`{"Pupils":40}`))
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("Status=%d Runs=%d", s.booking.Status, s.countBookingRuns()), nil
}

// repeatBooking sends the booking again with the same key to every router, and
// checks that each returns the first response and that the booking ran once.
func (s *devSession) repeatBooking(ctx context.Context) (string, error) {
	addresses := s.fleet.Addresses()
	for _, router := range addresses {
		repeated, err := s.client.BookWithKey(ctx, router, s.booking.Key, s.fleet.Deployment.ServicePrefix+"/slots", []byte(`{"Pupils":40}`))
		if err != nil {
			return "", err
		}
		if !bytes.Equal(repeated.Body, s.booking.Body) {
			return "", fmt.Errorf("router %s returned %q, want %q", router, repeated.Body, s.booking.Body)
		}
	}
	if n := s.countBookingRuns(); n != 1 {
		return "", fmt.Errorf("the booking ran %d times", n)
	}
	return fmt.Sprintf("Routers=%d SameAnswer=true Runs=1", len(addresses)), nil
}

// countBookingRuns returns how many times the services ran the session's booking.
func (s *devSession) countBookingRuns() int {
	count := 0
	for _, host := range s.fleet.Services() {
		for _, run := range host.Service.Runs() {
			if run.Key == s.fleet.KeyID(s.booking.Key) {
				count++
			}
		}
	}
	return count
}

// applyChange plans and confirms a configuration change at one router, and waits
// until all routers use it.
func (s *devSession) applyChange(ctx context.Context, kind string, args ...string) (string, error) {
	operator := &operatorClient{program: s.program, router: s.fleet.Addresses()[0], key: s.fleet.Deployment.OperatorKey(), asJSON: true}
	intent, err := parseIntent(kind, args)
	if err != nil {
		return "", err
	}
	var plan hitchapi.PlanAnswer
	if _, err := operator.call(ctx, http.MethodPost, "/v1/operator/plan", intent, &plan); err != nil {
		return "", err
	}
	var accepted hitchapi.ConfirmAnswer
	if _, err := operator.call(ctx, http.MethodPost, "/v1/operator/confirm", confirmRequest{plan.Plan}, &accepted); err != nil {
		return "", err
	}
	if err := operator.awaitRollout(ctx, accepted.Revision); err != nil {
		return "", err
	}
	return fmt.Sprintf("Base=%d Revision=%d InForce=all", plan.Base, accepted.Revision), nil
}

func (s *devSession) takeZoneOut(ctx context.Context) (string, error) {
	return s.applyChange(ctx, "take-zone-out", string(s.fleet.Deployment.Zone(1)))
}

func (s *devSession) returnZone(ctx context.Context) (string, error) {
	return s.applyChange(ctx, "return-zone", string(s.fleet.Deployment.Zone(1)))
}

// newChatCount is the number of chats that are started to check that a zone out of
// service gets no new requests.
const newChatCount = 20

// checkNoNewRequests starts chats while the zone is out of service, and checks that
// none is sent to the zone's engines.
func (s *devSession) checkNoNewRequests(ctx context.Context) (string, error) {
	zone := s.fleet.Deployment.Zone(1)
	before := s.countSubmittedChats(zone)
	for n := range newChatCount {
		body, err := json.Marshal(s.newChatRequest("How many seals live here?"))
		if err != nil {
			return "", err
		}
		if _, err := s.client.Chat(ctx, fmt.Sprintf("zone-chat-%d", n), body, nil); err != nil {
			return "", err
		}
	}
	if got := s.countSubmittedChats(zone) - before; got != 0 {
		return "", fmt.Errorf("%d chats went to zone %s", got, zone)
	}
	return fmt.Sprintf("Chats=%d InZoneOut=0", newChatCount), nil
}

// countSubmittedChats returns the number of chats sent to the engines of a zone.
func (s *devSession) countSubmittedChats(zone hitchfleet.AvailabilityZone) (count uint64) {
	for _, host := range s.fleet.Engines() {
		if host.Endpoint.Zone == zone {
			count += host.Engine.Records().Submitted
		}
	}
	return count
}

func (s *devSession) newChatRequest(text string) hitchfake.ChatRequest {
	return hitchfake.ChatRequest{
		Model: string(s.fleet.Deployment.EngineRoute), Stream: true,
		Messages: []hitchfake.Message{{Role: "user", Content: text}},
	}
}

// longResponseTokens is the number of tokens of a response that is still being
// streamed when its router is stopped.
const longResponseTokens = 400

// stopRouter stops a router while it streams a response. It checks that the response
// is complete after one attempt, and that another router serves the next turn.
func (s *devSession) stopRouter(ctx context.Context) (string, error) {
	request := s.newChatRequest("Tell me all about the kelp forest.")
	request.MinTokens = longResponseTokens
	body, err := json.Marshal(request)
	if err != nil {
		return "", err
	}
	address, err := s.client.Address(ctx, "long-chat")
	if err != nil {
		return "", err
	}
	node, ok := lo.Find(s.fleet.Routers(), func(n *hitchnode.Node) bool { return n.Addr() == address.Addresses[0] })
	if !ok {
		return "", errors.New("the preferred address belongs to no router of the fleet")
	}
	stopped := make(chan error, 1)
	var once sync.Once
	response, err := s.client.Chat(ctx, "long-chat", body, func(string) {
		once.Do(func() { go func() { stopped <- s.fleet.StopRouter(ctx, node) }() })
	})
	if err != nil {
		return "", err
	}
	if err := <-stopped; err != nil {
		return "", err
	}
	if response.Text != hitchfake.ResponseText(request) || response.Attempts != 1 {
		return "", fmt.Errorf("want a complete response after one attempt, got %d tokens after %d attempts", response.Tokens, response.Attempts)
	}
	next, err := s.client.Chat(ctx, "long-chat", body, nil)
	if err == nil && next.Router == response.Router {
		err = errors.New("the next turn was served by the stopped router")
	}
	return "Whole=true Tries=1 NextElsewhere=true", err
}

func (s *devSession) stop(ctx context.Context) (string, error) {
	return "Graceful=true", s.fleet.Stop(ctx)
}
