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
	conditionLimit = 20 * time.Second
	conditionStep  = 20 * time.Millisecond
)

func startFleet(t *testing.T) *Fleet {
	d := Kustakvariet()
	d.Routers, d.Engines, d.Services, d.Organisations = 4, 3, 2, 2
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

// await waits until a condition holds.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	ticker := time.NewTicker(conditionStep)
	defer ticker.Stop()
	deadline := time.Now().Add(conditionLimit)
	for !condition() {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%s", what))
		<-ticker.C
	}
}

func body(t *testing.T, text string, minTokens int) (hitchfake.ChatRequest, []byte) {
	request := hitchfake.ChatRequest{
		Model: "guide-llm", Stream: true, MinTokens: minTokens,
		Messages: []hitchfake.Message{{Role: "user", Content: text}},
	}
	data, err := json.Marshal(request)
	qt.Assert(t, err, qt.IsNil)
	return request, data
}

func (f *Fleet) nodeAt(addr string) *hitchnode.Node {
	for _, node := range f.Routers() {
		if node.Addr() == addr {
			return node
		}
	}
	return nil
}

func (f *Fleet) runsOf(key string) (n int) {
	for _, host := range f.Services() {
		for _, run := range host.Service.Runs() {
			if run.Key == f.KeyID(key) {
				n++
			}
		}
	}
	return n
}

func TestRouterStartsWhileTheStoreIsOut(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	want, _ := f.Routers()[0].Revision()
	f.Store().Faults.Set(hitchfake.Fault{Kind: hitchfake.FaultOut})
	node, err := f.AddRouter(context.Background())
	qt.Assert(t, err, qt.IsNil)
	await(t, "the new router serves by what its peers have", func() bool {
		revision, isServing := node.Revision()
		return isServing && revision == want
	})
	request, data := body(t, "When are the rays fed?", 0)
	client := f.Client(0)
	client.Entries = []string{node.Addr()}
	answer, err := client.Chat(context.Background(), "chat", data, nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, answer.Text, qt.Equals, hitchfake.Answer(request))
}

func TestStoreOutageStopsNoChatAndRefusesBookingsTruly(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	f.Store().Faults.Set(hitchfake.Fault{Kind: hitchfake.FaultOut})
	request, data := body(t, "When are the seals fed?", 0)
	client := f.Client(0)
	answer, err := client.Chat(context.Background(), "chat", data, nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, answer.Text, qt.Equals, hitchfake.Answer(request))
	key, err := client.MintKey(context.Background(), "boxoffice-api")
	qt.Assert(t, err, qt.IsNil)
	_, err = client.BookWith(context.Background(), client.Entries[0], key.BookingKey, "/boxoffice/slots", []byte("{}"))
	var problem *hitchclient.Problem
	qt.Assert(t, errors.As(err, &problem), qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, problem.Outcome, qt.Equals, hitchoutcome.NotRun)
	qt.Assert(t, problem.RetryAt.IsZero(), qt.IsFalse)
	qt.Assert(t, f.runsOf(key.BookingKey), qt.Equals, 0)
	f.Store().Faults.Set()
	await(t, "the same key runs once the store is back", func() bool {
		_, err := client.BookWith(context.Background(), client.Entries[0], key.BookingKey, "/boxoffice/slots", []byte("{}"))
		return err == nil
	})
	qt.Assert(t, f.runsOf(key.BookingKey), qt.Equals, 1)
}

func TestCallerRecoversFromAKilledRouter(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	client := f.Client(0)
	request, data := body(t, "Tell me all about the kelp forest.", 200)
	address, err := client.Address(context.Background(), "chat")
	qt.Assert(t, err, qt.IsNil)
	node := f.nodeAt(address.Addresses[0])
	killed := false
	answer, err := client.Chat(context.Background(), "chat", data, func(string) {
		if !killed {
			killed = true
			f.KillRouter(node)
		}
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, answer.Text, qt.Equals, hitchfake.Answer(request))
	qt.Assert(t, answer.Tries > 1, qt.IsTrue)
	qt.Assert(t, answer.Router, qt.Not(qt.Equals), node.Addr())
}

// homeKey mints a key until its home is a router other than the first, and
// returns it with that router.
func (f *Fleet) homeKey(t *testing.T, client *hitchclient.Client) (string, *hitchnode.Node) {
	for {
		a, err := client.MintKey(context.Background(), "boxoffice-api")
		qt.Assert(t, err, qt.IsNil)
		key, err := f.secrets.Parse(a.BookingKey)
		qt.Assert(t, err, qt.IsNil)
		for _, node := range f.Routers()[1:] {
			if node.Instance().ID == key.Home.Instance {
				return a.BookingKey, node
			}
		}
	}
}

// bookAt presents a key at a router until it is answered. A new fleet refuses a
// few, truly as not run.
func bookAt(t *testing.T, client *hitchclient.Client, router, key string) (b hitchclient.Booking) {
	await(t, "the booking is answered", func() bool {
		var err error
		b, err = client.BookWith(context.Background(), router, key, "/boxoffice/slots", []byte("{}"))
		return err == nil
	})
	return b
}

// A booking whose home is killed is never run again: the journal tells that it
// ran, and of an unused key that it didn't.
func TestBookingOfALostHomeIsNotRunAgain(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	ctx := context.Background()
	client := f.Client(0)
	survivor := f.Routers()[0].Addr()
	used, home := f.homeKey(t, client)
	unused := ""
	for unused == "" {
		key, node := f.homeKey(t, client)
		if node == home {
			unused = key
		}
	}
	bookAt(t, client, survivor, used)
	f.KillRouter(home)
	var problem *hitchclient.Problem
	await(t, "the unused key is known not to have run", func() bool {
		_, err := client.BookWith(ctx, survivor, unused, "/boxoffice/slots", []byte("{}"))
		return errors.As(err, &problem) && problem.Outcome == hitchoutcome.NotRun
	})
	_, err := client.BookWith(ctx, survivor, used, "/boxoffice/slots", []byte("{}"))
	if err != nil {
		qt.Assert(t, errors.As(err, &problem), qt.IsTrue)
		qt.Assert(t, problem.Outcome, qt.Not(qt.Equals), hitchoutcome.NotRun)
	}
	qt.Assert(t, f.runsOf(used), qt.Equals, 1)
	qt.Assert(t, f.runsOf(unused), qt.Equals, 0)
}

// A planned stop hands the bookings on: the same key gets the same answer.
func TestPlannedStopHandsBookingsOn(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	ctx := context.Background()
	client := f.Client(0)
	survivor := f.Routers()[0].Addr()
	used, home := f.homeKey(t, client)
	first := bookAt(t, client, survivor, used)
	qt.Assert(t, f.StopRouter(ctx, home), qt.IsNil)
	again := bookAt(t, client, survivor, used)
	qt.Assert(t, string(again.Body), qt.Equals, string(first.Body))
	qt.Assert(t, f.runsOf(used), qt.Equals, 1)
}

// An endpoint that leaves gets no new work, and its stream in flight ends whole.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	ctx := context.Background()
	client := f.Client(0)
	request, data := body(t, "Tell me all about the kelp forest.", 400)
	var leaving *EngineHost
	var once sync.Once
	answer, err := client.Chat(ctx, "long", data, func(string) {
		once.Do(func() {
			for _, host := range f.Engines() {
				if host.Engine.LoadNow().Running > 0 {
					leaving = host
				}
			}
			qt.Check(t, f.LeaveEngine(leaving.Endpoint.ID), qt.IsNil)
		})
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, answer.Text, qt.Equals, hitchfake.Answer(request))
	qt.Assert(t, answer.Tries, qt.Equals, 1)
	await(t, "every router has it from the list", func() bool {
		for _, node := range f.Routers() {
			if e, ok := node.Router().View().Endpoint(leaving.Endpoint.ID); !ok || !e.Leaving {
				return false
			}
		}
		return true
	})
	before := leaving.Engine.Records().Submitted
	for n := range 20 {
		_, data := body(t, fmt.Sprintf("Chat %d", n), 0)
		_, err := client.Chat(ctx, fmt.Sprint("new-", n), data, nil)
		qt.Assert(t, err, qt.IsNil)
	}
	_, err = client.Chat(ctx, "long", data, nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, leaving.Engine.Records().Submitted, qt.Equals, before)
}

// A caller's open connection goes silent for good while new ones work: the caller
// notices it, and gets the whole answer on a new one.
func TestCallerNoticesASilentConnection(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	client := f.Client(0)
	address, err := client.Address(context.Background(), "chat")
	qt.Assert(t, err, qt.IsNil)
	relay := &hitchfake.Relay{Target: address.Addresses[0]}
	through, err := relay.Listen("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = relay.Close() })
	caller := f.Client(0)
	caller.SilenceMillis = 300
	caller.HTTP = &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		if addr == address.Addresses[0] {
			addr = through
		}
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	}}}
	request, data := body(t, "Tell me all about the kelp forest.", 300)
	var once sync.Once
	answer, err := caller.Chat(context.Background(), "chat", data, func(string) { once.Do(relay.Silence) })
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, answer.Text, qt.Equals, hitchfake.Answer(request))
	qt.Assert(t, answer.Tries > 1, qt.IsTrue)
}
