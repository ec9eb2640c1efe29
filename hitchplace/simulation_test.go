package hitchplace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
)

// The parameters of the simulation: about ten engines, whose caches hold most of
// the prefixes of returning chats. One engine is lost or added every five seconds.
const (
	simEngines            = 10
	simChats              = 3000
	simRequestRate        = 40 // requests per second
	simSeconds            = 300
	simCacheTokens        = 400_000 // tokens
	simSharedPrefixTokens = 400     // tokens of an organisation's prefix
	simTurnTokens         = 250     // tokens that a turn of a chat adds
	simMaxChatTokens      = 4000    // tokens after which a chat starts over
	simLoadBound          = 2.0
	simMinLoadLimit       = 8000
	simDecodeTime         = 2 * time.Second
	simPrefillRate        = 5000 // tokens per second
)

// simEngine is an engine with a least recently used prefix cache.
type simEngine struct {
	id           hitchfleet.EndpointID
	up           bool
	cache        lru[hitchfleet.Key, int64]
	usedTokens   int64
	currentLoad  int64
	reportedLoad int64
	running      []simRequest
	seq          uint64
}

type simRequest struct {
	cost     int64
	finishAt time.Time
}

type simChat struct {
	request Request
	tokens  int64
	lastUse time.Time
}

// simulation runs one placement policy.
type simulation struct {
	// requests, churn, events and policy are separate random sources, so that all
	// policies get the same requests and churn.
	requests  *rand.Rand
	churn     *rand.Rand
	events    *rand.Rand
	policy    *rand.Rand
	now       time.Time
	engines   []*simEngine
	chats     []simChat
	directory Directory
	evictions EvictionTracker
	pool      Pool
	choose    func(sim *simulation, c *simChat) *simEngine

	promptTokens, reusedTokens float64
	skews                      []float64
}

func newSimulation(choose func(sim *simulation, c *simChat) *simEngine) *simulation {
	source := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(20261203, stream)) }
	sim := &simulation{requests: source(1), churn: source(2), events: source(3), policy: source(4), now: start, choose: choose}
	for i := range simEngines + 2 {
		sim.engines = append(sim.engines, &simEngine{id: engineID(i), up: i < simEngines})
	}
	for i := range simChats {
		// Half of all chats belong to two of ten organisations.
		org, share := i%4, 0.25
		if org > 1 {
			org, share = 2+i/4%8, 0.5/8
		}
		c := simChat{request: chat(fmt.Sprint("org-", org), i), tokens: simSharedPrefixTokens}
		c.request.Subset = SubsetSize(simEngines, share)
		sim.chats = append(sim.chats, c)
	}
	return sim
}

// store adds a prefix to the cache and evicts the least recently used ones.
func (e *simEngine) store(sim *simulation, key hitchfleet.Key, tokens int64) {
	if old, ok := e.cache.get(key); ok {
		e.usedTokens -= old
	}
	e.cache.put(1<<30, key, tokens)
	e.usedTokens += tokens
	e.publish(sim, CacheStored, tokens)
	for e.usedTokens > simCacheTokens {
		oldest := e.cache.nodes[e.cache.oldest]
		e.usedTokens -= oldest.value
		e.cache.remove(oldest.key)
		e.publish(sim, CacheEvicted, oldest.value)
	}
}

// publish passes a cache event to the router; a fifth of the events are lost.
func (e *simEngine) publish(sim *simulation, kind CacheEventKind, tokens int64) {
	e.seq++
	if sim.events.IntN(5) > 0 {
		sim.evictions.Observe(CacheEvent{Endpoint: e.id, Seq: e.seq, At: sim.now, Kind: kind, Tokens: tokens})
	}
}

// cachedTokens returns the number of tokens of a chat's prompt that the engine has
// cached.
func (e *simEngine) cachedTokens(c *simChat) int64 {
	if i, ok := e.cache.index[c.request.Chat]; ok {
		return e.cache.nodes[i].value
	}
	if i, ok := e.cache.index[ChatKey(c.request.Organisation, "")]; ok {
		return e.cache.nodes[i].value
	}
	return 0
}

// isUnderBound reports whether the engine can accept the cost within the load bound.
func (sim *simulation) isUnderBound(e *simEngine, cost int64) bool {
	var total, n int64
	for _, other := range sim.engines {
		if other.up {
			total += other.currentLoad
			n++
		}
	}
	return e.currentLoad+cost <= max(simMinLoadLimit, int64(simLoadBound*float64(total+cost)/float64(n)))
}

func (sim *simulation) sendRequest() {
	c := &sim.chats[sim.requests.IntN(len(sim.chats))]
	if c.tokens += simTurnTokens; c.tokens > simMaxChatTokens {
		c.tokens = simSharedPrefixTokens
	}
	e := sim.choose(sim, c)
	cached := min(e.cachedTokens(c), c.tokens)
	cost := c.tokens - cached + simTurnTokens
	sim.promptTokens += float64(c.tokens)
	sim.reusedTokens += float64(cached)
	e.currentLoad += cost
	duration := simDecodeTime + time.Duration(c.tokens-cached)*time.Second/simPrefillRate
	e.running = append(e.running, simRequest{cost, sim.now.Add(duration)})
	e.store(sim, ChatKey(c.request.Organisation, ""), simSharedPrefixTokens)
	e.store(sim, c.request.Chat, c.tokens)
	sim.directory.Put(sim.now, c.request.Chat, e.id, c.tokens)
	c.lastUse = sim.now
}

// tick reports the loads, measures the skew, and adds or removes an engine every
// five seconds.
func (sim *simulation) tick(s int) {
	var maxLoad, total, n float64
	var targets []Target
	for _, e := range sim.engines {
		if !e.up {
			continue
		}
		targets = append(targets, Target{Endpoint: hitchfleet.Endpoint{ID: e.id}}.WithLoad(e.currentLoad))
		e.reportedLoad = e.currentLoad
		maxLoad, total, n = max(maxLoad, float64(e.currentLoad)), total+float64(e.currentLoad), n+1
	}
	sim.pool = NewPool(targets, nil, nil)
	if total > 0 {
		sim.skews = append(sim.skews, maxLoad/(total/n))
	}
	if s%5 == 4 {
		e := sim.engines[sim.churn.IntN(len(sim.engines))]
		if e.up = !e.up; !e.up {
			*e = simEngine{id: e.id, seq: e.seq}
			sim.evictions.Observe(CacheEvent{Endpoint: e.id, At: sim.now, Kind: CacheCleared})
		}
	}
}

func (sim *simulation) run() (reuse, skew float64) {
	for s := range simSeconds {
		for range simRequestRate {
			sim.now = sim.now.Add(time.Second / simRequestRate)
			for _, e := range sim.engines {
				for len(e.running) > 0 && !e.running[0].finishAt.After(sim.now) {
					e.currentLoad -= e.running[0].cost
					e.running = e.running[1:]
				}
			}
			if s > 0 {
				sim.sendRequest()
			}
		}
		sim.tick(s)
	}
	for _, s := range sim.skews {
		skew += s / float64(len(sim.skews))
	}
	return sim.reusedTokens / sim.promptTokens, skew
}

// bestEngine returns the live engine with the highest score.
func (sim *simulation) bestEngine(score func(e *simEngine) float64) (best *simEngine) {
	var maxScore float64
	for _, e := range sim.engines {
		if s := score(e); e.up && (best == nil || s > maxScore) {
			best, maxScore = e, s
		}
	}
	return best
}

func (sim *simulation) place(c *simChat, evictions *EvictionTracker) *simEngine {
	request := c.request
	request.Entry, _ = sim.directory.Get(sim.now, request.Chat)
	request.Evictions = evictions
	for _, candidate := range sim.pool.Choose(nil, request, sim.now) {
		for _, e := range sim.engines {
			if e.id == candidate.Endpoint && e.up && sim.isUnderBound(e, simTurnTokens) {
				return e
			}
		}
	}
	return sim.bestEngine(func(e *simEngine) float64 { return -float64(e.currentLoad) })
}

var policies = map[string]func(sim *simulation, c *simChat) *simEngine{
	"oracle": func(sim *simulation, c *simChat) *simEngine {
		return sim.bestEngine(func(e *simEngine) float64 {
			if !sim.isUnderBound(e, c.tokens-e.cachedTokens(c)+simTurnTokens) {
				return -1e9 - float64(e.currentLoad)
			}
			return float64(e.cachedTokens(c)) - float64(e.currentLoad)/100
		})
	},
	"random": func(sim *simulation, _ *simChat) *simEngine {
		return sim.bestEngine(func(*simEngine) float64 { return sim.policy.Float64() })
	},
	"least reported load": func(sim *simulation, _ *simChat) *simEngine {
		return sim.bestEngine(func(e *simEngine) float64 { return -float64(e.reportedLoad) })
	},
	"rendezvous": func(sim *simulation, c *simChat) *simEngine {
		return sim.bestEngine(func(e *simEngine) float64 {
			return float64(hitchfleet.Score(c.request.Chat, hitchfleet.KeyOf(string(e.id))))
		})
	},
	"placement":                        func(sim *simulation, c *simChat) *simEngine { return sim.place(c, &sim.evictions) },
	"placement without cache estimate": func(sim *simulation, c *simChat) *simEngine { return sim.place(c, nil) },
}

func TestCacheReuseNearOracle(t *testing.T) {
	best, _ := newSimulation(policies["oracle"]).run()
	reuse, skew := newSimulation(policies["placement"]).run()
	t.Logf("oracle %.3f, placement %.3f, skew %.2f", best, reuse, skew)
	qt.Assert(t, reuse >= 0.9*best, qt.IsTrue)
	qt.Assert(t, skew < simLoadBound, qt.IsTrue)
}

func BenchmarkPolicies(b *testing.B) {
	for name, choose := range policies {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				reuse, skew := newSimulation(choose).run()
				b.ReportMetric(reuse, "reuse")
				b.ReportMetric(skew, "max/mean")
			}
		})
	}
}
