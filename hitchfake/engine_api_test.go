package hitchfake

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

const chatPath = "/v1/chat/completions"

// A stream whose connection was closed keeps running for detachedStreamTTL. Until
// then it can be resumed after the last received token, and later it is deleted.
func TestEngineResumesStream(t *testing.T) {
	tests := map[string]struct {
		delay  time.Duration
		status int
	}{
		"immediately":   {0, 200},
		"after its end": {detachedStreamTTL / 2, 200},
		"after its TTL": {detachedStreamTTL * 2, 404},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var engine Engine
				server := newTestServer(t, engine.Handler())
				engine.Faults.Set(Fault{Kind: FaultDisconnect, AfterTokens: 6, Times: 1})
				request := newChatRequest("how deep is the tank?")
				first, _, _ := joinStream(t, server.send("POST", chatPath, request, AttemptHeader, "a1").body)
				time.Sleep(test.delay)
				// Another request makes the engine delete expired streams.
				server.send("POST", chatPath, newChatRequest("next"))
				got := server.send("GET", "/v1/streams/a1", nil, "Last-Event-ID", "6")
				qt.Assert(t, got.status, qt.Equals, test.status)
				if test.status != 200 {
					return
				}
				rest, usage, done := joinStream(t, got.body)
				qt.Assert(t, done, qt.IsTrue)
				qt.Assert(t, first+rest, qt.Equals, ResponseText(request))
				qt.Assert(t, usage.CompletionTokens, qt.Equals, len(strings.Fields(first+rest)))
				qt.Assert(t, got.header.Get(AttemptHeader), qt.Equals, "a1")
			})
		})
	}
}

func TestEngineCancelsStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := Engine{TokensPerSecond: 10}
		server := newTestServer(t, engine.Handler())
		got := make(chan testResponse)
		go func() { got <- server.send("POST", chatPath, newChatRequest("long"), AttemptHeader, "a1") }()
		time.Sleep(time.Second)
		qt.Assert(t, server.send("POST", chatPath, newChatRequest("long"), AttemptHeader, "a1").status, qt.Equals, 409)
		qt.Assert(t, server.send("DELETE", "/v1/streams/a1", nil).status, qt.Equals, 204)
		_, _, done := joinStream(t, (<-got).body)
		qt.Assert(t, done, qt.IsFalse)
		qt.Assert(t, server.send("GET", "/v1/streams/a1", nil).status, qt.Equals, 404)
		time.Sleep(time.Second)
		var load Load
		server.decode(server.send("GET", "/v1/load", nil), &load)
		qt.Assert(t, load.Running, qt.Equals, 0)
	})
}

// Steps take longer the more streams are running, and waiting streams start by
// priority.
func TestEngineBatchesStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := Engine{TokensPerSecond: 100, BatchSlowdown: 0.5, MaxRunning: 2, LoadLagMillis: 100}
		server := newTestServer(t, engine.Handler())
		start := time.Now()
		var mu sync.Mutex
		var order []int
		var all sync.WaitGroup
		for i, priority := range []int{0, 0, 1, 5} {
			request := newChatRequest(fmt.Sprint(i))
			request.MinTokens, request.MaxTokens = 100, 100
			all.Go(func() {
				server.send("POST", chatPath, request, PriorityHeader, fmt.Sprint(priority))
				mu.Lock()
				defer mu.Unlock()
				order = append(order, i)
			})
			synctest.Wait()
		}
		var load Load
		server.decode(server.send("GET", "/v1/load", nil), &load)
		qt.Check(t, load.Running, qt.Equals, 0, qt.Commentf("the report must lag"))
		qt.Check(t, []int{engine.CurrentLoad().Running, engine.CurrentLoad().MaxRunning}, qt.DeepEquals, []int{1, 2})
		time.Sleep(200 * time.Millisecond)
		server.decode(server.send("GET", "/v1/load", nil), &load)
		qt.Check(t, []int{load.Running, load.Waiting}, qt.DeepEquals, []int{2, 2})
		all.Wait()
		qt.Assert(t, order, qt.DeepEquals, []int{0, 3, 2, 1})
		// All of the 201 steps except the first and the last have two streams and take
		// 15 ms instead of 10 ms.
		qt.Assert(t, time.Since(start), qt.Equals, (199*15+2*10)*time.Millisecond)
	})
}

func TestColdEngineCrashesOverLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := Engine{ColdLimit: 2, TokensPerSecond: 20}
		server := newTestServer(t, engine.Handler())
		engine.Faults.Set(Fault{Kind: FaultCold})
		var load Load
		server.decode(server.send("GET", "/v1/load", nil), &load)
		qt.Assert(t, load.Cold, qt.IsFalse, qt.Commentf("the cold start isn't announced"))
		var all sync.WaitGroup
		for i := range 3 {
			all.Go(func() {
				got := server.send("POST", chatPath, newChatRequest(fmt.Sprint(i)))
				qt.Check(t, got.err, qt.IsNotNil)
			})
			synctest.Wait()
		}
		all.Wait()
		qt.Assert(t, engine.Records().Falls, qt.Equals, 1)
		qt.Assert(t, server.send("GET", "/v1/load", nil).err, qt.IsNotNil)
		time.Sleep(defaultDownMillis * time.Millisecond)
		got := server.send("POST", chatPath, newChatRequest("again"))
		_, _, done := joinStream(t, got.body)
		qt.Assert(t, done, qt.IsTrue)
	})
}

func TestEngineOrderFencing(t *testing.T) {
	tests := map[string]struct {
		ignoresFencing bool
		unloadStatus   int
		chatStatus     int
	}{
		"rejects outdated numbers": {false, 409, 200},
		"ignores numbers":          {true, 200, 404},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine := Engine{IgnoresFencing: test.ignoresFencing, ColdMillis: 1000}
				server := newTestServer(t, engine.Handler())
				load := Order{Kind: OrderLoad, FencingNumber: 7, Model: testModel, Version: "2"}
				qt.Assert(t, server.send("POST", "/v1/orders", load).status, qt.Equals, 200)
				var report Load
				server.decode(server.send("GET", "/v1/load", nil), &report)
				qt.Assert(t, report.Cold, qt.IsTrue, qt.Commentf("loading a model causes a cold start"))
				unload := Order{Kind: OrderUnload, FencingNumber: 6, Model: testModel}
				qt.Assert(t, server.send("POST", "/v1/orders", unload).status, qt.Equals, test.unloadStatus)
				qt.Assert(t, server.send("POST", chatPath, newChatRequest("served?")).status, qt.Equals, test.chatStatus)
				qt.Assert(t, engine.Records().Orders, qt.HasLen, 2)
				qt.Assert(t, server.send("POST", "/v1/orders", Order{Kind: "Dance"}).status, qt.Equals, 400)
			})
		})
	}
}

// Cache events are delayed, can have gaps, and report evicted blocks.
func TestEngineCacheEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := Engine{CacheTokens: 200, EventLagMillis: 1000}
		server := newTestServer(t, engine.Handler())
		chat := func(text string) (cached int) {
			_, usage, _ := joinStream(t, server.send("POST", chatPath, newChatRequest(text)).body)
			return usage.PromptTokensDetails.CachedTokens
		}
		text := strings.Repeat("fish", 50)
		qt.Assert(t, chat(text), qt.Equals, 0)
		qt.Assert(t, engine.CachedTokens(newChatRequest(text)), qt.Equals, 50)
		qt.Assert(t, chat(text), qt.Equals, 50)
		var events CacheEvents
		server.decode(server.send("GET", "/v1/cache/events?after=0", nil), &events)
		qt.Assert(t, events.Events, qt.HasLen, 0)
		time.Sleep(time.Second)
		server.decode(server.send("GET", "/v1/cache/events?after=0", nil), &events)
		qt.Assert(t, events.Last, qt.Equals, uint64(2))
		hash := PrefixHashes(testModel, newChatRequest(text).Messages)[1]
		qt.Assert(t, events.Events[0].Block, qt.Equals, CacheBlock{Hash: hash, Tokens: 50})

		engine.Faults.Set(Fault{Kind: FaultDropCacheEvents, Times: 1})
		chat(strings.Repeat("kelp", 150))
		time.Sleep(time.Second)
		server.decode(server.send("GET", "/v1/cache/events?after=2", nil), &events)
		qt.Assert(t, events.Events[0].Number, qt.Equals, uint64(4), qt.Commentf("one event must be lost"))
		qt.Assert(t, events.Events[0].Kind, qt.Equals, CacheEvicted)
		qt.Assert(t, chat(text), qt.Equals, 0)
	})
}

func TestEngineCacheExport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var from, to Engine
		fromServer, toServer := newTestServer(t, from.Handler()), newTestServer(t, to.Handler())
		request := newChatRequest("move me")
		fromServer.send("POST", chatPath, request, ChatHeader, "c1")
		var export CacheExport
		fromServer.decode(fromServer.send("GET", "/v1/cache/c1", nil), &export)
		qt.Assert(t, export.Blocks, qt.HasLen, 2)
		qt.Assert(t, toServer.send("GET", "/v1/cache/c1", nil).status, qt.Equals, 404)
		qt.Assert(t, toServer.send("PUT", "/v1/cache/c1", export).status, qt.Equals, 204)
		_, usage, _ := joinStream(t, toServer.send("POST", chatPath, request).body)
		qt.Assert(t, usage.PromptTokensDetails.CachedTokens, qt.Equals, usage.PromptTokens)
	})
}
