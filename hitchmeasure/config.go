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

// inForceBound is the time from an accept to its force on all routers, in seconds.
const inForceBound = 5.0

// Times of the spread measurement.
const (
	forceStep  = 5 * time.Millisecond
	forceLimit = 15 * time.Second
)

// spreadCase is one way to disturb the spread of a change.
type spreadCase struct {
	name    string
	changes int
	// disturb is called right after each accept; heal afterwards.
	disturb func(f *hitchdev.Fleet)
	heal    func(f *hitchdev.Fleet)
}

var spreadCases = []spreadCase{
	{"Quiet", 10, func(*hitchdev.Fleet) {}, func(*hitchdev.Fleet) {}},
	{"StoreOutAfterAccept", 6, func(f *hitchdev.Fleet) { f.Store().Faults.Set(hitchfake.Fault{Kind: hitchfake.FaultUnavailable}) }, healStore},
	{"StoreLosesAnswers", 6, func(f *hitchdev.Fleet) {
		f.Store().Faults.Set(hitchfake.Fault{Kind: hitchfake.FaultDropResponses, Share: 0.5})
	}, healStore},
	{"RouterKilledAfterAccept", 3, func(f *hitchdev.Fleet) { f.KillRouter(f.Routers()[0]) }, func(f *hitchdev.Fleet) {
		_, _ = f.AddRouter(context.Background())
	}},
}

func healStore(f *hitchdev.Fleet) { f.Store().Faults.Set() }

// Config measures the time from the accept of a change to its force on all
// routers. Value is the longest, in seconds.
func Config(ctx context.Context, s Settings) (r Result, err error) {
	s = s.WithDefaults()
	fleet, err := s.startFleet(ctx, s.deployment())
	if err != nil {
		return r, err
	}
	defer stopFleet(ctx, fleet)
	random := rand.New(rand.NewPCG(s.Seed, 3))
	r = Result{Measure: "Config", Bound: inForceBound, Table: Table{Columns: []string{"Case", "Changes", "LongestSeconds", "MeanSeconds", "Reverted"}}}
	reverted := 0
	for _, c := range spreadCases {
		longest, mean, back, err := c.run(ctx, fleet, random)
		if err != nil {
			return r, fmt.Errorf("%s: %w", c.name, err)
		}
		r.Value = max(r.Value, longest)
		reverted += back
		r.Table = r.Table.With(c.name, c.changes, longest, mean, back)
	}
	won, err := race(ctx, fleet)
	if err != nil {
		return r, err
	}
	r.Table = r.Table.With("OperatorsRace", raceRounds, 0.0, 0.0, 0)
	r.Notes = append(r.Notes, fmt.Sprintf("RaceRounds=%d RaceWinners=%d", raceRounds, won))
	r.Met = r.Value <= r.Bound && reverted == 0 && won == raceRounds
	return r, nil
}

// run makes changes and waits until each is in force.
func (c spreadCase) run(ctx context.Context, f *hitchdev.Fleet, random *rand.Rand) (longest, mean float64, reverted int, err error) {
	for n := range c.changes {
		routers := f.Routers()
		node := routers[1+random.IntN(len(routers)-1)]
		revision, err := change(ctx, node, toggle(f, n))
		if err != nil {
			return 0, 0, 0, err
		}
		start := time.Now()
		c.disturb(f)
		back, err := awaitForce(ctx, f, revision)
		took := time.Since(start).Seconds()
		c.heal(f)
		if err != nil {
			return 0, 0, 0, err
		}
		longest, mean, reverted = max(longest, took), mean+took/float64(c.changes), reverted+back
		if err := awaitServing(ctx, f); err != nil {
			return 0, 0, 0, err
		}
	}
	return longest, mean, reverted, nil
}

// toggle takes a zone out and back in turn.
func toggle(f *hitchdev.Fleet, n int) hitchconfig.Intent {
	kind := hitchconfig.TakeZoneOut
	if n%2 == 1 {
		kind = hitchconfig.ReturnZone
	}
	return hitchconfig.Intent{Kind: kind, Zone: f.Deployment.Zone(1)}
}

// change plans and confirms an intent at one router.
func change(ctx context.Context, node *hitchnode.Node, intent hitchconfig.Intent) (uint64, error) {
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

// awaitForce waits until all routers serve by a revision, or refuse work. It
// counts the routers whose revision went back.
func awaitForce(ctx context.Context, f *hitchdev.Fleet, revision uint64) (reverted int, err error) {
	highest := make(map[hitchfleet.InstanceID]uint64)
	deadline := time.Now().Add(forceLimit)
	for time.Now().Before(deadline) {
		done := true
		for _, node := range f.Routers() {
			has, isServing := node.Revision()
			id := node.Instance().ID
			if has < highest[id] {
				reverted++
			}
			highest[id] = max(highest[id], has)
			done = done && (has >= revision || !isServing)
		}
		if done {
			return reverted, nil
		}
		pauseFor(ctx, forceStep)
	}
	return reverted, errors.New("the change isn't in force in time")
}

// awaitServing waits until all routers serve, so that one case doesn't disturb
// the next.
func awaitServing(ctx context.Context, f *hitchdev.Fleet) error {
	deadline := time.Now().Add(forceLimit)
	for time.Now().Before(deadline) {
		done := true
		for _, node := range f.Routers() {
			_, isServing := node.Revision()
			done = done && isServing
		}
		if done {
			return nil
		}
		pauseFor(ctx, forceStep)
	}
	return errors.New("not all routers serve in time")
}

// raceRounds is how often two operators confirm changes to the same revision.
const raceRounds = 5

// race lets two operators confirm different changes to the same revision at two
// routers. It returns the number of confirmations that were accepted.
func race(ctx context.Context, f *hitchdev.Fleet) (won int, err error) {
	for range raceRounds {
		routers := f.Routers()
		var tokens []string
		for n, node := range routers[:2] {
			limits := hitchconfig.Limits{QueueLength: 10 + n}
			plan, err := node.Operators().Plan(ctx, "measure", hitchconfig.Intent{Kind: hitchconfig.SetLimits, NewLimits: &limits})
			if err != nil {
				return won, err
			}
			token, err := plan.Token.Encode()
			if err != nil {
				return won, err
			}
			tokens = append(tokens, token)
		}
		won += raceOnce(ctx, routers, tokens)
		pauseFor(ctx, time.Second)
		limits := hitchconfig.Limits{QueueLength: 64}
		if _, err := change(ctx, routers[2], hitchconfig.Intent{Kind: hitchconfig.SetLimits, NewLimits: &limits}); err != nil {
			return won, err
		}
	}
	return won, nil
}

func raceOnce(ctx context.Context, routers []*hitchnode.Node, tokens []string) (won int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for n, token := range tokens {
		group.Go(func() {
			_, err := routers[n].Operators().Confirm(ctx, "measure", token)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				won++
			}
		})
	}
	group.Wait()
	return won
}
