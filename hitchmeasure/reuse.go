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

// reuseBound is the part of the all-knowing directory's reuse that the fleet must
// reach.
const reuseBound = 0.9

// churnEvery is the time between the loss of an engine and the start of another.
const churnEvery = 4 * time.Second

// cacheShare is the part of the chats' tokens that all engines together can hold.
const cacheShare = 0.6

// reuseShape is short answers whose prompts cost most.
var reuseShape = shape{perEngine: 12, answerTokens: 40, tokensPerSecond: 500, prefillPerSecond: 20_000}

// contender is one way to place chats, with engines of its own.
type contender struct {
	name  string
	serve send
	// loads returns the load of each engine now, in tokens.
	loads func() []float64
	// replace loses an engine and starts another.
	replace func() error
	stop    func()
	tally   *tally
	skew    skewSamples
}

// Reuse measures the part of the returning chats' prompts that is found cached,
// while an engine is lost and another is started every few seconds. All ways of
// placing get the same load at the same time, each on its own engines.
func Reuse(ctx context.Context, s Settings) (r Result, err error) {
	s = s.WithDefaults()
	contenders, err := contendersOf(ctx, s, reuseShape)
	if err != nil {
		return r, err
	}
	runAll(ctx, s, reuseShape, contenders, true)
	r = Result{Measure: "Reuse", Bound: reuseBound, Table: Table{Columns: []string{
		"Placement", "Reuse", "Turns", "Refused", "Failed", "Crossed", "FirstTokenP95Ms", "TokenGapP95Ms",
	}}}
	for _, c := range contenders {
		y := c.tally
		r.Table = r.Table.With(c.name, y.reuse(), y.turns, y.refused, y.failed, y.crossed,
			millisAt(y.firstToken, percentileHigh), millisAt(y.tokenGap, percentileHigh))
	}
	ours, best := contenders[0].tally, contenders[len(contenders)-1].tally
	if best.reuse() > 0 {
		r.Value = ours.reuse() / best.reuse()
	}
	r.Met = r.Value >= r.Bound && ours.crossed == 0
	if ours.lastErr != nil {
		r.Notes = append(r.Notes, fmt.Sprintf("LastError=%q", ours.lastErr))
	}
	return r, nil
}

// contendersOf starts the fleet, first, and the baselines, the all-knowing last.
func contendersOf(ctx context.Context, s Settings, sh shape) ([]*contender, error) {
	d := s.deployment()
	d.CacheTokens = s.cacheTokens(sh)
	d = sh.apply(d)
	ours, err := fleetContender(ctx, s, d)
	if err != nil {
		return nil, err
	}
	all := []*contender{ours}
	lag := time.Duration(d.LagMillis) * time.Millisecond
	for _, b := range []*baseline{
		{name: "Random", pick: randomPick(s.Seed)},
		{name: "LeastReported", pick: reportedPick(lag)},
		{name: "Rendezvous", pick: rendezvousPick},
		{name: "AllKnowing", pick: knowingPick},
	} {
		b.pool = &hitchdev.EnginePool{Deployment: d}
		if err := b.pool.Start(); err != nil {
			return nil, err
		}
		all = append(all, b.contender())
	}
	return all, nil
}

// cacheTokens returns the size of an engine's cache, so that all engines together
// hold a part of what the chats could use.
func (s Settings) cacheTokens(sh shape) int {
	perChat := maxTurns / 2 * (turnWords + float64(sh.answerTokens)) * wordTokens
	own := cacheShare * float64(s.Chats) * perChat / float64(s.Engines)
	shared := float64(s.Organisations) * systemWords * wordTokens
	return int(own + shared)
}

// wordTokens is the tokens of a word of the load, at least.
const wordTokens = 1.5

func (b *baseline) contender() *contender {
	return &contender{
		name: b.name, serve: b.serve, tally: newTally(), stop: b.pool.Stop,
		loads: func() []float64 { return loadsOf(b.pool.Engines()) },
		replace: func() error {
			b.pool.KillOldestEngine()
			return b.pool.AddEngine()
		},
	}
}

// fleetContender starts a fleet with a caller of each organisation.
func fleetContender(ctx context.Context, s Settings, d hitchdev.Deployment) (*contender, error) {
	fleet, err := s.startFleet(ctx, d)
	if err != nil {
		return nil, err
	}
	return &contender{
		name: "Citronhitch", serve: fleetSend(fleet, s.Organisations), tally: newTally(),
		loads: func() []float64 { return loadsOf(fleet.Engines()) },
		stop:  func() { stopFleet(ctx, fleet) },
		replace: func() error {
			if err := fleet.KillEngine(oldestEngine(fleet)); err != nil {
				return err
			}
			_, err := fleet.AddEngine()
			return err
		},
	}, nil
}

// fleetSend returns a send by callers of a fleet.
func fleetSend(fleet *hitchdev.Fleet, organisations int) send {
	var clients []*hitchclient.Client
	for n := range organisations {
		clients = append(clients, fleet.Client(n))
	}
	return func(ctx context.Context, t turn) (hitchclient.ChatAnswer, error) {
		return clients[t.Organisation].Chat(ctx, t.Chat, t.Body, nil)
	}
}

// fleetStopLimit bounds the end of a fleet after a measurement.
const fleetStopLimit = 30 * time.Second

func stopFleet(ctx context.Context, fleet *hitchdev.Fleet) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), fleetStopLimit)
	defer cancel()
	_ = fleet.Stop(ctx)
}

func oldestEngine(fleet *hitchdev.Fleet) hitchfleet.EndpointID { return fleet.Engines()[0].Endpoint.ID }

func loadsOf(engines []*hitchdev.EngineHost) []float64 {
	loads := make([]float64, len(engines))
	for i, e := range engines {
		loads[i] = float64(e.Engine.CurrentLoad().TokensOutstanding)
	}
	return loads
}

// runAll gives all contenders the same load at the same time.
func runAll(ctx context.Context, s Settings, sh shape, contenders []*contender, churn bool) {
	var group sync.WaitGroup
	for _, c := range contenders {
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
	for _, c := range contenders {
		c.stop()
	}
}

func (c *contender) churn(done <-chan struct{}) {
	ticker := time.NewTicker(churnEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if err := c.replace(); err != nil {
				return
			}
		case <-done:
			return
		}
	}
}
