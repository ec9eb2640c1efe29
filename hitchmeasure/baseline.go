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

// pickFunc selects an engine for a turn.
type pickFunc func(t turn, engines []*hitchdev.EngineHost) *hitchdev.EngineHost

// baseline serves turns on its own engines, which it selects by a simple rule. It
// always has the current list of engines and retries a failed turn after a new
// selection.
type baseline struct {
	name   string
	pool   *hitchdev.EnginePool
	pick   pickFunc
	client hitchforward.Client
}

// maxBaselineAttempts is the maximum number of attempts for a turn.
const maxBaselineAttempts = 4

// serve is the sendFunc of the baseline.
func (b *baseline) serve(ctx context.Context, t turn) (response hitchclient.ChatResponse, err error) {
	for response.Attempts < maxBaselineAttempts {
		engines := b.pool.Engines()
		if len(engines) == 0 {
			return response, errors.New("no engine is running")
		}
		response.Attempts++
		if err = b.serveOn(ctx, t, b.pick(t, engines), &response); err == nil {
			return response, nil
		}
	}
	return response, err
}

func (b *baseline) serveOn(ctx context.Context, t turn, host *hitchdev.EngineHost, response *hitchclient.ChatResponse) error {
	var text strings.Builder
	var usage usageCollector
	response.Started, response.FirstToken, response.Tokens = time.Now(), time.Time{}, 0
	stream := &hitchforward.Stream{
		Call: hitchforward.Call{Method: http.MethodPost, Path: "/v1/chat/completions", Body: t.Body, Idempotent: true},
		Deliver: func(event hitchforward.Event) error {
			token, err := usage.parseEvent(event)
			text.WriteString(token)
			if token != "" {
				response.Tokens++
			}
			if token != "" && response.FirstToken.IsZero() {
				response.FirstToken = time.Now()
			}
			return err
		},
	}
	var tracker hitchoutcome.DispatchTracker
	if err := b.client.Stream(ctx, stream, host.Endpoint, &tracker); err != nil {
		return err
	}
	response.Ended, response.Text, response.PromptTokens, response.CachedTokens = time.Now(), text.String(), usage.prompt, usage.cached
	return nil
}

// randomPick selects an engine at random.
func randomPick(seed uint64) pickFunc {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 1))
	return func(_ turn, engines []*hitchdev.EngineHost) *hitchdev.EngineHost {
		mu.Lock()
		defer mu.Unlock()
		return engines[random.IntN(len(engines))]
	}
}

// leastReportedPick selects the engine with the least reported load. The reports are
// updated at the interval lag, as those that routers receive.
func leastReportedPick(lag time.Duration) pickFunc {
	var mu sync.Mutex
	reported := make(map[hitchfleet.EndpointID]int)
	var nextUpdate time.Time
	return func(_ turn, engines []*hitchdev.EngineHost) *hitchdev.EngineHost {
		mu.Lock()
		defer mu.Unlock()
		if now := time.Now(); !now.Before(nextUpdate) {
			nextUpdate = now.Add(lag)
			for _, e := range engines {
				reported[e.Endpoint.ID] = e.Engine.CurrentLoad().TokensOutstanding
			}
		}
		return slices.MinFunc(engines, func(a, b *hitchdev.EngineHost) int {
			return reported[a.Endpoint.ID] - reported[b.Endpoint.ID]
		})
	}
}

// rendezvousPick selects the first engine in the chat's rendezvous hash order,
// without a bound on its load.
func rendezvousPick(t turn, engines []*hitchdev.EngineHost) *hitchdev.EngineHost {
	key := hitchfleet.KeyOf(fmt.Sprint(t.Organisation), t.Chat)
	return hitchfleet.Rank(nil, key, engines, func(e *hitchdev.EngineHost) hitchfleet.Key { return e.Endpoint.Key() })[0].Candidate
}

// oracleLoadBound is the multiple of the mean load up to which the oracle uses an
// engine.
const oracleLoadBound = 1.25

// oraclePick selects the engine with the most cached tokens of the prompt among those
// within the load bound, and the less loaded of two with equally many. It reads the
// current caches and loads of all engines, which a router can't. The table calls this
// variant AllKnowing.
func oraclePick(t turn, engines []*hitchdev.EngineHost) *hitchdev.EngineHost {
	loads := make([]int, len(engines))
	total := 0
	for i, e := range engines {
		loads[i] = e.Engine.CurrentLoad().TokensOutstanding
		total += loads[i]
	}
	limit := max(oracleLoadBound*float64(total)/float64(len(engines)), oracleMinLoad)
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

// oracleMinLoad is the load, in tokens, up to which oraclePick uses any engine
// regardless of the mean.
const oracleMinLoad = 8 << 10
