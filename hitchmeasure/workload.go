package hitchmeasure

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchclient"
	"citronhitch.example/citronhitch/hitchdev"
	"citronhitch.example/citronhitch/hitchfake"
)

// Sizes of the load.
const (
	systemWords    = 800 // in an organisation's system prompt
	turnWords      = 120 // in one message
	maxTurns       = 12  // after which a chat is replaced by a new one
	turnTimeout    = 20 * time.Second
	workloadModel  = "guide-llm"
	largeOrgWeight = 4 // large organisations have this many times the chats
	largeOrgStride = 4
)

// shape is the arrival rate of a load, the length of its responses and the rates of
// its engines.
type shape struct {
	// turnsPerEngine is the number of turns that arrive per second and engine.
	turnsPerEngine float64
	// responseTokens is the length of a response.
	responseTokens int
	// tokensPerSecond and prefillPerSecond are an engine's rates of generated and of
	// prefilled tokens.
	tokensPerSecond  float64
	prefillPerSecond float64
}

// apply returns the deployment with the engine rates of the shape.
func (sh shape) apply(d hitchdev.Deployment) hitchdev.Deployment {
	d.TokensPerSecond, d.PrefillTokensPerSecond = sh.tokensPerSecond, sh.prefillPerSecond
	return d
}

// turn is one request of the load.
type turn struct {
	Chat         string
	Organisation int
	Request      hitchfake.ChatRequest
	Body         []byte
	// IsFirst is set on the first turn of a chat, of which only the organisation's
	// system prompt can be cached.
	IsFirst bool
}

// sendFunc sends a turn and returns the complete response.
type sendFunc func(ctx context.Context, t turn) (hitchclient.ChatResponse, error)

// chatState is one chat of the load. Its turns run one at a time.
type chatState struct {
	mu           sync.Mutex
	name         string
	organisation int
	messages     []hitchfake.Message
	turns        int
	generation   int
	random       *rand.Rand
}

// arrival is the time of a turn, relative to the start of the load, and its chat.
type arrival struct {
	after time.Duration
	chat  int
}

// workload is a load of chats with several turns. The times of the turns don't depend
// on the responses, so that all variants get the same load.
type workload struct {
	model         string
	shape         shape
	systemPrompts []string
	chats         []*chatState
	arrivals      []arrival
}

// newWorkload returns a load of chats. Every fourth organisation is large and has more
// chats than the others.
func newWorkload(s Settings, model string, sh shape) *workload {
	w := &workload{model: model, shape: sh}
	var owners []int
	for n := range s.Organisations {
		w.systemPrompts = append(w.systemPrompts, randomText(rand.New(rand.NewPCG(s.Seed, uint64(n)+1)), systemWords))
		weight := 1
		if n%largeOrgStride == 0 {
			weight = largeOrgWeight
		}
		for range weight {
			owners = append(owners, n)
		}
	}
	for n := range s.Chats {
		w.chats = append(w.chats, &chatState{
			name: fmt.Sprintf("chat-%d", n), organisation: owners[n%len(owners)],
			random: rand.New(rand.NewPCG(s.Seed, uint64(n)<<32)),
		})
	}
	w.arrivals = poissonArrivals(s, sh)
	return w
}

// poissonArrivals returns the turns as a Poisson process. The chat of a turn is drawn
// log-uniformly from the chats sorted by their last turn: most chats continue soon,
// some after a long time.
func poissonArrivals(s Settings, sh shape) []arrival {
	random := rand.New(rand.NewPCG(s.Seed, 0))
	recent := random.Perm(s.Chats)
	rate := sh.turnsPerEngine * float64(s.Engines)
	var all []arrival
	for at := 0.0; at < float64(s.Seconds); at += random.ExpFloat64() / rate {
		rank := int(math.Pow(float64(s.Chats), random.Float64())) - 1
		chat := recent[rank]
		copy(recent[1:rank+1], recent[:rank])
		recent[0] = chat
		all = append(all, arrival{time.Duration(at * float64(time.Second)), chat})
	}
	return all
}

var vocabulary = strings.Fields("tank ticket pupils Friday ray feeding seal lunch school bus otter reef tide kelp glass floor tour hour price child group guide")

func randomText(random *rand.Rand, n int) string {
	var b strings.Builder
	for range n {
		b.WriteString(vocabulary[random.IntN(len(vocabulary))])
		b.WriteByte(' ')
	}
	return b.String()
}

// nextTurn returns the next turn of a chat, or the first one of a new chat after
// maxTurns.
func (w *workload) nextTurn(c *chatState) turn {
	if c.turns == maxTurns {
		c.messages, c.turns = nil, 0
		c.generation++
	}
	if c.turns == 0 {
		c.messages = []hitchfake.Message{{Role: "system", Content: w.systemPrompts[c.organisation]}}
	}
	c.messages = append(c.messages, hitchfake.Message{Role: "user", Content: randomText(c.random, turnWords)})
	c.turns++
	t := turn{
		Chat: fmt.Sprintf("%s-%d", c.name, c.generation), Organisation: c.organisation, IsFirst: c.turns == 1,
		Request: hitchfake.ChatRequest{
			Model: w.model, Stream: true, Messages: append([]hitchfake.Message{}, c.messages...),
			MinTokens: w.shape.responseTokens, MaxTokens: w.shape.responseTokens,
		},
	}
	t.Body, _ = json.Marshal(t.Request)
	return t
}

// appendResponse adds a response to the chat's history.
func (c *chatState) appendResponse(text string) {
	c.messages = append(c.messages, hitchfake.Message{Role: "assistant", Content: text})
}

// removeLastMessage removes the message of a failed turn from the chat's history.
func (c *chatState) removeLastMessage() {
	c.messages = c.messages[:len(c.messages)-1]
	c.turns--
}

// run sends each turn at its arrival time, and returns once all have ended.
func (w *workload) run(ctx context.Context, serve sendFunc, tally *tally) {
	start := time.Now()
	var group sync.WaitGroup
	for _, a := range w.arrivals {
		timer := time.NewTimer(time.Until(start.Add(a.after)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			group.Wait()
			return
		}
		group.Go(func() { w.runTurn(ctx, w.chats[a.chat], serve, tally) })
	}
	group.Wait()
}

func (w *workload) runTurn(ctx context.Context, c *chatState, serve sendFunc, tally *tally) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := w.nextTurn(c)
	turnCtx, cancel := context.WithTimeout(ctx, turnTimeout)
	defer cancel()
	response, err := serve(turnCtx, t)
	if err == nil && response.Text != hitchfake.ResponseText(t.Request) {
		err = errMismatched
	}
	tally.add(t, response, err)
	if err != nil {
		c.removeLastMessage()
		return
	}
	c.appendResponse(response.Text)
}
