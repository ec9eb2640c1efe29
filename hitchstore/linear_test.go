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
	maxTime       = int64(1) << 60
)

// casInput is a read, or a write that expects a value. Each write has a unique
// value; the empty value means that the key doesn't exist.
type casInput struct {
	isRead   bool
	expected string
	value    string
}

type casOutput struct {
	// outcome is the result of kindOf.
	outcome string
	// value is the value that was read, or found by a write with a conflict.
	value string
}

// casModel is the specification of one key with compare-and-swap. Its Step returns the
// values of the key that are possible after an operation.
var casModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		now, in, out := state.(string), input.(casInput), output.(casOutput)
		switch {
		case in.isRead && out.value == now:
			return []any{now}
		case !in.isRead && out.outcome == "none" && now == in.expected:
			return []any{in.value}
		case out.outcome == "conflict" && now == out.value && now != in.expected:
			return []any{now}
		case out.outcome == "unavailable":
			return []any{now}
		case out.outcome == "unknown" && now == in.expected:
			return []any{now, in.value}
		case out.outcome == "unknown":
			return []any{now}
		default:
			return nil
		}
	},
}

// history records the operations of several writers. Its clock counts calls and
// returns, because many of them have the same time on the synctest clock.
type history struct {
	clock atomic.Int64
	mu    sync.Mutex
	ops   []porcupine.Operation
	// revisions has the observed revision of each value.
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
		entry = conflict.Current
		out.value = string(entry.Value)
	}
	if out.outcome == "unknown" {
		// The write may still take effect at any time.
		end = maxTime
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outcomes[out.outcome]++
	if in.isRead && err != nil {
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

// checkableOps returns the operations without those writes whose effect nobody
// observed: writes that were not sent, and writes of unknown effect whose value was
// never read. A value that took effect is observed by the last read, or by the writer
// that replaces it, which needs its revision. Leaving them out keeps the check short.
func (h *history) checkableOps() []porcupine.Operation {
	return slices.DeleteFunc(slices.Clone(h.ops), func(op porcupine.Operation) bool {
		in, out := op.Input.(casInput), op.Output.(casOutput)
		_, seen := h.revisions[in.value]
		return out.outcome == "unavailable" || out.outcome == "unknown" && in.value != "" && !seen
	})
}

// runWriter reads the key, and writes or deletes it at the revision last read.
func (h *history) runWriter(t *testing.T, c *Client, id int, random *rand.Rand) {
	var known Entry
	for n := range linearOps {
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		in := casInput{expected: string(known.Value), value: fmt.Sprintf("%d-%d", id, n)}
		switch {
		case n == 0 || random.IntN(4) == 0:
			known = h.record(t, id, casInput{isRead: true}, func() (Entry, error) { return c.Get(t.Context(), "k") })
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

// injectFaults sets random faults until stop is closed.
func injectFaults(r *rig, random *rand.Rand, stop <-chan struct{}) {
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

// The operations of several writers on one key must be linearizable, while the store
// drops responses, responds late, applies writes late and is unavailable.
func TestSwapIsLinearizable(t *testing.T) {
	var mu sync.Mutex
	total := make(map[string]int)
	for seed := range uint64(linearSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			withRig(t, func(t *testing.T, r *rig) {
				h := history{revisions: make(map[string]Revision), outcomes: make(map[string]int)}
				stop := make(chan struct{})
				go injectFaults(r, rand.New(rand.NewPCG(seed, 0)), stop)
				var writers sync.WaitGroup
				for i := range linearClients * linearWriters {
					c := r.client
					if i%linearWriters == 0 {
						r.client = r.newClient(fmt.Sprintf("router-%d", i))
						c = r.client
					}
					writers.Go(func() { h.runWriter(t, c, i, rand.New(rand.NewPCG(seed, uint64(i)+1))) })
				}
				writers.Wait()
				close(stop)
				time.Sleep(10 * time.Second)
				r.store.Faults.Set()
				time.Sleep(time.Minute)
				last := r.newClient("reader")
				h.record(t, linearClients*linearWriters, casInput{isRead: true}, func() (Entry, error) { return last.Get(t.Context(), "k") })
				qt.Check(t, porcupine.CheckOperations(casModel.ToModel(), h.checkableOps()), qt.IsTrue)
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
