package hitchmeasure

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchclient"
	"citronhitch.example/citronhitch/hitchdev"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchforward"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// pick chooses an engine for a turn.
type pick func(t turn, engines []*hitchdev.EngineHost) *hitchdev.EngineHost

// baseline serves turns at engines of its own, which it picks by a simple rule. It
// knows at once which engines there are, and its retries go to another one.
type baseline struct {
	name   string
	pool   *hitchdev.EnginePool
	pick   pick
	client hitchforward.Client
}

// baselineTries bounds the engines that a baseline tries for a turn.
const baselineTries = 4

// serve is the send of the load.
func (b *baseline) serve(ctx context.Context, t turn) (a hitchclient.ChatAnswer, err error) {
	for a.Tries < baselineTries {
		engines := b.pool.Engines()
		if len(engines) == 0 {
			return a, errors.New("no engine is left")
		}
		a.Tries++
		if err = b.serveAt(ctx, t, b.pick(t, engines), &a); err == nil {
			return a, nil
		}
	}
	return a, err
}

func (b *baseline) serveAt(ctx context.Context, t turn, host *hitchdev.EngineHost, a *hitchclient.ChatAnswer) error {
	var text strings.Builder
	var collected collector
	a.Started, a.FirstToken, a.Tokens = time.Now(), time.Time{}, 0
	stream := &hitchforward.Stream{
		Call: hitchforward.Call{Method: http.MethodPost, Path: "/v1/chat/completions", Body: t.Body, Idempotent: true},
		Deliver: func(event hitchforward.Event) error {
			token, err := collected.take(event)
			text.WriteString(token)
			if token != "" {
				a.Tokens++
			}
			if token != "" && a.FirstToken.IsZero() {
				a.FirstToken = time.Now()
			}
			return err
		},
	}
	var ev hitchoutcome.DispatchTracker
	if err := b.client.Stream(ctx, stream, host.Endpoint, &ev); err != nil {
		return err
	}
	a.Ended, a.Text, a.PromptTokens, a.CachedTokens = time.Now(), text.String(), collected.prompt, collected.cached
	return nil
}

// randomPick takes any engine.
func randomPick(seed uint64) pick {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 1))
	return func(_ turn, engines []*hitchdev.EngineHost) *hitchdev.EngineHost {
		mu.Lock()
		defer mu.Unlock()
		return engines[random.IntN(len(engines))]
	}
}

// reportedPick takes the engine with the least load by its lagging reports. The
// reports are as old as those that routers get.
func reportedPick(lag time.Duration) pick {
	var mu sync.Mutex
	reported := make(map[hitchfleet.EndpointID]int)
	var next time.Time
	return func(_ turn, engines []*hitchdev.EngineHost) *hitchdev.EngineHost {
		mu.Lock()
		defer mu.Unlock()
		if now := time.Now(); !now.Before(next) {
			next = now.Add(lag)
			for _, e := range engines {
				reported[e.Endpoint.ID] = e.Engine.CurrentLoad().TokensOutstanding
			}
		}
		return slices.MinFunc(engines, func(a, b *hitchdev.EngineHost) int {
			return reported[a.Endpoint.ID] - reported[b.Endpoint.ID]
		})
	}
}

// rendezvousPick takes the first engine in the chat's rendezvous order, without a
// bound on its load.
func rendezvousPick(t turn, engines []*hitchdev.EngineHost) *hitchdev.EngineHost {
	key := hitchfleet.KeyOf(fmt.Sprint(t.Organisation), t.Chat)
	return hitchfleet.Rank(nil, key, engines, func(e *hitchdev.EngineHost) hitchfleet.Key { return e.Endpoint.Key() })[0].Candidate
}

// knowingBound is the multiple of the mean load up to which the all-knowing
// directory uses an engine.
const knowingBound = 1.25

// knowingPick takes the engine that has the most of the prompt cached now, among
// those within a bound of the mean load now, and of two alike the less loaded.
func knowingPick(t turn, engines []*hitchdev.EngineHost) *hitchdev.EngineHost {
	loads := make([]int, len(engines))
	total := 0
	for i, e := range engines {
		loads[i] = e.Engine.CurrentLoad().TokensOutstanding
		total += loads[i]
	}
	limit := max(knowingBound*float64(total)/float64(len(engines)), knowingFloor)
	best, bestCached := -1, 0
	for i, e := range engines {
		cached := e.Engine.CachedTokens(t.Request)
		if float64(loads[i]) > limit {
			continue
		}
		if best < 0 || cached > bestCached || cached == bestCached && loads[i] < loads[best] {
			best, bestCached = i, cached
		}
	}
	return engines[max(best, 0)]
}

// knowingFloor is the load, in tokens, below which the mean doesn't bind.
const knowingFloor = 8 << 10
