package hitchplace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
)

// The sizes of the trial: about ten engines, whose caches hold most of what
// returns, one of which is lost or added every five seconds.
const (
	trialEngines = 10
	trialChats   = 3000
	trialRate    = 40 // requests a second
	trialSeconds = 300
	trialCache   = 400_000 // tokens
	trialShared  = 400     // tokens of an organisation's prefix
	trialTurn    = 250     // tokens that a turn adds
	trialMost    = 4000    // tokens after which a chat starts anew
	trialBound   = 2.0
	trialFloor   = 8000
	trialDecode  = 2 * time.Second
	trialPrefill = 5000 // tokens a second
)

// trialEngine is an engine with a least recently used prefix cache.
type trialEngine struct {
	id       hitchfleet.EndpointID
	up       bool
	cache    lru[hitchfleet.Key, int64]
	cached   int64
	load     int64
	reported int64
	running  []trialWork
	seq      uint64
}

type trialWork struct {
	cost int64
	at   time.Time
}

type trialChat struct {
	request Request
	tokens  int64
	lastUse time.Time
}

// trial drives one policy through the same events.
type trial struct {
	// requests, churn, events and policy are apart, so that all policies see the
	// same requests and churn.
	requests  *rand.Rand
	churn     *rand.Rand
	events    *rand.Rand
	policy    *rand.Rand
	now       time.Time
	engines   []*trialEngine
	chats     []trialChat
	directory Directory
	residence Residence
	pool      Pool
	choose    func(t *trial, c *trialChat) *trialEngine

	prompt, reused float64
	skews          []float64
}

func newTrial(choose func(t *trial, c *trialChat) *trialEngine) *trial {
	source := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(20261203, stream)) }
	t := &trial{requests: source(1), churn: source(2), events: source(3), policy: source(4), now: start, choose: choose}
	for i := range trialEngines + 2 {
		t.engines = append(t.engines, &trialEngine{id: engineID(i), up: i < trialEngines})
	}
	for i := range trialChats {
		// Half of all chats belong to two of ten organisations.
		org, share := i%4, 0.25
		if org > 1 {
			org, share = 2+i/4%8, 0.5/8
		}
		c := trialChat{request: chat(fmt.Sprint("org-", org), i), tokens: trialShared}
		c.request.Subset = SubsetSize(trialEngines, share)
		t.chats = append(t.chats, c)
	}
	return t
}

func (e *trialEngine) hold(t *trial, key hitchfleet.Key, tokens int64) {
	if old, ok := e.cache.get(key); ok {
		e.cached -= old
	}
	e.cache.put(1<<30, key, tokens)
	e.cached += tokens
	e.event(t, CacheStored, tokens)
	for e.cached > trialCache {
		oldest := e.cache.nodes[e.cache.oldest]
		e.cached -= oldest.value
		e.cache.remove(oldest.key)
		e.event(t, CacheEvicted, oldest.value)
	}
}

// event publishes a cache event; a fifth are lost.
func (e *trialEngine) event(t *trial, kind CacheEventKind, tokens int64) {
	e.seq++
	if t.events.IntN(5) > 0 {
		t.residence.Observe(CacheEvent{Endpoint: e.id, Seq: e.seq, At: t.now, Kind: kind, Tokens: tokens})
	}
}

// cachedTokens is how much of a chat's prompt the engine has cached.
func (e *trialEngine) cachedTokens(c *trialChat) int64 {
	if i, ok := e.cache.index[c.request.Chat]; ok {
		return e.cache.nodes[i].value
	}
	if i, ok := e.cache.index[ChatKey(c.request.Organisation, "")]; ok {
		return e.cache.nodes[i].value
	}
	return 0
}

func (t *trial) bounded(e *trialEngine, cost int64) bool {
	var total, n int64
	for _, other := range t.engines {
		if other.up {
			total += other.load
			n++
		}
	}
	return e.load+cost <= max(trialFloor, int64(trialBound*float64(total+cost)/float64(n)))
}

func (t *trial) request() {
	c := &t.chats[t.requests.IntN(len(t.chats))]
	if c.tokens += trialTurn; c.tokens > trialMost {
		c.tokens = trialShared
	}
	e := t.choose(t, c)
	cached := min(e.cachedTokens(c), c.tokens)
	cost := c.tokens - cached + trialTurn
	t.prompt += float64(c.tokens)
	t.reused += float64(cached)
	e.load += cost
	took := trialDecode + time.Duration(c.tokens-cached)*time.Second/trialPrefill
	e.running = append(e.running, trialWork{cost, t.now.Add(took)})
	e.hold(t, ChatKey(c.request.Organisation, ""), trialShared)
	e.hold(t, c.request.Chat, c.tokens)
	t.directory.Put(t.now, c.request.Chat, e.id, c.tokens)
	c.lastUse = t.now
}

// second ends work, reports loads, measures the skew, and changes an engine.
func (t *trial) second(s int) {
	var most, total, n float64
	var targets []Target
	for _, e := range t.engines {
		if !e.up {
			continue
		}
		targets = append(targets, Target{Endpoint: hitchfleet.Endpoint{ID: e.id}}.WithLoad(e.load))
		e.reported = e.load
		most, total, n = max(most, float64(e.load)), total+float64(e.load), n+1
	}
	t.pool = NewPool(targets, nil, nil)
	if total > 0 {
		t.skews = append(t.skews, most/(total/n))
	}
	if s%5 == 4 {
		e := t.engines[t.churn.IntN(len(t.engines))]
		if e.up = !e.up; !e.up {
			*e = trialEngine{id: e.id, seq: e.seq}
			t.residence.Observe(CacheEvent{Endpoint: e.id, At: t.now, Kind: CacheCleared})
		}
	}
}

func (t *trial) run() (reuse, skew float64) {
	for s := range trialSeconds {
		for range trialRate {
			t.now = t.now.Add(time.Second / trialRate)
			for _, e := range t.engines {
				for len(e.running) > 0 && !e.running[0].at.After(t.now) {
					e.load -= e.running[0].cost
					e.running = e.running[1:]
				}
			}
			if s > 0 {
				t.request()
			}
		}
		t.second(s)
	}
	for _, s := range t.skews {
		skew += s / float64(len(t.skews))
	}
	return t.reused / t.prompt, skew
}

// up picks the best live engine by a score; the highest wins.
func (t *trial) up(score func(e *trialEngine) float64) (best *trialEngine) {
	var most float64
	for _, e := range t.engines {
		if s := score(e); e.up && (best == nil || s > most) {
			best, most = e, s
		}
	}
	return best
}

func (t *trial) ours(c *trialChat, r *Residence) *trialEngine {
	q := c.request
	q.Entry, _ = t.directory.Get(t.now, q.Chat)
	q.Residence = r
	for _, candidate := range t.pool.Choose(nil, q, t.now) {
		for _, e := range t.engines {
			if e.id == candidate.Endpoint && e.up && t.bounded(e, trialTurn) {
				return e
			}
		}
	}
	return t.up(func(e *trialEngine) float64 { return -float64(e.load) })
}

var policies = map[string]func(t *trial, c *trialChat) *trialEngine{
	"all-knowing": func(t *trial, c *trialChat) *trialEngine {
		return t.up(func(e *trialEngine) float64 {
			if !t.bounded(e, c.tokens-e.cachedTokens(c)+trialTurn) {
				return -1e9 - float64(e.load)
			}
			return float64(e.cachedTokens(c)) - float64(e.load)/100
		})
	},
	"random": func(t *trial, _ *trialChat) *trialEngine {
		return t.up(func(*trialEngine) float64 { return t.policy.Float64() })
	},
	"least reported": func(t *trial, _ *trialChat) *trialEngine {
		return t.up(func(e *trialEngine) float64 { return -float64(e.reported) })
	},
	"rendezvous": func(t *trial, c *trialChat) *trialEngine {
		return t.up(func(e *trialEngine) float64 {
			return float64(hitchfleet.Score(c.request.Chat, hitchfleet.KeyOf(string(e.id))))
		})
	},
	"ours":                   func(t *trial, c *trialChat) *trialEngine { return t.ours(c, &t.residence) },
	"ours without residence": func(t *trial, c *trialChat) *trialEngine { return t.ours(c, nil) },
}

func TestReuseIsNearTheAllKnowing(t *testing.T) {
	best, _ := newTrial(policies["all-knowing"]).run()
	reuse, skew := newTrial(policies["ours"]).run()
	t.Logf("all-knowing %.3f, ours %.3f, skew %.2f", best, reuse, skew)
	qt.Assert(t, reuse >= 0.9*best, qt.IsTrue)
	qt.Assert(t, skew < trialBound, qt.IsTrue)
}

func BenchmarkPolicies(b *testing.B) {
	for name, choose := range policies {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				reuse, skew := newTrial(choose).run()
				b.ReportMetric(reuse, "reuse")
				b.ReportMetric(skew, "max/mean")
			}
		})
	}
}
