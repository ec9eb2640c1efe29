package hitchmeasure

import (
	"context"
	"fmt"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchclient"
	"citronhitch.example/citronhitch/hitchdev"
	"citronhitch.example/citronhitch/hitchfleet"
)

// reuseBound is the minimum cache reuse of the fleet relative to that of the oracle.
const reuseBound = 0.9

// churnInterval is the interval at which an engine is killed and another started.
const churnInterval = 4 * time.Second

// cacheRatio is the ratio of the chats' tokens that fit into the caches of all engines
// together.
const cacheRatio = 0.6

// reuseShape has short responses, so that prefilling takes most of the time.
var reuseShape = shape{turnsPerEngine: 12, responseTokens: 40, tokensPerSecond: 500, prefillPerSecond: 20_000}

// variant is one way to place chats on engines, with its own engines.
type variant struct {
	name  string
	serve sendFunc
	// engineLoads returns the load of each engine now, in tokens.
	engineLoads func() []float64
	// replaceEngine kills an engine and starts another.
	replaceEngine func() error
	stop          func()
	tally         *tally
	skew          skewSamples
}

// Reuse measures the ratio of cached prompt tokens in turns after a chat's first one,
// while an engine is killed and another started every few seconds. All variants get
// the same load at the same time, each on its own engines. Value is the ratio of the
// fleet relative to that of the oracle.
func Reuse(ctx context.Context, s Settings) (r Result, err error) {
	s = s.WithDefaults()
	variants, err := startVariants(ctx, s, reuseShape)
	if err != nil {
		return r, err
	}
	runVariants(ctx, s, reuseShape, variants, true)
	r = Result{Measure: "Reuse", Bound: reuseBound, Table: Table{Columns: []string{
		"Placement", "Reuse", "Turns", "Refused", "Failed", "Crossed", "FirstTokenP95Ms", "TokenGapP95Ms",
	}}}
	for _, c := range variants {
		results := c.tally
		r.Table = r.Table.With(c.name, results.reuse(), results.turns, results.refused, results.failed, results.mismatched,
			millisAt(results.firstToken, percentileHigh), millisAt(results.tokenGap, percentileHigh))
	}
	routed, oracle := variants[0].tally, variants[len(variants)-1].tally
	if oracle.reuse() > 0 {
		r.Value = routed.reuse() / oracle.reuse()
	}
	r.Met = r.Value >= r.Bound && routed.mismatched == 0
	if routed.lastErr != nil {
		r.Notes = append(r.Notes, fmt.Sprintf("LastError=%q", routed.lastErr))
	}
	return r, nil
}

// startVariants starts the fleet and the baselines. The fleet is first, the oracle
// last.
func startVariants(ctx context.Context, s Settings, sh shape) ([]*variant, error) {
	d := s.deployment()
	d.CacheTokens = s.cacheTokens(sh)
	d = sh.apply(d)
	routed, err := startFleetVariant(ctx, s, d)
	if err != nil {
		return nil, err
	}
	all := []*variant{routed}
	lag := time.Duration(d.LagMillis) * time.Millisecond
	for _, b := range []*baseline{
		{name: "Random", pick: randomPick(s.Seed)},
		{name: "LeastReported", pick: leastReportedPick(lag)},
		{name: "Rendezvous", pick: rendezvousPick},
		{name: "AllKnowing", pick: oraclePick},
	} {
		b.pool = &hitchdev.EnginePool{Deployment: d}
		if err := b.pool.Start(); err != nil {
			return nil, err
		}
		all = append(all, b.asVariant())
	}
	return all, nil
}

// cacheTokens returns the size of an engine's cache in tokens: cacheRatio of the
// chats' tokens divided by the number of engines, and the system prompts of all
// organisations.
func (s Settings) cacheTokens(sh shape) int {
	perChat := maxTurns / 2 * (turnWords + float64(sh.responseTokens)) * minTokensPerWord
	chatTokens := cacheRatio * float64(s.Chats) * perChat / float64(s.Engines)
	systemTokens := float64(s.Organisations) * systemWords * minTokensPerWord
	return int(chatTokens + systemTokens)
}

// minTokensPerWord is the minimum number of tokens per word of the load.
const minTokensPerWord = 1.5

func (b *baseline) asVariant() *variant {
	return &variant{
		name: b.name, serve: b.serve, tally: newTally(), stop: b.pool.Stop,
		engineLoads: func() []float64 { return loadsOfEngines(b.pool.Engines()) },
		replaceEngine: func() error {
			b.pool.KillOldestEngine()
			return b.pool.AddEngine()
		},
	}
}

// startFleetVariant starts a fleet with one client per organisation.
func startFleetVariant(ctx context.Context, s Settings, d hitchdev.Deployment) (*variant, error) {
	fleet, err := s.startFleet(ctx, d)
	if err != nil {
		return nil, err
	}
	return &variant{
		name: "Citronhitch", serve: newFleetSender(fleet, s.Organisations), tally: newTally(),
		engineLoads: func() []float64 { return loadsOfEngines(fleet.Engines()) },
		stop:        func() { stopFleet(ctx, fleet) },
		replaceEngine: func() error {
			if err := fleet.KillEngine(oldestEngine(fleet)); err != nil {
				return err
			}
			_, err := fleet.AddEngine()
			return err
		},
	}, nil
}

// newFleetSender returns a sendFunc that sends turns to a fleet, with one client per
// organisation.
func newFleetSender(fleet *hitchdev.Fleet, organisations int) sendFunc {
	var clients []*hitchclient.Client
	for n := range organisations {
		clients = append(clients, fleet.Client(n))
	}
	return func(ctx context.Context, t turn) (hitchclient.ChatResponse, error) {
		return clients[t.Organisation].Chat(ctx, t.Chat, t.Body, nil)
	}
}

// fleetStopTimeout limits the graceful shutdown of a fleet or router.
const fleetStopTimeout = 30 * time.Second

func stopFleet(ctx context.Context, fleet *hitchdev.Fleet) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), fleetStopTimeout)
	defer cancel()
	_ = fleet.Stop(ctx)
}

func oldestEngine(fleet *hitchdev.Fleet) hitchfleet.EndpointID { return fleet.Engines()[0].Endpoint.ID }

func loadsOfEngines(engines []*hitchdev.EngineHost) []float64 {
	loads := make([]float64, len(engines))
	for i, e := range engines {
		loads[i] = float64(e.Engine.CurrentLoad().TokensOutstanding)
	}
	return loads
}

// runVariants runs the same load on all variants at the same time, and stops them.
func runVariants(ctx context.Context, s Settings, sh shape, variants []*variant, churn bool) {
	var group sync.WaitGroup
	for _, c := range variants {
		done := make(chan struct{})
		group.Go(func() {
			newWorkload(s, workloadModel, sh).run(ctx, c.serve, c.tally)
			close(done)
		})
		group.Go(func() { c.sample(done) })
		if churn {
			group.Go(func() { c.churn(done) })
		}
	}
	group.Wait()
	for _, c := range variants {
		c.stop()
	}
}

func (c *variant) churn(done <-chan struct{}) {
	ticker := time.NewTicker(churnInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if err := c.replaceEngine(); err != nil {
				return
			}
		case <-done:
			return
		}
	}
}
