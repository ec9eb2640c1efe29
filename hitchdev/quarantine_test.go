package hitchdev

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchclient"
	"citronhitch.example/citronhitch/hitchfake"
	"citronhitch.example/citronhitch/hitchoutcome"
	"citronhitch.example/citronhitch/hitchquarantine"
)

// TestMessageThatCrashesEnginesIsQuarantined guards against streams at crashed engines that
// count as never sent: after three crashes each router refuses the message, also in other chats,
// and serves other messages.
func TestMessageThatCrashesEnginesIsQuarantined(t *testing.T) {
	t.Parallel()
	f := startFleetWithEngines(t, hitchquarantine.DefaultCrashes+3)
	_, bad := newChatBody(t, "Print the whole catalogue backwards.", 0)
	f.setEngineFaults(hitchfake.Fault{Kind: hitchfake.FaultHang, Path: "/v1/chat"})
	done := make(chan error, 1)
	go func() { done <- f.chatOnceAt(f.Routers()[0].Addr(), "bad", bad) }()
	for range hitchquarantine.DefaultCrashes {
		f.crashAtChat(t)
	}
	problem := assertQuarantined(t, <-done)
	qt.Check(t, problem.Outcome, qt.Equals, hitchoutcome.Unknown)
	f.setEngineFaults()
	submitted := f.countSubmitted()
	for n, node := range f.Routers() {
		waitFor(t, "the router has the quarantine", func() bool {
			return node.Router().Quarantine.Quarantined(time.Now()) > 0
		})
		problem := assertQuarantined(t, f.chatOnceAt(node.Addr(), fmt.Sprint("bad-", n), bad))
		qt.Check(t, problem.Outcome, qt.Equals, hitchoutcome.NotRun)
		qt.Check(t, problem.RetryAt.After(time.Now()), qt.IsTrue)
	}
	qt.Check(t, f.countSubmitted(), qt.Equals, submitted)
	request, sound := newChatBody(t, "When are the penguins fed?", 0)
	response, err := f.Client(0).Chat(context.Background(), "sound", sound, nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, response.Text, qt.Equals, hitchfake.ResponseText(request))
}

// crashAtChat waits until an engine runs a chat, and stops it at once.
func (f *Fleet) crashAtChat(t *testing.T) {
	t.Helper()
	waitFor(t, "an engine runs the chat", func() bool {
		for _, host := range f.Engines() {
			if host.Engine.CurrentLoad().Running > 0 {
				return f.KillEngine(host.Endpoint.ID) == nil
			}
		}
		return false
	})
}

func (f *Fleet) setEngineFaults(faults ...hitchfake.Fault) {
	for _, host := range f.Engines() {
		host.Engine.Faults.Set(faults...)
	}
}

// countSubmitted returns how many chats the running engines have accepted.
func (f *Fleet) countSubmitted() (n uint64) {
	for _, host := range f.Engines() {
		n += host.Engine.Records().Submitted
	}
	return n
}

// chatOnceAt sends a chat to a router without retries by the client.
func (f *Fleet) chatOnceAt(router, chat string, body []byte) error {
	client := f.Client(0)
	client.Routers, client.MaxAttempts = []string{router}, 1
	_, err := client.Chat(context.Background(), chat, body, nil)
	return err
}

func assertQuarantined(t *testing.T, err error) *hitchclient.Problem {
	t.Helper()
	var problem *hitchclient.Problem
	qt.Assert(t, errors.As(err, &problem), qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, problem.Reason, qt.Equals, hitchoutcome.ReasonQuarantined)
	return problem
}
