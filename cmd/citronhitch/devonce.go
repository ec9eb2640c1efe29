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

// errStep says that a step of the session had another outcome than it should.
var errStep = errors.New("the session failed")

// devSession is one whole session against a deployment.
type devSession struct {
	program *program
	fleet   *hitchdev.Fleet
	client  *hitchclient.Client
	history []hitchfake.Message
	booking hitchclient.Booking
}

// devOnce does one whole session and stops the deployment.
func (p *program) devOnce(ctx context.Context, fleet *hitchdev.Fleet) (err error) {
	ctx, cancel := context.WithTimeout(ctx, stopLimit)
	defer cancel()
	if err := fleet.Start(ctx); err != nil {
		return err
	}
	s := &devSession{program: p, fleet: fleet, client: fleet.Client(0)}
	for _, step := range s.steps() {
		if err := s.do(ctx, step); err != nil {
			return errors.Join(err, fleet.Stop(ctx))
		}
	}
	return s.do(ctx, devStep{"Stop", s.stop})
}

// devStep is one step: its name, and what it does. The text tells the outcome.
type devStep struct {
	name string
	run  func(ctx context.Context) (text string, err error)
}

func (s *devSession) steps() []devStep {
	return []devStep{
		{"Address", s.address},
		{"Chat", s.chat},
		{"Return", s.returning},
		{"Lookup", s.lookup},
		{"Book", s.book},
		{"Repeat", s.repeat},
		{"ZoneOut", s.zoneOut},
		{"NoNewWork", s.noNewWork},
		{"ZoneReturn", s.zoneReturn},
		{"StopRouter", s.stopRouter},
	}
}

// do runs a step and prints its line.
func (s *devSession) do(ctx context.Context, step devStep) error {
	text, err := step.run(ctx)
	if err != nil {
		s.program.printf("Step=%s Ok=false Error=%q\n", step.name, err)
		return fmt.Errorf("%w: step %s: %w", errStep, step.name, err)
	}
	s.program.printf("Step=%s Ok=true %s\n", step.name, text)
	return nil
}

const sessionChat = "session-chat"

func (s *devSession) address(ctx context.Context) (string, error) {
	a, err := s.client.Address(ctx, sessionChat)
	if err != nil {
		return "", err
	}
	if len(a.Addresses) < 2 {
		return "", fmt.Errorf("%d addresses, want a home and alternatives", len(a.Addresses))
	}
	return fmt.Sprintf("Addresses=%d", len(a.Addresses)), nil
}

// turn sends one more message of the session's chat and checks the whole answer.
func (s *devSession) turn(ctx context.Context, text string, onToken func(string)) (hitchclient.ChatAnswer, error) {
	s.history = append(s.history, hitchfake.Message{Role: "user", Content: text})
	request := hitchfake.ChatRequest{Model: string(s.fleet.Deployment.EngineRoute), Messages: s.history, Stream: true}
	body, err := json.Marshal(request)
	if err != nil {
		return hitchclient.ChatAnswer{}, err
	}
	answer, err := s.client.Chat(ctx, sessionChat, body, onToken)
	if err != nil {
		return answer, err
	}
	if answer.Text != hitchfake.ResponseText(request) {
		return answer, errors.New("the answer isn't the whole answer to this request")
	}
	s.history = append(s.history, hitchfake.Message{Role: "assistant", Content: answer.Text})
	return answer, nil
}

func (s *devSession) chat(ctx context.Context) (string, error) {
	answer, err := s.turn(ctx, "Draft an itinerary for 40 pupils on Friday, with the ray tank at eleven.", nil)
	return fmt.Sprintf("Whole=true Tokens=%d", answer.Tokens), err
}

func (s *devSession) returning(ctx context.Context) (string, error) {
	answer, err := s.turn(ctx, "And lunch at half past twelve?", nil)
	if err == nil && answer.CachedTokens == 0 {
		err = errors.New("the returning chat found nothing in the cache")
	}
	return fmt.Sprintf("Whole=true Cached=%t", answer.CachedTokens > 0), err
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
		return "", fmt.Errorf("the lookup answered %q for %q", lookup.Value, lookup.Path)
	}
	return "Whole=true", nil
}

func (s *devSession) book(ctx context.Context) (_ string, err error) {
	d := s.fleet.Deployment
	s.booking, err = s.client.Book(ctx, string(d.ServiceRoute), d.ServicePrefix+"/slots", []byte(`{"Pupils":40}`))
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("Status=%d Runs=%d", s.booking.Status, s.runs()), nil
}

// repeat presents the same key at every router: each gives the first answer.
func (s *devSession) repeat(ctx context.Context) (string, error) {
	addresses := s.fleet.Addresses()
	for _, router := range addresses {
		again, err := s.client.BookWith(ctx, router, s.booking.Key, s.fleet.Deployment.ServicePrefix+"/slots", []byte(`{"Pupils":40}`))
		if err != nil {
			return "", err
		}
		if !bytes.Equal(again.Body, s.booking.Body) {
			return "", fmt.Errorf("router %s answered %q, want %q", router, again.Body, s.booking.Body)
		}
	}
	if n := s.runs(); n != 1 {
		return "", fmt.Errorf("the booking ran %d times", n)
	}
	return fmt.Sprintf("Routers=%d SameAnswer=true Runs=1", len(addresses)), nil
}

// runs counts how often the services ran the session's booking.
func (s *devSession) runs() int {
	n := 0
	for _, host := range s.fleet.Services() {
		for _, run := range host.Service.Runs() {
			if run.Key == s.fleet.KeyID(s.booking.Key) {
				n++
			}
		}
	}
	return n
}

// change plans and confirms an intent at one router, and waits until it is in
// force on all.
func (s *devSession) change(ctx context.Context, kind string, args ...string) (string, error) {
	c := &operatorClient{program: s.program, router: s.fleet.Addresses()[0], key: s.fleet.Deployment.OperatorKey(), asJSON: true}
	intent, err := intentOf(kind, args)
	if err != nil {
		return "", err
	}
	var plan hitchapi.PlanAnswer
	if _, err := c.ask(ctx, http.MethodPost, "/v1/operator/plan", intent, &plan); err != nil {
		return "", err
	}
	var accepted hitchapi.ConfirmAnswer
	if _, err := c.ask(ctx, http.MethodPost, "/v1/operator/confirm", planName{plan.Plan}, &accepted); err != nil {
		return "", err
	}
	if err := c.awaitForce(ctx, accepted.Revision); err != nil {
		return "", err
	}
	return fmt.Sprintf("Base=%d Revision=%d InForce=all", plan.Base, accepted.Revision), nil
}

func (s *devSession) zoneOut(ctx context.Context) (string, error) {
	return s.change(ctx, "take-zone-out", string(s.fleet.Deployment.Zone(1)))
}

func (s *devSession) zoneReturn(ctx context.Context) (string, error) {
	return s.change(ctx, "return-zone", string(s.fleet.Deployment.Zone(1)))
}

// newChats is how many chats show that a zone gets no new work.
const newChats = 20

// noNewWork starts chats while the zone is out and looks for them there.
func (s *devSession) noNewWork(ctx context.Context) (string, error) {
	zone := s.fleet.Deployment.Zone(1)
	before := s.submitted(zone)
	for n := range newChats {
		body, err := json.Marshal(s.request("How many seals live here?"))
		if err != nil {
			return "", err
		}
		if _, err := s.client.Chat(ctx, fmt.Sprintf("zone-chat-%d", n), body, nil); err != nil {
			return "", err
		}
	}
	if got := s.submitted(zone) - before; got != 0 {
		return "", fmt.Errorf("%d chats went to zone %s", got, zone)
	}
	return fmt.Sprintf("Chats=%d InZoneOut=0", newChats), nil
}

// submitted counts the chats that the engines of a zone were given.
func (s *devSession) submitted(zone hitchfleet.AvailabilityZone) (n uint64) {
	for _, host := range s.fleet.Engines() {
		if host.Endpoint.Zone == zone {
			n += host.Engine.Records().Submitted
		}
	}
	return n
}

func (s *devSession) request(text string) hitchfake.ChatRequest {
	return hitchfake.ChatRequest{
		Model: string(s.fleet.Deployment.EngineRoute), Stream: true,
		Messages: []hitchfake.Message{{Role: "user", Content: text}},
	}
}

// longAnswer is the tokens of an answer that is still streaming when its router
// is stopped.
const longAnswer = 400

// stopRouter stops the router that streams an answer, in the midst of it. The
// answer comes whole at the first try, and the next turn goes elsewhere.
func (s *devSession) stopRouter(ctx context.Context) (string, error) {
	request := s.request("Tell me all about the kelp forest.")
	request.MinTokens = longAnswer
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
		return "", errors.New("the answer names no router of the fleet")
	}
	stopped := make(chan error, 1)
	var once sync.Once
	answer, err := s.client.Chat(ctx, "long-chat", body, func(string) {
		once.Do(func() { go func() { stopped <- s.fleet.StopRouter(ctx, node) }() })
	})
	if err != nil {
		return "", err
	}
	if err := <-stopped; err != nil {
		return "", err
	}
	if answer.Text != hitchfake.ResponseText(request) || answer.Tries != 1 {
		return "", fmt.Errorf("the answer has %d tokens after %d tries and isn't whole", answer.Tokens, answer.Tries)
	}
	next, err := s.client.Chat(ctx, "long-chat", body, nil)
	if err == nil && next.Router == answer.Router {
		err = errors.New("the next turn went to the router that was stopped")
	}
	return "Whole=true Tries=1 NextElsewhere=true", err
}

func (s *devSession) stop(ctx context.Context) (string, error) {
	return "Graceful=true", s.fleet.Stop(ctx)
}
