package hitchstore

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfake"
)

const (
	linearSeeds   = 40
	linearClients = 3
	// linearWriters is how many goroutines share a client.
	linearWriters = 2
	linearOps     = 12
	endOfTime     = int64(1) << 60
)

// casInput is a read, or a write that expects the value was. Values are unique to
// their writes, and a key that doesn't exist has the empty one.
type casInput struct {
	read  bool
	was   string
	value string
}

type casOutput struct {
	// outcome is as of kindOf.
	outcome string
	// value is what was read, or found by a write that lost.
	value string
}

// casModel says which next values of the key explain an operation.
var casModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		now, in, out := state.(string), input.(casInput), output.(casOutput)
		switch {
		case in.read && out.value == now:
			return []any{now}
		case !in.read && out.outcome == "none" && now == in.was:
			return []any{in.value}
		case out.outcome == "conflict" && now == out.value && now != in.was:
			return []any{now}
		case out.outcome == "unavailable":
			return []any{now}
		case out.outcome == "unknown" && now == in.was:
			return []any{now, in.value}
		case out.outcome == "unknown":
			return []any{now}
		default:
			return nil
		}
	},
}

// history records the operations of several writers. Its clock counts calls and
// returns, as many of them fall on one instant of the bubble's clock.
type history struct {
	clock atomic.Int64
	mu    sync.Mutex
	ops   []porcupine.Operation
	// revisions is what each value's revision was seen to be.
	revisions map[string]Revision
	outcomes  map[string]int
}

func (h *history) record(t *testing.T, client int, in casInput, do func() (Entry, error)) Entry {
	call := h.clock.Add(1)
	entry, err := do()
	end := h.clock.Add(1)
	out := casOutput{outcome: kindOf(err), value: string(entry.Value)}
	var conflict *ConflictError
	if out.outcome == "conflict" {
		qt.Check(t, err, qt.ErrorAs, &conflict)
		entry = conflict.Now
		out.value = string(entry.Value)
	}
	if out.outcome == "unknown" {
		// It may still take effect at any time.
		end = endOfTime
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outcomes[out.outcome]++
	if in.read && err != nil {
		return Entry{}
	}
	if entry.Exists {
		seen, ok := h.revisions[out.value]
		qt.Check(t, !ok || seen == entry.Revision, qt.IsTrue, qt.Commentf("%q has revisions %d and %d", out.value, seen, entry.Revision))
		h.revisions[out.value] = entry.Revision
	}
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
	return entry
}

// explainable leaves out the writes that took no effect that anyone saw: those
// that were not sent, and those of unknown effect whose value was never seen. A
// value that took effect is seen by the last read or by the writer that replaces
// it, which has to know its revision. Leaving them out keeps the check short.
func (h *history) explainable() []porcupine.Operation {
	return slices.DeleteFunc(slices.Clone(h.ops), func(op porcupine.Operation) bool {
		in, out := op.Input.(casInput), op.Output.(casOutput)
		_, seen := h.revisions[in.value]
		return out.outcome == "unavailable" || out.outcome == "unknown" && in.value != "" && !seen
	})
}

// work reads the key, and writes or deletes it on the revision that it knows.
func (h *history) work(t *testing.T, c *Client, id int, random *rand.Rand) {
	var known Entry
	for n := range linearOps {
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		in := casInput{was: string(known.Value), value: fmt.Sprintf("%d-%d", id, n)}
		switch {
		case n == 0 || random.IntN(4) == 0:
			known = h.record(t, id, casInput{read: true}, func() (Entry, error) { return c.Get(t.Context(), "k") })
		case known.Exists && random.IntN(3) == 0:
			in.value = ""
			known = h.record(t, id, in, func() (Entry, error) {
				return Entry{}, c.Delete(t.Context(), "k", known.Revision)
			})
		default:
			known = h.record(t, id, in, func() (Entry, error) {
				return c.Swap(t.Context(), "k", known.Revision, []byte(in.value), 0)
			})
		}
	}
}

// disturb switches faults on and off until it is stopped.
func disturb(r *rig, random *rand.Rand, stop <-chan struct{}) {
	kinds := []hitchfake.FaultKind{
		hitchfake.FaultDropResponses, hitchfake.FaultDropResponses, hitchfake.FaultUnavailable,
		hitchfake.FaultSlow, hitchfake.FaultDelayWrite, hitchfake.FaultDisconnect,
	}
	for {
		r.store.Faults.Set(hitchfake.Fault{
			Kind:   kinds[random.IntN(len(kinds))],
			Path:   pathTxn,
			Share:  0.2 + 0.7*random.Float64(),
			Millis: 1 + random.IntN(4000),
		})
		if random.IntN(4) == 0 {
			r.network.StallConnections("store-1:80")
		}
		select {
		case <-time.After(time.Duration(random.IntN(3000)) * time.Millisecond):
		case <-stop:
			return
		}
	}
}

// The operations of several writers on one key must have an order that explains
// all of their results, while the store loses answers, answers late, lets writes
// land late and goes out.
func TestSwapIsLinearizable(t *testing.T) {
	var mu sync.Mutex
	total := make(map[string]int)
	for seed := range uint64(linearSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			withRig(t, func(t *testing.T, r *rig) {
				h := history{revisions: make(map[string]Revision), outcomes: make(map[string]int)}
				stop := make(chan struct{})
				go disturb(r, rand.New(rand.NewPCG(seed, 0)), stop)
				var writers sync.WaitGroup
				for i := range linearClients * linearWriters {
					c := r.client
					if i%linearWriters == 0 {
						r.client = r.newClient(fmt.Sprintf("router-%d", i))
						c = r.client
					}
					writers.Go(func() { h.work(t, c, i, rand.New(rand.NewPCG(seed, uint64(i)+1))) })
				}
				writers.Wait()
				close(stop)
				time.Sleep(10 * time.Second)
				r.store.Faults.Set()
				time.Sleep(time.Minute)
				last := r.newClient("reader")
				h.record(t, linearClients*linearWriters, casInput{read: true}, func() (Entry, error) { return last.Get(t.Context(), "k") })
				qt.Check(t, porcupine.CheckOperations(casModel.ToModel(), h.explainable()), qt.IsTrue)
				mu.Lock()
				defer mu.Unlock()
				for outcome, n := range h.outcomes {
					total[outcome] += n
				}
			})
		})
	}
	t.Logf("outcomes: %v", total)
	for _, outcome := range []string{"none", "conflict", "unknown"} {
		qt.Check(t, total[outcome] > 0, qt.IsTrue, qt.Commentf("no operation had the outcome %s", outcome))
	}
}
