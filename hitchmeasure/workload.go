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
	systemWords   = 800 // of an organisation's shared prompt
	turnWords     = 120 // of one message
	maxTurns      = 12  // then a chat starts anew
	turnLimit     = 20 * time.Second
	workloadModel = "guide-llm"
	largeOrgShare = 4 // large organisations have this many times the chats
	largeOrgEvery = 4
)

// shape is how a load arrives and what it asks of the engines.
type shape struct {
	// perEngine is the turns that arrive in a second for each engine.
	perEngine float64
	// answerTokens is the length of an answer.
	answerTokens int
	// tokensPerSecond and prefillPerSecond are the rates of an engine.
	tokensPerSecond  float64
	prefillPerSecond float64
}

// apply returns the deployment with engines of the shape's rates.
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
	// IsFirst is set on the first turn of a chat, for which no cache can help but
	// by the organisation's shared prompt.
	IsFirst bool
}

// send serves a turn and returns the whole answer.
type send func(ctx context.Context, t turn) (hitchclient.ChatAnswer, error)

// chatState is one chat of the load. Its turns run one after the other.
type chatState struct {
	mu           sync.Mutex
	name         string
	organisation int
	messages     []hitchfake.Message
	turns        int
	generation   int
	random       *rand.Rand
}

// arrival is a turn of a chat at a time after the start of the load.
type arrival struct {
	after time.Duration
	chat  int
}

// workload is chats that return. When which chat returns doesn't depend on how
// the turns are served, so that all contenders get the same load.
type workload struct {
	model    string
	shape    shape
	shared   []string
	chats    []*chatState
	arrivals []arrival
}

// newWorkload returns a load of chats. Large organisations have more of them.
func newWorkload(s Settings, model string, sh shape) *workload {
	w := &workload{model: model, shape: sh}
	var owners []int
	for n := range s.Organisations {
		w.shared = append(w.shared, words(rand.New(rand.NewPCG(s.Seed, uint64(n)+1)), systemWords))
		share := 1
		if n%largeOrgEvery == 0 {
			share = largeOrgShare
		}
		for range share {
			owners = append(owners, n)
		}
	}
	for n := range s.Chats {
		w.chats = append(w.chats, &chatState{
			name: fmt.Sprintf("chat-%d", n), organisation: owners[n%len(owners)],
			random: rand.New(rand.NewPCG(s.Seed, uint64(n)<<32)),
		})
	}
	w.arrivals = arrivalsOf(s, sh)
	return w
}

// arrivalsOf returns a Poisson process of turns. The chat is drawn by how recently
// it was active, log-uniform in its rank: most return soon, some after long.
func arrivalsOf(s Settings, sh shape) []arrival {
	random := rand.New(rand.NewPCG(s.Seed, 0))
	recent := random.Perm(s.Chats)
	rate := sh.perEngine * float64(s.Engines)
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

func words(random *rand.Rand, n int) string {
	var b strings.Builder
	for range n {
		b.WriteString(vocabulary[random.IntN(len(vocabulary))])
		b.WriteByte(' ')
	}
	return b.String()
}

// next returns the next turn of a chat.
func (w *workload) next(c *chatState) turn {
	if c.turns == maxTurns {
		c.messages, c.turns = nil, 0
		c.generation++
	}
	if c.turns == 0 {
		c.messages = []hitchfake.Message{{Role: "system", Content: w.shared[c.organisation]}}
	}
	c.messages = append(c.messages, hitchfake.Message{Role: "user", Content: words(c.random, turnWords)})
	c.turns++
	t := turn{
		Chat: fmt.Sprintf("%s-%d", c.name, c.generation), Organisation: c.organisation, IsFirst: c.turns == 1,
		Request: hitchfake.ChatRequest{
			Model: w.model, Stream: true, Messages: append([]hitchfake.Message{}, c.messages...),
			MinTokens: w.shape.answerTokens, MaxTokens: w.shape.answerTokens,
		},
	}
	t.Body, _ = json.Marshal(t.Request)
	return t
}

// answered adds the answer to the chat's history.
func (c *chatState) answered(text string) {
	c.messages = append(c.messages, hitchfake.Message{Role: "assistant", Content: text})
}

// failed takes the last message back, so that the caller asks it again later.
func (c *chatState) failed() {
	c.messages = c.messages[:len(c.messages)-1]
	c.turns--
}

// run sends each turn when it arrives, and returns once all have ended.
func (w *workload) run(ctx context.Context, serve send, tally *tally) {
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
		group.Go(func() { w.oneTurn(ctx, w.chats[a.chat], serve, tally) })
	}
	group.Wait()
}

func (w *workload) oneTurn(ctx context.Context, c *chatState, serve send, tally *tally) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := w.next(c)
	turnCtx, cancel := context.WithTimeout(ctx, turnLimit)
	defer cancel()
	answer, err := serve(turnCtx, t)
	if err == nil && answer.Text != hitchfake.ResponseText(t.Request) {
		err = errCrossed
	}
	tally.add(t, answer, err)
	if err != nil {
		c.failed()
		return
	}
	c.answered(answer.Text)
}
