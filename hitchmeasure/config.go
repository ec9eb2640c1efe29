package hitchmeasure

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchdev"
	"citronhitch.example/citronhitch/hitchfake"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchnode"
)

// rolloutBound is the maximum time from the acceptance of a change until all routers
// use it or refuse requests, in seconds.
const rolloutBound = 5.0

// Poll interval and timeout of the wait for a rollout.
const (
	pollInterval   = 5 * time.Millisecond
	rolloutTimeout = 15 * time.Second
)

// rolloutCase is a fault that is injected during the rollout of a change.
type rolloutCase struct {
	name    string
	changes int
	// injectFault is called right after a change is accepted, clearFault after its
	// rollout.
	injectFault func(f *hitchdev.Fleet)
	clearFault  func(f *hitchdev.Fleet)
}

var rolloutCases = []rolloutCase{
	{"Quiet", 10, func(*hitchdev.Fleet) {}, func(*hitchdev.Fleet) {}},
	{"StoreOutAfterAccept", 6, func(f *hitchdev.Fleet) { f.Store().Faults.Set(hitchfake.Fault{Kind: hitchfake.FaultUnavailable}) }, clearStoreFaults},
	{"StoreLosesAnswers", 6, func(f *hitchdev.Fleet) {
		f.Store().Faults.Set(hitchfake.Fault{Kind: hitchfake.FaultDropResponses, Share: 0.5})
	}, clearStoreFaults},
	{"RouterKilledAfterAccept", 3, func(f *hitchdev.Fleet) { f.KillRouter(f.Routers()[0]) }, func(f *hitchdev.Fleet) {
		_, _ = f.AddRouter(context.Background())
	}},
}

func clearStoreFaults(f *hitchdev.Fleet) { f.Store().Faults.Set() }

// Config measures the time from the acceptance of a change until it is active on all
// routers. Value is the longest time, in seconds.
func Config(ctx context.Context, s Settings) (r Result, err error) {
	s = s.WithDefaults()
	fleet, err := s.startFleet(ctx, s.deployment())
	if err != nil {
		return r, err
	}
	defer stopFleet(ctx, fleet)
	random := rand.New(rand.NewPCG(s.Seed, 3))
	r = Result{Measure: "Config", Bound: rolloutBound, Table: Table{Columns: []string{"Case", "Changes", "LongestSeconds", "MeanSeconds", "Reverted"}}}
	reverted := 0
	for _, c := range rolloutCases {
		longest, mean, caseReverted, err := c.run(ctx, fleet, random)
		if err != nil {
			return r, fmt.Errorf("%s: %w", c.name, err)
		}
		r.Value = max(r.Value, longest)
		reverted += caseReverted
		r.Table = r.Table.With(c.name, c.changes, longest, mean, caseReverted)
	}
	raceWinners, err := raceOperators(ctx, fleet)
	if err != nil {
		return r, err
	}
	r.Table = r.Table.With("OperatorsRace", raceRounds, 0.0, 0.0, 0)
	r.Notes = append(r.Notes, fmt.Sprintf("RaceRounds=%d RaceWinners=%d", raceRounds, raceWinners))
	r.Met = r.Value <= r.Bound && reverted == 0 && raceWinners == raceRounds
	return r, nil
}

// run makes the case's changes and waits for the rollout of each.
func (c rolloutCase) run(ctx context.Context, f *hitchdev.Fleet, random *rand.Rand) (longest, mean float64, reverted int, err error) {
	for n := range c.changes {
		routers := f.Routers()
		node := routers[1+random.IntN(len(routers)-1)]
		revision, err := applyChange(ctx, node, toggleZone(f, n))
		if err != nil {
			return 0, 0, 0, err
		}
		start := time.Now()
		c.injectFault(f)
		changeReverted, err := awaitRevision(ctx, f, revision)
		took := time.Since(start).Seconds()
		c.clearFault(f)
		if err != nil {
			return 0, 0, 0, err
		}
		longest, mean, reverted = max(longest, took), mean+took/float64(c.changes), reverted+changeReverted
		if err := awaitServing(ctx, f); err != nil {
			return 0, 0, 0, err
		}
	}
	return longest, mean, reverted, nil
}

// toggleZone returns the intent to take a zone out of service if n is even, or to
// return it if n is odd.
func toggleZone(f *hitchdev.Fleet, n int) hitchconfig.Intent {
	kind := hitchconfig.TakeZoneOut
	if n%2 == 1 {
		kind = hitchconfig.ReturnZone
	}
	return hitchconfig.Intent{Kind: kind, Zone: f.Deployment.Zone(1)}
}

// applyChange plans and confirms an intent at one router and returns its revision.
func applyChange(ctx context.Context, node *hitchnode.Node, intent hitchconfig.Intent) (uint64, error) {
	operators := node.Operators()
	plan, err := operators.Plan(ctx, "measure", intent)
	if err != nil {
		return 0, err
	}
	token, err := plan.Token.Encode()
	if err != nil {
		return 0, err
	}
	accepted, err := operators.Confirm(ctx, "measure", token)
	return accepted.Change.Revision, err
}

// awaitRevision waits until all routers have a revision or refuse requests. It counts
// how often a router went back to an older revision.
func awaitRevision(ctx context.Context, f *hitchdev.Fleet, revision uint64) (reverted int, err error) {
	highest := make(map[hitchfleet.InstanceID]uint64)
	deadline := time.Now().Add(rolloutTimeout)
	for time.Now().Before(deadline) {
		isActive := true
		for _, node := range f.Routers() {
			current, isServing := node.Revision()
			id := node.Instance().ID
			if current < highest[id] {
				reverted++
			}
			highest[id] = max(highest[id], current)
			isActive = isActive && (current >= revision || !isServing)
		}
		if isActive {
			return reverted, nil
		}
		sleepFor(ctx, pollInterval)
	}
	return reverted, errors.New("timed out waiting for the change to become active on all routers")
}

// awaitServing waits until all routers serve requests, so that a case doesn't affect
// the next one.
func awaitServing(ctx context.Context, f *hitchdev.Fleet) error {
	deadline := time.Now().Add(rolloutTimeout)
	for time.Now().Before(deadline) {
		allServing := true
		for _, node := range f.Routers() {
			_, isServing := node.Revision()
			allServing = allServing && isServing
		}
		if allServing {
			return nil
		}
		sleepFor(ctx, pollInterval)
	}
	return errors.New("timed out waiting for all routers to serve requests")
}

// raceRounds is how often two operators confirm conflicting changes.
const raceRounds = 5

// raceOperators confirms two different changes to the same revision concurrently at
// two routers, in each round. It returns the number of accepted confirmations.
func raceOperators(ctx context.Context, f *hitchdev.Fleet) (accepted int, err error) {
	for range raceRounds {
		routers := f.Routers()
		var tokens []string
		for n, node := range routers[:2] {
			limits := hitchconfig.Limits{QueueLength: 10 + n}
			plan, err := node.Operators().Plan(ctx, "measure", hitchconfig.Intent{Kind: hitchconfig.SetLimits, NewLimits: &limits})
			if err != nil {
				return accepted, err
			}
			token, err := plan.Token.Encode()
			if err != nil {
				return accepted, err
			}
			tokens = append(tokens, token)
		}
		accepted += confirmConcurrently(ctx, routers, tokens)
		sleepFor(ctx, time.Second)
		limits := hitchconfig.Limits{QueueLength: 64}
		if _, err := applyChange(ctx, routers[2], hitchconfig.Intent{Kind: hitchconfig.SetLimits, NewLimits: &limits}); err != nil {
			return accepted, err
		}
	}
	return accepted, nil
}

func confirmConcurrently(ctx context.Context, routers []*hitchnode.Node, tokens []string) (accepted int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for n, token := range tokens {
		group.Go(func() {
			_, err := routers[n].Operators().Confirm(ctx, "measure", token)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				accepted++
			}
		})
	}
	group.Wait()
	return accepted
}
