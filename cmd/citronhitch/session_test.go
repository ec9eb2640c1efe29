package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"regexp"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchclient"
	"citronhitch.example/citronhitch/hitchfake"
)

var update = flag.Bool("update", false, "renew the golden files")

func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	file := filepath.Join("testdata", name+".golden")
	if *update {
		qt.Assert(t, os.WriteFile(file, []byte(got), 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(file)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, string(want))
}

func chatBody(t *testing.T, minTokens int, messages ...hitchfake.Message) (hitchfake.ChatRequest, []byte) {
	request := hitchfake.ChatRequest{Model: "guide-llm", Stream: true, MinTokens: minTokens, Messages: messages}
	body, err := json.Marshal(request)
	qt.Assert(t, err, qt.IsNil)
	return request, body
}

// problem notes a refusal in the transcript.
func (f *fleet) problem(t *testing.T, what string, err error) {
	var p *hitchclient.Problem
	qt.Assert(t, errors.As(err, &p), qt.IsTrue, qt.Commentf("%v", err))
	f.note("%s: Status=%d Reason=%s Outcome=%s ComeBack=%t Detail=%q\n", what, p.Status, p.Reason, p.Outcome, !p.RetryAt.IsZero(), p.Detail)
}

// TestSessionOfChats streams a chat, returns to it, and shows who is refused and
// why.
func TestSessionOfChats(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	ctx := context.Background()
	client := f.client(0)
	first, body := chatBody(t, 0, hitchfake.Message{Role: "user", Content: "When are the rays fed on Friday?"})
	answer, err := client.Chat(ctx, "chat-1", body, nil)
	qt.Assert(t, err, qt.IsNil)
	f.note("First chat: Whole=%t Cached=%t Tries=%d\n", answer.Text == hitchfake.ResponseText(first), answer.CachedTokens > 0, answer.Tries)
	again, body := chatBody(t, 0, append(first.Messages,
		hitchfake.Message{Role: "assistant", Content: answer.Text}, hitchfake.Message{Role: "user", Content: "And the seals?"})...)
	answer, err = client.Chat(ctx, "chat-1", body, nil)
	qt.Assert(t, err, qt.IsNil)
	f.note("It returns: Whole=%t Cached=%t Tries=%d\n", answer.Text == hitchfake.ResponseText(again), answer.CachedTokens > 0, answer.Tries)

	stranger := f.client(0)
	stranger.Key = "nobody's key"
	_, err = stranger.Chat(ctx, "chat-1", body, nil)
	f.problem(t, "Unknown API key", err)
	_, err = client.Chat(ctx, "chat-1", []byte(`{"model":"guide-llm","messages":`), nil)
	f.problem(t, "Broken JSON", err)
	_, err = client.Chat(ctx, "chat-1", []byte(`{"model":"another-llm","messages":[{"role":"user","content":"x"}]}`), nil)
	f.problem(t, "Unknown route", err)
	_, err = client.Lookup(ctx, "/elsewhere/slots")
	f.problem(t, "Unknown service", err)
	_, err = client.BookWith(ctx, client.Entries[0], "", "/boxoffice/slots", []byte("{}"))
	f.problem(t, "Booking without a key", err)
	_, err = client.BookWith(ctx, client.Entries[0], "hk1.forged", "/boxoffice/slots", []byte("{}"))
	f.problem(t, "Booking with a forged key", err)
	f.golden(t, "chats")
}

// TestSessionOfBookings books once, repeats the key everywhere, and presents it
// wrongly.
func TestSessionOfBookings(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	ctx := context.Background()
	client := f.client(0)
	booked, err := client.Book(ctx, "boxoffice-api", "/boxoffice/slots", []byte(`{"Pupils":40}`))
	qt.Assert(t, err, qt.IsNil)
	f.note("Booked: Status=%d Runs=%d\n", booked.Status, len(f.runs(t)))
	for n, router := range client.Entries {
		again, err := client.BookWith(ctx, router, booked.Key, "/boxoffice/slots", []byte(`{"Pupils":40}`))
		qt.Assert(t, err, qt.IsNil)
		f.note("Repeated at router-%d: SameAnswer=%t Runs=%d\n", n, string(again.Body) == string(booked.Body), len(f.runs(t)))
	}
	_, err = client.BookWith(ctx, client.Entries[1], booked.Key, "/boxoffice/slots", []byte(`{"Pupils":41}`))
	f.problem(t, "The same key with another body", err)
	_, err = f.client(1).BookWith(ctx, client.Entries[2], booked.Key, "/boxoffice/slots", []byte(`{"Pupils":40}`))
	f.problem(t, "The key of another organisation", err)
	own, err := client.BookWith(ctx, client.Entries[0], "the-caller's-own-key", "/boxoffice/slots", []byte(`{"Pupils":7}`))
	qt.Assert(t, err, qt.IsNil)
	again, err := client.BookWith(ctx, client.Entries[1], "the-caller's-own-key", "/boxoffice/slots", []byte(`{"Pupils":7}`))
	qt.Assert(t, err, qt.IsNil)
	f.note("The caller's own key, twice: SameAnswer=%t Runs=%d\n", string(again.Body) == string(own.Body), len(f.runs(t)))
	f.operator(0, "doubts")
	f.golden(t, "bookings")
}

// TestSessionOfOperators takes a zone out and back, and lets two operators race.
func TestSessionOfOperators(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	planned := f.operator(0, "plan", "take-zone-out", "se-south-b")
	f.operator(1, "confirm", planOf(t, planned), "--wait")
	f.operator(2, "status")
	one := f.operator(0, "plan", "return-zone", "se-south-b")
	two := f.operator(1, "plan", "drain-endpoint", "guide-llm-0")
	f.operator(2, "confirm", planOf(t, two), "--wait")
	f.operator(0, "confirm", planOf(t, one))
	one = f.operator(0, "plan", "return-zone", "se-south-b")
	f.operator(0, "confirm", planOf(t, one), "--wait")
	f.operator(1, "confirm", planOf(t, one), "--wait")
	f.operator(1, "history", "--count=3")
	out, code := run("history", "--router="+f.routers[0].words["Address"], "--operator-key=wrong")
	f.note("$ citronhitch history    (with a wrong key)\n%s[exit %d]\n", out, code)
	f.golden(t, "operators")
}

func planOf(t *testing.T, out string) string {
	found := regexp.MustCompile(`citronhitch confirm (\S+)`).FindStringSubmatch(out)
	qt.Assert(t, found, qt.HasLen, 2, qt.Commentf("%s", out))
	return found[1]
}

// TestSessionOfAStop stops a router in the midst of a stream that it serves.
func TestSessionOfAStop(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	ctx := context.Background()
	client := f.client(0)
	address, err := client.Address(ctx, "long-chat")
	qt.Assert(t, err, qt.IsNil)
	router := 0
	for n, p := range f.routers {
		if p.words["Address"] == address.Addresses[0] {
			router = n
		}
	}
	request, body := chatBody(t, 300, hitchfake.Message{Role: "user", Content: "Tell me all about the kelp forest."})
	var once sync.Once
	stopped := make(chan int, 1)
	answer, err := client.Chat(ctx, "long-chat", body, func(string) {
		once.Do(func() { go func() { stopped <- f.stop(t, router) }() })
	})
	qt.Assert(t, err, qt.IsNil)
	f.note("The stream of the router that stops: Whole=%t Tries=%d\n", answer.Text == hitchfake.ResponseText(request), answer.Tries)
	f.note("The router's exit code: %d\n", <-stopped)
	next, err := client.Chat(ctx, "long-chat", body, nil)
	qt.Assert(t, err, qt.IsNil)
	f.note("The next turn: Whole=%t AtAnotherRouter=%t\n", next.Text == hitchfake.ResponseText(request), next.Router != answer.Router)
	f.golden(t, "stop")
}

func TestBadSettings(t *testing.T) {
	good := []string{
		"serve", "--id=a", "--region=r", "--zone=z", "--store=http://127.0.0.1:1", "--list=http://127.0.0.1:1",
		"--peer-certificate=x", "--peer-key=x", "--peer-authority=x", "--booking-secret=" + bookingSecret, "--fleet-key=" + fleetKey,
	}
	f := &fleet{}
	for _, args := range [][]string{
		append(good[:1:1], good[2:]...),
		{"bogus"},
		append(good[:len(good):len(good)], "--bogus"),
		append(good[:len(good):len(good)], "--address=localhost:80"),
		append(good[:len(good):len(good)], "--grace-ms=0"),
		append(good[:len(good):len(good)], "--store=ftp://x"),
		append(good[:len(good):len(good)], "--booking-secret=short"),
		append(good[:len(good):len(good)], "--fleet-key=nosecret"),
		good,
		{"fake", "oven"},
		{"plan", "--router=127.0.0.1:1", "--operator-key=k", "take-zone-out"},
		{"plan", "--router=127.0.0.1:1", "--operator-key=k", "undo", "last"},
	} {
		out, code := run(args...)
		f.note("$ citronhitch %s\n%s[exit %d]\n", args, out, code)
	}
	f.golden(t, "settings")
}
