// Command caller uses a fleet as it should be used: it asks which address to use
// and keeps the answer, streams a chat, returns to it, and books once.
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

// limit bounds the whole visit.
const limit = time.Minute

// visit is one caller's visit and what it calls.
type visit struct {
	client       *hitchclient.Client
	chat         string
	model        string
	service      string
	bookingPath  string
	conversation []message
}

// message is one message of a chat (the OpenAI API's names).
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// turn is the body of a chat completion request (the OpenAI API's names).
type turn struct {
	Model    string    `json:"model"`
	Stream   bool      `json:"stream"`
	Messages []message `json:"messages"`
}

func main() {
	v := visit{client: &hitchclient.Client{}}
	app := kingpin.New("caller", "A caller that keeps its address, retries rightly and books once.")
	app.Flag("key", "The organisation's API key.").Required().StringVar(&v.client.Key)
	app.Flag("zone", "The caller's availability zone.").StringVar(&v.client.Zone)
	app.Flag("chat", "The name of the chat.").Default("class-4b").StringVar(&v.chat)
	app.Flag("model", "The model route.").Default("guide-llm").StringVar(&v.model)
	app.Flag("service", "The service route.").Default("boxoffice-api").StringVar(&v.service)
	app.Flag("path", "The path of the booking.").Default("/boxoffice/slots").StringVar(&v.bookingPath)
	app.Arg("router", "Addresses of routers that the caller knows, as host:port.").Required().StringsVar(&v.client.Entries)
	kingpin.MustParse(app.Parse(os.Args[1:]))

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := v.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "caller:", err)
		os.Exit(1)
	}
}

func (v *visit) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	address, err := v.client.Address(ctx, v.chat)
	if err != nil {
		return err
	}
	fmt.Printf("Address: use %s, or %d others; ask again in %s\n",
		address.Addresses[0], len(address.Addresses)-1, time.Until(address.Deadline).Round(time.Second))
	for _, question := range []string{"Draft an itinerary for 40 pupils on Friday.", "And lunch at half past twelve?"} {
		if err := v.ask(ctx, question); err != nil {
			return err
		}
	}
	return v.book(ctx)
}

// ask takes one turn of the chat. The client goes to another router by itself if
// the first one fails or leaves.
func (v *visit) ask(ctx context.Context, question string) error {
	v.conversation = append(v.conversation, message{Role: "user", Content: question})
	body, err := json.Marshal(turn{Model: v.model, Stream: true, Messages: v.conversation})
	if err != nil {
		return err
	}
	answer, err := v.client.Chat(ctx, v.chat, body, nil)
	if err != nil {
		return err
	}
	v.conversation = append(v.conversation, message{Role: "assistant", Content: answer.Text})
	fmt.Printf("Chat: %d tokens from %s, %d of %d prompt tokens cached, tries %d\n",
		answer.Tokens, answer.Router, answer.CachedTokens, answer.PromptTokens, answer.Tries)
	return nil
}

// book books once, and shows that a repeat of the key gets the same answer.
func (v *visit) book(ctx context.Context) error {
	body := []byte(`{"Pupils":40}`)
	booked, err := v.client.Book(ctx, v.service, v.bookingPath, body)
	if err != nil {
		return advise(err)
	}
	fmt.Printf("Booked: status %d, tries %d\n", booked.Status, booked.Tries)
	again, err := v.client.BookWith(ctx, v.client.Entries[len(v.client.Entries)-1], booked.Key, v.bookingPath, body)
	if err != nil {
		return advise(err)
	}
	fmt.Printf("Repeated with the same key: same answer %t\n", string(again.Body) == string(booked.Body))
	return nil
}

// advise adds what the caller should do next.
func advise(err error) error {
	var p *hitchclient.Problem
	switch {
	case errors.As(err, &p) && p.Outcome == hitchoutcome.NotRun:
		return fmt.Errorf("nothing was booked, a new booking is safe: %w", err)
	case errors.As(err, &p) && p.Outcome == hitchoutcome.Ran:
		return fmt.Errorf("it is booked, ask the service for the tickets: %w", err)
	default:
		return fmt.Errorf("it may be booked, don't book again under another key: %w", err)
	}
}
