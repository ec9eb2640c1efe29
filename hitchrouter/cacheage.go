package hitchrouter

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchpeer"
	"citronhitch.example/citronhitch/hitchplace"
)

// TopicCacheAges spreads after which idle time the engines that a router owns
// evict a prefix.
var TopicCacheAges = hitchpeer.Topic{Name: "CacheAges", Regional: true, Volatile: true}

// cacheEvent is an event of an engine's prefix cache, in the engine's own format.
// Events come late, and some don't come at all.
type cacheEvent struct {
	Number uint64
	Kind   string
	Block  struct{ Tokens int64 }
	At     time.Time
}

// cacheEvents is an engine's answer to the question for events.
type cacheEvents struct {
	Events []cacheEvent
	Last   uint64
}

// cacheAge is the idle time after which one engine evicts, in seconds.
type cacheAge struct {
	_        struct{} `cbor:",toarray"`
	Endpoint hitchfleet.EndpointID
	Seconds  float64
}

// cacheCursors remembers the last event seen of each engine.
type cacheCursors struct {
	mu   sync.Mutex
	last map[hitchfleet.EndpointID]uint64
}

func (c *cacheCursors) get(id hitchfleet.EndpointID) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last[id]
}

func (c *cacheCursors) set(id hitchfleet.EndpointID, last uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last == nil {
		c.last = make(map[hitchfleet.EndpointID]uint64)
	}
	c.last[id] = last
}

// collectCacheEvents asks the engines that this router owns for their cache
// events, and spreads what follows from them.
func (rt *Router) collectCacheEvents(ctx context.Context) {
	p := rt.placement()
	var group sync.WaitGroup
	for id, owner := range p.owners {
		e := p.endpoints[id]
		if owner.ID == rt.Self.ID && e.Kind == hitchfleet.KindEngine {
			group.Go(func() { rt.collectCacheEventsOf(ctx, e) })
		}
	}
	group.Wait()
	rt.shareCacheAges(p)
}

func (rt *Router) collectCacheEventsOf(ctx context.Context, e hitchfleet.Endpoint) {
	events, err := rt.fetchCacheEvents(ctx, e, rt.cacheSeen.get(e.ID))
	if err != nil {
		rt.log().Debug("no cache events", "Endpoint", string(e.ID), "Error", err)
		return
	}
	for _, event := range events.Events {
		rt.residence.Observe(hitchplace.CacheEvent{
			Endpoint: e.ID, Seq: event.Number, At: event.At, Kind: cacheKind(event.Kind), Tokens: event.Block.Tokens,
		})
	}
	rt.cacheSeen.set(e.ID, events.Last)
}

func cacheKind(kind string) hitchplace.CacheEventKind {
	switch kind {
	case "Evicted":
		return hitchplace.CacheEvicted
	case "Cleared":
		return hitchplace.CacheCleared
	default:
		return hitchplace.CacheStored
	}
}

func (rt *Router) fetchCacheEvents(ctx context.Context, e hitchfleet.Endpoint, after uint64) (events cacheEvents, err error) {
	err = rt.fetchJSON(ctx, fmt.Sprintf("%s/v1/cache/events?after=%d", e.URL, after), &events)
	return events, err
}

// shareCacheAges spreads the ages of the engines that this router owns.
func (rt *Router) shareCacheAges(p *placement) {
	var ages []cacheAge
	for id, owner := range p.owners {
		if seconds, ok := rt.residence.Age(id); ok && owner.ID == rt.Self.ID {
			ages = append(ages, cacheAge{Endpoint: id, Seconds: seconds})
		}
	}
	if len(ages) == 0 {
		return
	}
	body, err := cbor.Marshal(ages)
	if err == nil {
		err = rt.Peers.share(TopicCacheAges, body)
	}
	if err != nil {
		rt.log().Warn("cache ages not shared", "Error", err)
	}
}

// LearnCacheAges takes the ages that another router shared.
func (rt *Router) LearnCacheAges(body []byte) {
	var ages []cacheAge
	if err := cbor.Unmarshal(body, &ages); err != nil {
		return
	}
	owners := rt.placement().owners
	for _, age := range ages {
		if owner, ok := owners[age.Endpoint]; ok && owner.ID != rt.Self.ID {
			rt.residence.Learn(age.Endpoint, age.Seconds)
		}
	}
}
