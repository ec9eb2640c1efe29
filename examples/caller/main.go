// Command caller shows how to use a fleet with hitchclient: it requests the router
// addresses for a chat, streams two turns of the chat, and makes one booking.
//
//	go run ./examples/caller --key=KEY 127.0.0.1:8080
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"citronhitch.example/citronhitch/hitchclient"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// sessionTimeout limits the time of the whole session.
const sessionTimeout = time.Minute

// session holds a caller's client, the routes it uses and the messages of its chat.
type session struct {
	client      *hitchclient.Client
	chatID      string
	model       string
	service     string
	bookingPath string
	messages    []message
}

// message is one message of a chat, with the names of the OpenAI API.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatRequest is the body of a chat completion request, with the names of the OpenAI
// API.
type chatRequest struct {
	Model    string    `json:"model"`
	Stream   bool      `json:"stream"`
	Messages []message `json:"messages"`
}

func main() {
	s := session{client: &hitchclient.Client{}}
	app := kingpin.New("caller", "An example of a caller: it streams two turns of a chat and makes one booking.")
	app.Flag("key", "The organisation's API key.").Required().StringVar(&s.client.Key)
	app.Flag("zone", "The caller's availability zone.").StringVar(&s.client.Zone)
	app.Flag("chat", "The ID of the chat.").Default("class-4b").StringVar(&s.chatID)
	app.Flag("model", "The model route.").Default("guide-llm").StringVar(&s.model)
	app.Flag("service", "The service route.").Default("boxoffice-api").StringVar(&s.service)
	app.Flag("path", "The path of the booking.").Default("/boxoffice/slots").StringVar(&s.bookingPath)
	app.Arg("router", "Addresses of routers that the caller knows, as host:port.").Required().StringsVar(&s.client.Routers)
	kingpin.MustParse(app.Parse(os.Args[1:]))

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := s.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "caller:", err)
		os.Exit(1)
	}
}

func (s *session) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, sessionTimeout)
	defer cancel()
	address, err := s.client.Address(ctx, s.chatID)
	if err != nil {
		return err
	}
	fmt.Printf("Address: use %s, or %d others; ask again in %s\n",
		address.Addresses[0], len(address.Addresses)-1, time.Until(address.Deadline).Round(time.Second))
	for _, question := range []string{"Draft an itinerary for 40 pupils on Friday.", "And lunch at half past twelve?"} {
		if err := s.sendTurn(ctx, question); err != nil {
			return err
		}
	}
	return s.makeBooking(ctx)
}

// sendTurn sends one turn of the chat. The client changes to another router on its own
// if the first one fails or shuts down.
func (s *session) sendTurn(ctx context.Context, question string) error {
	s.messages = append(s.messages, message{Role: "user", Content: question})
	body, err := json.Marshal(chatRequest{Model: s.model, Stream: true, Messages: s.messages})
	if err != nil {
		return err
	}
	response, err := s.client.Chat(ctx, s.chatID, body, nil)
	if err != nil {
		return err
	}
	s.messages = append(s.messages, message{Role: "assistant", Content: response.Text})
	fmt.Printf("Chat: %d tokens from %s, %d of %d prompt tokens cached, tries %d\n",
		response.Tokens, response.Router, response.CachedTokens, response.PromptTokens, response.Attempts)
	return nil
}

// makeBooking makes a booking, sends it again with the same key to another router, and
// prints whether both responses are the same.
func (s *session) makeBooking(ctx context.Context) error {
	body := []byte(`{"Pupils":40}`)
	booking, err := s.client.Book(ctx, s.service, s.bookingPath, body)
	if err != nil {
		return explainOutcome(err)
	}
	fmt.Printf("Booked: status %d, tries %d\n", booking.Status, booking.Attempts)
	repeated, err := s.client.BookWithKey(ctx, s.client.Routers[len(s.client.Routers)-1], booking.Key, s.bookingPath, body)
	if err != nil {
		return explainOutcome(err)
	}
	fmt.Printf("Repeated with the same key: same answer %t\n", string(repeated.Body) == string(booking.Body))
	return nil
}

// explainOutcome adds what the caller should do next, which depends on whether the
// booking was executed.
func explainOutcome(err error) error {
	var problem *hitchclient.Problem
	switch {
	case errors.As(err, &problem) && problem.Outcome == hitchoutcome.NotRun:
		return fmt.Errorf("nothing was booked, a new booking is safe: %w", err)
	case errors.As(err, &problem) && problem.Outcome == hitchoutcome.Ran:
		return fmt.Errorf("it is booked, ask the service for the tickets: %w", err)
	default:
		return fmt.Errorf("it may be booked, don't book again under another key: %w", err)
	}
}
