package hitchdev

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchclient"
	"citronhitch.example/citronhitch/hitchfake"
	"citronhitch.example/citronhitch/hitchnode"
	"citronhitch.example/citronhitch/hitchoutcome"
)

const (
	conditionTimeout      = 20 * time.Second
	conditionPollInterval = 20 * time.Millisecond
)

func startFleet(t *testing.T) *Fleet { return startFleetWithEngines(t, 3) }

func startFleetWithEngines(t *testing.T, engines int) *Fleet {
	d := Kustakvariet()
	d.Routers, d.Engines, d.Services, d.Organisations = 4, engines, 2, 2
	f := &Fleet{Deployment: d}
	qt.Assert(t, f.Start(context.Background()), qt.IsNil)
	t.Cleanup(func() {
		f.Store().Faults.Set()
		for _, node := range f.Routers() {
			f.KillRouter(node)
		}
		f.platform.stop()
	})
	return f
}

// waitFor polls until a condition is true, and fails the test after
// conditionTimeout.
func waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	ticker := time.NewTicker(conditionPollInterval)
	defer ticker.Stop()
	deadline := time.Now().Add(conditionTimeout)
	for !condition() {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%s", description))
		<-ticker.C
	}
}

func newChatBody(t *testing.T, text string, minTokens int) (hitchfake.ChatRequest, []byte) {
	request := hitchfake.ChatRequest{
		Model: "guide-llm", Stream: true, MinTokens: minTokens,
		Messages: []hitchfake.Message{{Role: "user", Content: text}},
	}
	data, err := json.Marshal(request)
	qt.Assert(t, err, qt.IsNil)
	return request, data
}

func (f *Fleet) routerAt(addr string) *hitchnode.Node {
	for _, node := range f.Routers() {
		if node.Addr() == addr {
			return node
		}
	}
	return nil
}

func (f *Fleet) countRuns(key string) (n int) {
	for _, host := range f.Services() {
		for _, run := range host.Service.Runs() {
			if run.Key == f.KeyID(key) {
				n++
			}
		}
	}
	return n
}

func TestRouterStartsDuringStoreOutage(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	want, _ := f.Routers()[0].Revision()
	f.Store().Faults.Set(hitchfake.Fault{Kind: hitchfake.FaultUnavailable})
	node, err := f.AddRouter(context.Background())
	qt.Assert(t, err, qt.IsNil)
	waitFor(t, "the new router serves with the configuration of its peers", func() bool {
		revision, isServing := node.Revision()
		return isServing && revision == want
	})
	request, data := newChatBody(t, "When are the rays fed?", 0)
	client := f.Client(0)
	client.Routers = []string{node.Addr()}
	response, err := client.Chat(context.Background(), "chat", data, nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.Text, qt.Equals, hitchfake.ResponseText(request))
}

func TestStoreOutageServesChatsAndRefusesBookingsAsNotRun(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	f.Store().Faults.Set(hitchfake.Fault{Kind: hitchfake.FaultUnavailable})
	request, data := newChatBody(t, "When are the seals fed?", 0)
	client := f.Client(0)
	response, err := client.Chat(context.Background(), "chat", data, nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.Text, qt.Equals, hitchfake.ResponseText(request))
	key, err := client.MintKey(context.Background(), "boxoffice-api")
	qt.Assert(t, err, qt.IsNil)
	_, err = client.BookWithKey(context.Background(), client.Routers[0], key.BookingKey, "/boxoffice/slots", []byte("{}"))
	var problem *hitchclient.Problem
	qt.Assert(t, errors.As(err, &problem), qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, problem.Outcome, qt.Equals, hitchoutcome.NotRun)
	qt.Assert(t, problem.RetryAt.IsZero(), qt.IsFalse)
	qt.Assert(t, f.countRuns(key.BookingKey), qt.Equals, 0)
	f.Store().Faults.Set()
	waitFor(t, "the same key runs once the store is available again", func() bool {
		_, err := client.BookWithKey(context.Background(), client.Routers[0], key.BookingKey, "/boxoffice/slots", []byte("{}"))
		return err == nil
	})
	qt.Assert(t, f.countRuns(key.BookingKey), qt.Equals, 1)
}

func TestCallerRecoversFromKilledRouter(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	client := f.Client(0)
	request, data := newChatBody(t, "Tell me all about the kelp forest.", 200)
	address, err := client.Address(context.Background(), "chat")
	qt.Assert(t, err, qt.IsNil)
	node := f.routerAt(address.Addresses[0])
	killed := false
	response, err := client.Chat(context.Background(), "chat", data, func(string) {
		if !killed {
			killed = true
			f.KillRouter(node)
		}
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.Text, qt.Equals, hitchfake.ResponseText(request))
	qt.Assert(t, response.Attempts > 1, qt.IsTrue)
	qt.Assert(t, response.Router, qt.Not(qt.Equals), node.Addr())
}

// mintRemoteKey mints keys until one has its home at a router other than the
// first, and returns the key and that router.
func (f *Fleet) mintRemoteKey(t *testing.T, client *hitchclient.Client) (string, *hitchnode.Node) {
	for {
		minted, err := client.MintKey(context.Background(), "boxoffice-api")
		qt.Assert(t, err, qt.IsNil)
		parsed, err := f.secrets.Parse(minted.BookingKey)
		qt.Assert(t, err, qt.IsNil)
		for _, node := range f.Routers()[1:] {
			if node.Instance().ID == parsed.Home.Instance {
				return minted.BookingKey, node
			}
		}
	}
}

// bookUntilAccepted sends a booking to a router until it succeeds. A new fleet
// refuses the first few requests, with the outcome not run.
func bookUntilAccepted(t *testing.T, client *hitchclient.Client, router, key string) (booking hitchclient.Booking) {
	waitFor(t, "the booking succeeds", func() bool {
		var err error
		booking, err = client.BookWithKey(context.Background(), router, key, "/boxoffice/slots", []byte("{}"))
		return err == nil
	})
	return booking
}

// A booking is never run again after its home router was killed: the home's journal
// records that it ran, and shows for an unused key that it didn't.
func TestBookingIsNotRunAgainAfterHomeIsKilled(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	ctx := context.Background()
	client := f.Client(0)
	survivor := f.Routers()[0].Addr()
	used, home := f.mintRemoteKey(t, client)
	unused := ""
	for unused == "" {
		key, node := f.mintRemoteKey(t, client)
		if node == home {
			unused = key
		}
	}
	bookUntilAccepted(t, client, survivor, used)
	f.KillRouter(home)
	var problem *hitchclient.Problem
	waitFor(t, "the unused key is refused with the outcome not run", func() bool {
		_, err := client.BookWithKey(ctx, survivor, unused, "/boxoffice/slots", []byte("{}"))
		return errors.As(err, &problem) && problem.Outcome == hitchoutcome.NotRun
	})
	_, err := client.BookWithKey(ctx, survivor, used, "/boxoffice/slots", []byte("{}"))
	if err != nil {
		qt.Assert(t, errors.As(err, &problem), qt.IsTrue)
		qt.Assert(t, problem.Outcome, qt.Not(qt.Equals), hitchoutcome.NotRun)
	}
	qt.Assert(t, f.countRuns(used), qt.Equals, 1)
	qt.Assert(t, f.countRuns(unused), qt.Equals, 0)
}

// A planned stop hands over the bookings to other routers: the same key gets the
// same response afterwards.
func TestPlannedStopHandsOverBookings(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	ctx := context.Background()
	client := f.Client(0)
	survivor := f.Routers()[0].Addr()
	used, home := f.mintRemoteKey(t, client)
	first := bookUntilAccepted(t, client, survivor, used)
	qt.Assert(t, f.StopRouter(ctx, home), qt.IsNil)
	again := bookUntilAccepted(t, client, survivor, used)
	qt.Assert(t, string(again.Body), qt.Equals, string(first.Body))
	qt.Assert(t, f.countRuns(used), qt.Equals, 1)
}

// A leaving endpoint gets no new requests, and its stream in flight completes.
func TestLeavingEndpointGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	ctx := context.Background()
	client := f.Client(0)
	request, data := newChatBody(t, "Tell me all about the kelp forest.", 400)
	var leaving *EngineHost
	var once sync.Once
	response, err := client.Chat(ctx, "long", data, func(string) {
		once.Do(func() {
			for _, host := range f.Engines() {
				if host.Engine.CurrentLoad().Running > 0 {
					leaving = host
				}
			}
			qt.Check(t, f.MarkEngineLeaving(leaving.Endpoint.ID), qt.IsNil)
		})
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.Text, qt.Equals, hitchfake.ResponseText(request))
	qt.Assert(t, response.Attempts, qt.Equals, 1)
	waitFor(t, "every router has received the leaving endpoint from the list", func() bool {
		for _, node := range f.Routers() {
			if e, ok := node.Router().View().Endpoint(leaving.Endpoint.ID); !ok || !e.Leaving {
				return false
			}
		}
		return true
	})
	before := leaving.Engine.Records().Submitted
	for n := range 20 {
		_, data := newChatBody(t, fmt.Sprintf("Chat %d", n), 0)
		_, err := client.Chat(ctx, fmt.Sprint("new-", n), data, nil)
		qt.Assert(t, err, qt.IsNil)
	}
	_, err = client.Chat(ctx, "long", data, nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, leaving.Engine.Records().Submitted, qt.Equals, before)
}

// A caller's open connection stalls for good while new ones work. The caller detects
// it by its timeout, and gets the complete response on a new connection.
func TestCallerRecoversFromStalledConnection(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	client := f.Client(0)
	address, err := client.Address(context.Background(), "chat")
	qt.Assert(t, err, qt.IsNil)
	relay := &hitchfake.Relay{Target: address.Addresses[0]}
	relayAddr, err := relay.Listen("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = relay.Close() })
	caller := f.Client(0)
	caller.InactivityTimeoutMillis = 300
	caller.HTTP = &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		if addr == address.Addresses[0] {
			addr = relayAddr
		}
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	}}}
	request, data := newChatBody(t, "Tell me all about the kelp forest.", 300)
	var once sync.Once
	response, err := caller.Chat(context.Background(), "chat", data, func(string) { once.Do(relay.StallConnections) })
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.Text, qt.Equals, hitchfake.ResponseText(request))
	qt.Assert(t, response.Attempts > 1, qt.IsTrue)
}
