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

// TopicCacheAges is the topic on which a router shares the eviction ages of the
// engines that it owns: the idle time after which an engine evicts a cached prefix.
var TopicCacheAges = hitchpeer.Topic{Name: "CacheAges", Regional: true, Volatile: true}

// cacheEvent is an event of an engine's prefix cache, in the engine's JSON format.
// Events arrive late, and some are lost.
type cacheEvent struct {
	Number uint64
	Kind   string
	Block  struct{ Tokens int64 }
	At     time.Time
}

// cacheEvents is an engine's response to a request for its cache events.
type cacheEvents struct {
	Events []cacheEvent
	Last   uint64
}

// evictionAge is the idle time after which an engine evicts a cached prefix.
type evictionAge struct {
	_        struct{} `cbor:",toarray"`
	Endpoint hitchfleet.EndpointID
	Seconds  float64
}

// cacheEventCursors holds the number of the last event read from each engine. The
// zero value is empty.
type cacheEventCursors struct {
	mu   sync.Mutex
	last map[hitchfleet.EndpointID]uint64
}

func (c *cacheEventCursors) get(id hitchfleet.EndpointID) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last[id]
}

func (c *cacheEventCursors) set(id hitchfleet.EndpointID, last uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last == nil {
		c.last = make(map[hitchfleet.EndpointID]uint64)
	}
	c.last[id] = last
}

// collectCacheEvents fetches the cache events of the engines that this router owns,
// and shares the eviction ages computed from them.
func (rt *Router) collectCacheEvents(ctx context.Context) {
	p := rt.placement()
	var group sync.WaitGroup
	for id, owner := range p.owners {
		e := p.endpoints[id]
		if owner.ID == rt.Self.ID && e.Kind == hitchfleet.KindEngine {
			group.Go(func() { rt.collectEndpointCacheEvents(ctx, e) })
		}
	}
	group.Wait()
	rt.shareEvictionAges(p)
}

func (rt *Router) collectEndpointCacheEvents(ctx context.Context, e hitchfleet.Endpoint) {
	events, err := rt.fetchCacheEvents(ctx, e, rt.eventCursors.get(e.ID))
	if err != nil {
		rt.log().Debug("cache events could not be fetched", "Endpoint", string(e.ID), "Error", err)
		return
	}
	for _, event := range events.Events {
		rt.evictions.Observe(hitchplace.CacheEvent{
			Endpoint: e.ID, Seq: event.Number, At: event.At, Kind: cacheEventKind(event.Kind), Tokens: event.Block.Tokens,
		})
	}
	rt.eventCursors.set(e.ID, events.Last)
}

func cacheEventKind(kind string) hitchplace.CacheEventKind {
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

// shareEvictionAges shares the eviction ages of the engines that this router owns.
func (rt *Router) shareEvictionAges(p *placement) {
	var ages []evictionAge
	for id, owner := range p.owners {
		if seconds, ok := rt.evictions.EvictionAge(id); ok && owner.ID == rt.Self.ID {
			ages = append(ages, evictionAge{Endpoint: id, Seconds: seconds})
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
		rt.log().Warn("eviction ages could not be shared", "Error", err)
	}
}

// ApplyCacheAges applies eviction ages shared by another router. Ages of engines that
// this router owns are ignored, as it computes them itself.
func (rt *Router) ApplyCacheAges(body []byte) {
	var ages []evictionAge
	if err := cbor.Unmarshal(body, &ages); err != nil {
		return
	}
	owners := rt.placement().owners
	for _, age := range ages {
		if owner, ok := owners[age.Endpoint]; ok && owner.ID != rt.Self.ID {
			rt.evictions.SetEvictionAge(age.Endpoint, age.Seconds)
		}
	}
}
