package hitchsoak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// Defaults of a soak.
const (
	defaultInstances = 4
	endpointsEach    = 6
	organisationsAll = 5
	callersEach      = 2
	defaultLength    = 25 * time.Second
)

// Soak is one run. The zero value but for Program works.
type Soak struct {
	Seed uint64
	// Program is the path of citronhitch.
	Program string
	// Instances is the number of processes; 0 means 4.
	Instances int
	// Length is how long the soak runs; 0 means 25 s.
	Length time.Duration
	// LogDir, if set, gets the processes' logs when a promise was broken.
	LogDir string
}

// Report is what a soak saw.
type Report struct {
	Seed       uint64
	Faults     []Fault
	Calls      int
	Served     int
	Refused    int
	Failed     int
	Recovered  float64
	Violations []Violation
}

// String returns the report's summary on one line.
func (r Report) String() string {
	return fmt.Sprintf("Soak=%d Faults=%d Calls=%d Served=%d Refused=%d Failed=%d Recovered=%.3f Violations=%d",
		r.Seed, len(r.Faults), r.Calls, r.Served, r.Refused, r.Failed, r.Recovered, len(r.Violations))
}

func (s *Soak) instances() int {
	if s.Instances > 0 {
		return s.Instances
	}
	return defaultInstances
}

func (s *Soak) endpoints() int     { return endpointsEach }
func (s *Soak) organisations() int { return organisationsAll }

func (s *Soak) length() time.Duration {
	if s.Length > 0 {
		return s.Length
	}
	return defaultLength
}

// ip returns the loopback address of an instance, different for each soak that
// runs at the same time.
func (s *Soak) ip(n int) string {
	id := os.Getpid()*7 + int(s.Seed)
	return fmt.Sprintf("127.%d.%d.%d", 64+id%64, (id/64)%256, n+1)
}

// Run runs the soak until its length is over.
func (s *Soak) Run(ctx context.Context) (_ Report, err error) {
	dir, err := os.MkdirTemp("", "citronhitch-soak")
	if err != nil {
		return Report{}, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := &fleet{dir: dir}
	defer f.end()
	if err := f.start(ctx, s); err != nil {
		return Report{}, err
	}
	now := time.Now()
	c := &checker{
		start: now, end: now.Add(s.length()), ledger: &f.ledger,
		plan: NewPlan(s.Seed, s.length(), s.instances(), s.endpoints(), s.organisations()),
	}
	calls := s.run(ctx, f, c)
	report := judge(c, calls)
	report.Seed = s.Seed
	report.Violations = append(report.Violations, f.crashes()...)
	if s.LogDir != "" && len(report.Violations) > 0 {
		err = f.saveLogs(s.LogDir, s.Seed)
	}
	return report, err
}

// run lets callers call and faults strike, and returns the calls.
func (s *Soak) run(ctx context.Context, f *fleet, c *checker) []call {
	calling, stop := context.WithDeadline(ctx, c.end)
	defer stop()
	var mu sync.Mutex
	var calls []call
	var wg sync.WaitGroup
	for n := range callersEach * s.instances() {
		wg.Go(func() {
			x := &caller{seed: s.Seed<<16 + uint64(n), fleet: f}
			x.run(calling, func(done call) {
				mu.Lock()
				defer mu.Unlock()
				calls = append(calls, done)
			})
		})
	}
	for _, fault := range c.plan {
		wg.Go(func() { f.strike(calling, c.start, fault) })
	}
	wg.Wait()
	return calls
}

// judge checks all calls.
func judge(c *checker, calls []call) Report {
	r := Report{Faults: c.plan, Calls: len(calls)}
	late, lateServed := 0, 0
	for _, x := range calls {
		switch {
		case x.Err != nil || x.Status >= http.StatusInternalServerError && x.Status != http.StatusServiceUnavailable:
			r.Failed++
		case x.Status == http.StatusOK:
			r.Served++
		default:
			r.Refused++
		}
		if c.isRecovered(x) {
			late++
			if x.Status == http.StatusOK && x.Err == nil {
				lateServed++
			}
		}
		r.Violations = append(r.Violations, c.check(x)...)
	}
	if late > 0 {
		r.Recovered = float64(lateServed) / float64(late)
	}
	if r.Recovered < recoveredShare {
		r.Violations = append(r.Violations, Violation{Promise: "Recovery", Detail: fmt.Sprintf("%d of %d served after the last fault", lateServed, late)})
	}
	return r
}

// strike carries out one fault.
func (f *fleet) strike(ctx context.Context, start time.Time, fault Fault) {
	if !sleepUntil(ctx, start.Add(fault.Begin)) {
		return
	}
	undo := f.begin(fault)
	sleepUntil(ctx, start.Add(fault.End))
	undo()
}

// begin begins a fault and returns what ends it.
func (f *fleet) begin(fault Fault) (undo func()) {
	switch n := fault.Target; fault.Kind {
	case KillInstance:
		return f.restart(n, syscall.SIGKILL)
	case StopInstance:
		return f.restart(n, syscall.SIGTERM)
	case PauseInstance:
		f.instances[n].signal(syscall.SIGSTOP)
		return func() { f.instances[n].signal(syscall.SIGCONT) }
	case SilenceEndpoint:
		f.endpoints[n].relay.StallConnections()
	case PauseEndpoint:
		f.endpoints[n].relay.Pause()
		return f.endpoints[n].relay.Resume
	case SilenceStore:
		f.instances[n].store.StallConnections()
	case PauseStore:
		f.instances[n].store.Pause()
		return f.instances[n].store.Resume
	case CompactStore:
		f.store.Compact()
	case LoseAnswers:
		f.endpoints[n].SetDropResponses(true)
		return func() { f.endpoints[n].SetDropResponses(false) }
	case ShedRequests:
		f.endpoints[n].SetShedding(true)
		return func() { f.endpoints[n].SetShedding(false) }
	case LeaveEndpoint:
		f.setAbsent(n, true)
		return func() { f.setAbsent(n, false) }
	case RevokeKey:
		f.setRevoked(n, true)
		return func() { f.setRevoked(n, false) }
	}
	return func() {}
}

// restart ends a process by a signal and returns what starts it again.
func (f *fleet) restart(n int, sig syscall.Signal) func() {
	i := f.instances[n]
	i.signal(sig)
	return func() {
		if err := i.wait(); err != nil {
			f.note(fmt.Sprintf("%s ended: %v", i.name, err))
		}
		if err := i.start(); err != nil {
			f.note(fmt.Sprintf("%s didn't start: %v", i.name, err))
		}
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
