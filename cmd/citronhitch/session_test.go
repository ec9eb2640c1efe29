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

var update = flag.Bool("update", false, "update the golden files")

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

// logProblem adds a refused request to the transcript.
func (f *fleet) logProblem(t *testing.T, description string, err error) {
	var problem *hitchclient.Problem
	qt.Assert(t, errors.As(err, &problem), qt.IsTrue, qt.Commentf("%v", err))
	f.logf("%s: Status=%d Reason=%s Outcome=%s CanRetry=%t Detail=%q\n", description, problem.Status, problem.Reason, problem.Outcome, !problem.RetryAt.IsZero(), problem.Detail)
}

// TestChatSession streams two turns of a chat, and then checks that invalid requests
// are refused with the expected reasons.
func TestChatSession(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	ctx := context.Background()
	client := f.client(0)
	first, body := chatBody(t, 0, hitchfake.Message{Role: "user", Content: "When are the rays fed on Friday?"})
	response, err := client.Chat(ctx, "chat-1", body, nil)
	qt.Assert(t, err, qt.IsNil)
	f.logf("First chat: Whole=%t Cached=%t Tries=%d\n", response.Text == hitchfake.ResponseText(first), response.CachedTokens > 0, response.Attempts)
	second, body := chatBody(t, 0, append(first.Messages,
		hitchfake.Message{Role: "assistant", Content: response.Text}, hitchfake.Message{Role: "user", Content: "And the seals?"})...)
	response, err = client.Chat(ctx, "chat-1", body, nil)
	qt.Assert(t, err, qt.IsNil)
	f.logf("Second turn: Whole=%t Cached=%t Tries=%d\n", response.Text == hitchfake.ResponseText(second), response.CachedTokens > 0, response.Attempts)

	stranger := f.client(0)
	stranger.Key = "nobody's key"
	_, err = stranger.Chat(ctx, "chat-1", body, nil)
	f.logProblem(t, "Unknown API key", err)
	_, err = client.Chat(ctx, "chat-1", []byte(`{"model":"guide-llm","messages":`), nil)
	f.logProblem(t, "Broken JSON", err)
	_, err = client.Chat(ctx, "chat-1", []byte(`{"model":"another-llm","messages":[{"role":"user","content":"x"}]}`), nil)
	f.logProblem(t, "Unknown route", err)
	_, err = client.Lookup(ctx, "/elsewhere/slots")
	f.logProblem(t, "Unknown service", err)
	_, err = client.BookWithKey(ctx, client.Routers[0], "", "/boxoffice/slots", []byte("{}"))
	f.logProblem(t, "Booking without a key", err)
	_, err = client.BookWithKey(ctx, client.Routers[0], "hk1.forged", "/boxoffice/slots", []byte("{}"))
	f.logProblem(t, "Booking with a forged key", err)
	f.compareTranscript(t, "chats")
}

// TestBookingSession makes a booking, sends it again with the same key to every router,
// and then misuses the key with another body and for another organisation.
func TestBookingSession(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	ctx := context.Background()
	client := f.client(0)
	booked, err := client.Book(ctx, "boxoffice-api", "/boxoffice/slots", []byte(`{"Pupils":40}`))
	qt.Assert(t, err, qt.IsNil)
	f.logf("Booked: Status=%d Runs=%d\n", booked.Status, len(f.serviceRuns(t)))
	for n, router := range client.Routers {
		repeated, err := client.BookWithKey(ctx, router, booked.Key, "/boxoffice/slots", []byte(`{"Pupils":40}`))
		qt.Assert(t, err, qt.IsNil)
		f.logf("Repeated at router-%d: SameAnswer=%t Runs=%d\n", n, string(repeated.Body) == string(booked.Body), len(f.serviceRuns(t)))
	}
	_, err = client.BookWithKey(ctx, client.Routers[1], booked.Key, "/boxoffice/slots", []byte(`{"Pupils":41}`))
	f.logProblem(t, "The same key with another body", err)
	_, err = f.client(1).BookWithKey(ctx, client.Routers[2], booked.Key, "/boxoffice/slots", []byte(`{"Pupils":40}`))
	f.logProblem(t, "The key of another organisation", err)
	own, err := client.BookWithKey(ctx, client.Routers[0], "the-caller's-own-key", "/boxoffice/slots", []byte(`{"Pupils":7}`))
	qt.Assert(t, err, qt.IsNil)
	repeated, err := client.BookWithKey(ctx, client.Routers[1], "the-caller's-own-key", "/boxoffice/slots", []byte(`{"Pupils":7}`))
	qt.Assert(t, err, qt.IsNil)
	f.logf("The caller's own key, twice: SameAnswer=%t Runs=%d\n", string(repeated.Body) == string(own.Body), len(f.serviceRuns(t)))
	f.runOperatorCommand(0, "doubts")
	f.compareTranscript(t, "bookings")
}

// TestOperatorSession takes a zone out of service and returns it. In between, it
// confirms two plans based on the same revision, of which the second must be refused.
func TestOperatorSession(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	planned := f.runOperatorCommand(0, "plan", "take-zone-out", "se-south-b")
	f.runOperatorCommand(1, "confirm", planToken(t, planned), "--wait")
	f.runOperatorCommand(2, "status")
	zonePlan := f.runOperatorCommand(0, "plan", "return-zone", "se-south-b")
	endpointPlan := f.runOperatorCommand(1, "plan", "drain-endpoint", "guide-llm-0")
	f.runOperatorCommand(2, "confirm", planToken(t, endpointPlan), "--wait")
	f.runOperatorCommand(0, "confirm", planToken(t, zonePlan))
	zonePlan = f.runOperatorCommand(0, "plan", "return-zone", "se-south-b")
	f.runOperatorCommand(0, "confirm", planToken(t, zonePlan), "--wait")
	f.runOperatorCommand(1, "confirm", planToken(t, zonePlan), "--wait")
	f.runOperatorCommand(1, "history", "--count=3")
	output, code := runProgram("history", "--router="+f.routers[0].values["Address"], "--operator-key=wrong")
	f.logf("$ citronhitch history    (with a wrong key)\n%s[exit %d]\n", output, code)
	f.compareTranscript(t, "operators")
}

func planToken(t *testing.T, output string) string {
	found := regexp.MustCompile(`citronhitch confirm (\S+)`).FindStringSubmatch(output)
	qt.Assert(t, found, qt.HasLen, 2, qt.Commentf("%s", output))
	return found[1]
}

// TestRouterShutdownSession stops a router while it streams a response. The stream must
// be complete, and another router must serve the next turn.
func TestRouterShutdownSession(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	ctx := context.Background()
	client := f.client(0)
	address, err := client.Address(ctx, "long-chat")
	qt.Assert(t, err, qt.IsNil)
	router := 0
	for n, routerProcess := range f.routers {
		if routerProcess.values["Address"] == address.Addresses[0] {
			router = n
		}
	}
	request, body := chatBody(t, 300, hitchfake.Message{Role: "user", Content: "Tell me all about the kelp forest."})
	var once sync.Once
	stopped := make(chan int, 1)
	response, err := client.Chat(ctx, "long-chat", body, func(string) {
		once.Do(func() { go func() { stopped <- f.stopRouter(t, router) }() })
	})
	qt.Assert(t, err, qt.IsNil)
	f.logf("The stream during the shutdown: Whole=%t Tries=%d\n", response.Text == hitchfake.ResponseText(request), response.Attempts)
	f.logf("The router's exit code: %d\n", <-stopped)
	next, err := client.Chat(ctx, "long-chat", body, nil)
	qt.Assert(t, err, qt.IsNil)
	f.logf("The next turn: Whole=%t AtAnotherRouter=%t\n", next.Text == hitchfake.ResponseText(request), next.Router != response.Router)
	f.compareTranscript(t, "stop")
}

func TestInvalidSettings(t *testing.T) {
	validArgs := []string{
		"serve", "--id=a", "--region=r", "--zone=z", "--store=http://127.0.0.1:1", "--list=http://127.0.0.1:1",
		"--peer-certificate=x", "--peer-key=x", "--peer-authority=x", "--booking-secret=" + bookingSecret, "--fleet-key=" + fleetKey,
	}
	f := &fleet{}
	for _, args := range [][]string{
		append(validArgs[:1:1], validArgs[2:]...),
		{"bogus"},
		append(validArgs[:len(validArgs):len(validArgs)], "--bogus"),
		append(validArgs[:len(validArgs):len(validArgs)], "--address=localhost:80"),
		append(validArgs[:len(validArgs):len(validArgs)], "--grace-ms=0"),
		append(validArgs[:len(validArgs):len(validArgs)], "--store=ftp://x"),
		append(validArgs[:len(validArgs):len(validArgs)], "--booking-secret=short"),
		append(validArgs[:len(validArgs):len(validArgs)], "--fleet-key=nosecret"),
		validArgs,
		{"fake", "oven"},
		{"plan", "--router=127.0.0.1:1", "--operator-key=k", "take-zone-out"},
		{"plan", "--router=127.0.0.1:1", "--operator-key=k", "undo", "last"},
	} {
		output, code := runProgram(args...)
		f.logf("$ citronhitch %s\n%s[exit %d]\n", args, output, code)
	}
	f.compareTranscript(t, "settings")
}
