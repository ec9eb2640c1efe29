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

// A stream whose connection broke goes on for a while and can be resumed after
// the last token that arrived; later it is gone.
func TestEngineResumes(t *testing.T) {
	tests := map[string]struct {
		away   time.Duration
		status int
	}{
		"at once":              {0, 200},
		"after its end":        {streamLinger / 2, 200},
		"too late for a reply": {streamLinger * 2, 404},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var engine Engine
				r := newRig(t, engine.Handler())
				engine.Faults.Set(Fault{Kind: FaultCut, AfterTokens: 6, Times: 1})
				q := question("how deep is the tank?")
				first, _, _ := textOf(t, r.do("POST", chatPath, q, AttemptHeader, "a1").body)
				time.Sleep(test.away)
				// Another request makes the engine forget what is too old.
				r.do("POST", chatPath, question("next"))
				got := r.do("GET", "/v1/streams/a1", nil, "Last-Event-ID", "6")
				qt.Assert(t, got.status, qt.Equals, test.status)
				if test.status != 200 {
					return
				}
				rest, usage, done := textOf(t, got.body)
				qt.Assert(t, done, qt.IsTrue)
				qt.Assert(t, first+rest, qt.Equals, Answer(q))
				qt.Assert(t, usage.CompletionTokens, qt.Equals, len(strings.Fields(first+rest)))
				qt.Assert(t, got.header.Get(AttemptHeader), qt.Equals, "a1")
			})
		})
	}
}

func TestEngineCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := Engine{TokensPerSecond: 10}
		r := newRig(t, engine.Handler())
		got := make(chan reply)
		go func() { got <- r.do("POST", chatPath, question("long"), AttemptHeader, "a1") }()
		time.Sleep(time.Second)
		qt.Assert(t, r.do("POST", chatPath, question("long"), AttemptHeader, "a1").status, qt.Equals, 409)
		qt.Assert(t, r.do("DELETE", "/v1/streams/a1", nil).status, qt.Equals, 204)
		_, _, done := textOf(t, (<-got).body)
		qt.Assert(t, done, qt.IsFalse)
		qt.Assert(t, r.do("GET", "/v1/streams/a1", nil).status, qt.Equals, 404)
		time.Sleep(time.Second)
		var load Load
		r.read(r.do("GET", "/v1/load", nil), &load)
		qt.Assert(t, load.Running, qt.Equals, 0)
	})
}

// Steps take longer the more streams run, and the waiting ones start by their
// priority.
func TestEngineBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := Engine{TokensPerSecond: 100, BatchSlowdown: 0.5, MaxRunning: 2, LoadLagMillis: 100}
		r := newRig(t, engine.Handler())
		start := time.Now()
		var mu sync.Mutex
		var order []int
		var all sync.WaitGroup
		for i, priority := range []int{0, 0, 1, 5} {
			q := question(fmt.Sprint(i))
			q.MinTokens, q.MaxTokens = 100, 100
			all.Go(func() {
				r.do("POST", chatPath, q, PriorityHeader, fmt.Sprint(priority))
				mu.Lock()
				defer mu.Unlock()
				order = append(order, i)
			})
			synctest.Wait()
		}
		var load Load
		r.read(r.do("GET", "/v1/load", nil), &load)
		qt.Check(t, load.Running, qt.Equals, 0, qt.Commentf("the report lags"))
		qt.Check(t, []int{engine.LoadNow().Running, engine.LoadNow().MaxRunning}, qt.DeepEquals, []int{1, 2})
		time.Sleep(200 * time.Millisecond)
		r.read(r.do("GET", "/v1/load", nil), &load)
		qt.Check(t, []int{load.Running, load.Waiting}, qt.DeepEquals, []int{2, 2})
		all.Wait()
		qt.Assert(t, order, qt.DeepEquals, []int{0, 3, 2, 1})
		// All but the first and the last of 201 steps have two streams, and take 15 ms
		// instead of 10 ms.
		qt.Assert(t, time.Since(start), qt.Equals, (199*15+2*10)*time.Millisecond)
	})
}

func TestEngineFallsOverWhileCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := Engine{ColdLimit: 2, TokensPerSecond: 20}
		r := newRig(t, engine.Handler())
		engine.Faults.Set(Fault{Kind: FaultCold})
		var load Load
		r.read(r.do("GET", "/v1/load", nil), &load)
		qt.Assert(t, load.Cold, qt.IsFalse, qt.Commentf("it went cold unannounced"))
		var all sync.WaitGroup
		for i := range 3 {
			all.Go(func() {
				got := r.do("POST", chatPath, question(fmt.Sprint(i)))
				qt.Check(t, got.err, qt.IsNotNil)
			})
			synctest.Wait()
		}
		all.Wait()
		qt.Assert(t, engine.Records().Falls, qt.Equals, 1)
		qt.Assert(t, r.do("GET", "/v1/load", nil).err, qt.IsNotNil)
		time.Sleep(defaultDownMillis * time.Millisecond)
		got := r.do("POST", chatPath, question("again"))
		_, _, done := textOf(t, got.body)
		qt.Assert(t, done, qt.IsTrue)
	})
}

func TestEngineOrders(t *testing.T) {
	tests := map[string]struct {
		ignores bool
		second  int
		model   int
	}{
		"refuses old numbers": {false, 409, 200},
		"ignores numbers":     {true, 200, 404},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine := Engine{IgnoresFencing: test.ignores, ColdMillis: 1000}
				r := newRig(t, engine.Handler())
				load := Order{Kind: OrderLoad, FencingNumber: 7, Model: testModel, Version: "2"}
				qt.Assert(t, r.do("POST", "/v1/orders", load).status, qt.Equals, 200)
				var report Load
				r.read(r.do("GET", "/v1/load", nil), &report)
				qt.Assert(t, report.Cold, qt.IsTrue, qt.Commentf("a model was loaded"))
				unload := Order{Kind: OrderUnload, FencingNumber: 6, Model: testModel}
				qt.Assert(t, r.do("POST", "/v1/orders", unload).status, qt.Equals, test.second)
				qt.Assert(t, r.do("POST", chatPath, question("served?")).status, qt.Equals, test.model)
				qt.Assert(t, engine.Records().Orders, qt.HasLen, 2)
				qt.Assert(t, r.do("POST", "/v1/orders", Order{Kind: "Dance"}).status, qt.Equals, 400)
			})
		})
	}
}

// Events come late and with gaps, and tell of blocks that were evicted.
func TestEngineCacheEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := Engine{CacheTokens: 200, EventLagMillis: 1000}
		r := newRig(t, engine.Handler())
		ask := func(text string) (cached int) {
			_, usage, _ := textOf(t, r.do("POST", chatPath, question(text)).body)
			return usage.PromptTokensDetails.CachedTokens
		}
		text := strings.Repeat("fish", 50)
		qt.Assert(t, ask(text), qt.Equals, 0)
		qt.Assert(t, engine.CachedTokens(question(text)), qt.Equals, 50)
		qt.Assert(t, ask(text), qt.Equals, 50)
		var events CacheEvents
		r.read(r.do("GET", "/v1/cache/events?after=0", nil), &events)
		qt.Assert(t, events.Events, qt.HasLen, 0)
		time.Sleep(time.Second)
		r.read(r.do("GET", "/v1/cache/events?after=0", nil), &events)
		qt.Assert(t, events.Last, qt.Equals, uint64(2))
		hash := PrefixHashes(testModel, question(text).Messages)[1]
		qt.Assert(t, events.Events[0].Block, qt.Equals, CacheBlock{Hash: hash, Tokens: 50})

		engine.Faults.Set(Fault{Kind: FaultGap, Times: 1})
		ask(strings.Repeat("kelp", 150))
		time.Sleep(time.Second)
		r.read(r.do("GET", "/v1/cache/events?after=2", nil), &events)
		qt.Assert(t, events.Events[0].Number, qt.Equals, uint64(4), qt.Commentf("one was lost"))
		qt.Assert(t, events.Events[0].Kind, qt.Equals, CacheEvicted)
		qt.Assert(t, ask(text), qt.Equals, 0)
	})
}

func TestEngineExportsItsCache(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var from, to Engine
		r, s := newRig(t, from.Handler()), newRig(t, to.Handler())
		q := question("move me")
		r.do("POST", chatPath, q, ChatHeader, "c1")
		var export CacheExport
		r.read(r.do("GET", "/v1/cache/c1", nil), &export)
		qt.Assert(t, export.Blocks, qt.HasLen, 2)
		qt.Assert(t, s.do("GET", "/v1/cache/c1", nil).status, qt.Equals, 404)
		qt.Assert(t, s.do("PUT", "/v1/cache/c1", export).status, qt.Equals, 204)
		_, usage, _ := textOf(t, s.do("POST", chatPath, q).body)
		qt.Assert(t, usage.PromptTokensDetails.CachedTokens, qt.Equals, usage.PromptTokens)
	})
}
