package hitchsoak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

// Defaults of a soak.
const (
	defaultInstances   = 4
	endpointCount      = 6
	organisationCount  = 5
	callersPerInstance = 2
	// openCallersPerInstance is the number of callers that keep connections open.
	openCallersPerInstance = 6
	defaultLength          = 25 * time.Second
)

// Soak is one run of the test. Only Program is required.
type Soak struct {
	Seed uint64
	// Program is the path of the citronhitch binary.
	Program string
	// Instances is the number of processes; 0 means 4.
	Instances int
	// Length is how long the soak runs; 0 means 25 s.
	Length time.Duration
	// Faults is the set of faults; the empty one means BasicFaults.
	Faults FaultSet
	// LogDir, if set, is the directory to which the processes' logs are written if
	// there is a violation.
	LogDir string
	// Variant is one of Variants; empty means VariantFaults.
	Variant string

	// fixedPlan replaces the random faults of a test.
	fixedPlan []Fault
}

// Report is the result of a soak.
type Report struct {
	Seed      uint64
	Faults    []Fault
	Calls     int
	Served    int
	Refused   int
	Failed    int
	Recovered float64
	// MetSilence and MetSpoil are the numbers of calls that met a silent endpoint, or one that
	// spoiled their answer.
	MetSilence, MetSpoil int
	Violations           []Violation
	// Notes are lines about what was counted, which are printed in any case.
	Notes []string
}

// String returns the report's summary on one line.
func (r Report) String() string {
	return fmt.Sprintf("Soak=%d Faults=%d Calls=%d Served=%d Refused=%d Failed=%d Recovered=%.3f MetSilence=%d MetSpoil=%d Violations=%d",
		r.Seed, len(r.Faults), r.Calls, r.Served, r.Refused, r.Failed, r.Recovered, r.MetSilence, r.MetSpoil, len(r.Violations))
}

func (s *Soak) instances() int {
	if s.Instances > 0 {
		return s.Instances
	}
	return defaultInstances
}

// endpoints returns the number of endpoints besides the engines.
func (s *Soak) endpoints() int {
	if s.hasEngines() || s.Variant == VariantRepeats {
		return 0
	}
	return endpointCount
}

func (s *Soak) organisations() int { return organisationCount }

func (s *Soak) length() time.Duration {
	if s.Length > 0 {
		return s.Length
	}
	return defaultLength
}

// ip returns the loopback address of an instance. It differs between soaks that run
// at the same time.
func (s *Soak) ip(n int) string {
	id := os.Getpid()*7 + int(s.Seed)
	return fmt.Sprintf("127.%d.%d.%d", 64+id%64, (id/64)%256, n+1)
}

// Run runs the soak for its length and returns the report.
func (s *Soak) Run(ctx context.Context) (_ Report, err error) {
	dir, err := os.MkdirTemp("", "citronhitch-soak")
	if err != nil {
		return Report{}, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := &fleet{dir: dir}
	defer f.killInstances()
	if err := f.start(ctx, s); err != nil {
		return Report{}, err
	}
	now := time.Now()
	c := &checker{
		start: now, end: now.Add(s.length()), runLog: &f.runLog,
		addrs: f.addrs(),
		plan:  s.plan(), variant: s.Variant,
	}
	calls, streams, rollouts := s.runCallsAndFaults(ctx, f, c)
	if f.processes != nil {
		if err := f.processes.end(); err != nil {
			return Report{}, err
		}
	}
	c.rollouts = rollouts
	report := newReport(c, calls)
	if s.hasEngines() {
		violations, notes := c.checkStreams(streams, f.engines.countServing)
		report.Violations, report.Notes = append(report.Violations, violations...), notes
	}
	if s.hasCrashes() {
		violations, notes := c.checkCrashes(calls, f.engines.crashing.Arrivals())
		report.Violations, report.Notes = append(report.Violations, violations...), append(report.Notes, notes...)
	}
	if s.Variant == VariantBrittle {
		violations, note := c.checkFalls(calls, f.engines.falls())
		report.Violations, report.Notes = append(report.Violations, violations...), append(report.Notes, note)
	}
	if s.Variant == VariantRepeats {
		violations, note := c.checkRepeats(calls)
		report.Violations, report.Notes = append(report.Violations, violations...), append(report.Notes, note)
	}
	if s.Variant == VariantQuotas {
		violations, note := c.checkQuotas(calls, &f.engines.quotas)
		report.Violations, report.Notes = append(report.Violations, violations...), append(report.Notes, note)
	}
	if s.Variant == VariantRollouts {
		violations, notes := c.checkRollouts(rollouts)
		report.Violations, report.Notes = append(report.Violations, violations...), append(report.Notes, notes...)
	}
	report.Seed = s.Seed
	report.Violations = append(report.Violations, f.processViolations()...)
	if s.LogDir != "" && len(report.Violations) > 0 {
		err = f.saveLogs(s.LogDir, s.Seed)
	}
	return report, err
}

// runCallsAndFaults runs the callers and the plan's faults, and returns the calls, the streams
// of a soak with engines, and its rollouts.
func (s *Soak) runCallsAndFaults(ctx context.Context, f *fleet, c *checker) (calls []call, streams []stream, rollouts []rollout) {
	callCtx, cancel := context.WithDeadline(ctx, c.end)
	defer cancel()
	var mu sync.Mutex
	record := func(done call) {
		mu.Lock()
		defer mu.Unlock()
		calls = append(calls, done)
	}
	var wg sync.WaitGroup
	if s.Variant == VariantRequests {
		wg.Go(func() { s.runSoundCallers(callCtx, f, record) })
	}
	if s.hasCrashes() {
		wg.Go(func() { s.runCrashCallers(callCtx, f, c, record) })
	}
	if s.Variant == VariantQuotas {
		wg.Go(func() { s.runBusyCallers(callCtx, f, record) })
	}
	if s.Variant == VariantRepeats {
		wg.Go(func() { s.runRepeatCallers(callCtx, f, record) })
	}
	if s.Variant == VariantRollouts {
		wg.Go(func() { rollouts = s.runRollouts(callCtx, f, c.end.Add(-faultFreeEnd), record) })
	}
	if s.Variant == VariantBrittle {
		wg.Go(func() {
			rushCtx, cancel := context.WithDeadline(callCtx, c.rushEnd())
			defer cancel()
			s.runBusyCallers(rushCtx, f, record)
		})
	}
	if s.hasEngines() {
		wg.Go(func() { streams = s.runStreams(callCtx, f, record) })
	}
	for n := range s.callers(callersPerInstance) {
		x := &caller{seed: s.Seed<<16 + uint64(n), fleet: f}
		wg.Go(func() { x.run(callCtx, record) })
	}
	for n := range s.callers(openCallersPerInstance) {
		x := &openCaller{caller: caller{seed: s.Seed<<16 + openCallerSeed + uint64(n), fleet: f}, isSlow: n%openCallersPerInstance == 0}
		wg.Go(func() { x.run(callCtx, record) })
	}
	for _, fault := range c.plan {
		wg.Go(func() { f.runFault(callCtx, c.start, fault) })
	}
	wg.Wait()
	return calls, streams, rollouts
}

// openCallerSeed separates the seeds of callers that keep connections open from those of
// the others.
const openCallerSeed = 1 << 12

// newReport checks all calls and returns the report.
func newReport(c *checker, calls []call) Report {
	r := Report{Faults: c.plan, Calls: len(calls)}
	c.countSends(calls)
	afterRecovery, servedAfterRecovery := 0, 0
	for _, x := range calls {
		switch {
		case x.Err != nil || x.Status >= http.StatusInternalServerError && x.Status != http.StatusServiceUnavailable:
			r.Failed++
		case x.Status == http.StatusOK:
			r.Served++
		default:
			r.Refused++
		}
		if c.isAfterRecovery(x) {
			afterRecovery++
			if x.Status == http.StatusOK && x.Err == nil {
				servedAfterRecovery++
			}
		}
		metSilence, metSpoil := c.met(x)
		if metSilence {
			r.MetSilence++
		}
		if metSpoil {
			r.MetSpoil++
		}
		r.Violations = append(r.Violations, c.checkCall(x)...)
	}
	r.Violations = append(r.Violations, c.checkNotices(calls)...)
	if afterRecovery > 0 {
		r.Recovered = float64(servedAfterRecovery) / float64(afterRecovery)
	}
	if r.Recovered < minRecoveredRatio {
		r.Violations = append(r.Violations, Violation{Guarantee: "Recovery", Detail: fmt.Sprintf("%d of %d served after the last fault", servedAfterRecovery, afterRecovery)})
	}
	return r
}

// runFault starts one fault and ends it, at the planned times.
func (f *fleet) runFault(ctx context.Context, start time.Time, fault Fault) {
	if !sleepUntil(ctx, start.Add(fault.Begin)) {
		return
	}
	undo, ok := f.startEngineFault(ctx, fault)
	if !ok {
		undo = f.startFault(fault)
	}
	sleepUntil(ctx, start.Add(fault.End))
	undo()
}

// startFault starts a fault and returns the function that ends it.
func (f *fleet) startFault(fault Fault) (undo func()) {
	switch n := fault.Target; fault.Kind {
	case KillInstance:
		return f.terminate(n, syscall.SIGKILL)
	case StopInstance:
		return f.terminate(n, syscall.SIGTERM)
	case PauseInstance:
		f.instances[n].signal(syscall.SIGSTOP)
		return func() { f.instances[n].signal(syscall.SIGCONT) }
	case SilenceEndpoint:
		f.endpoints[n].relay.StallConnections()
	case PauseEndpoint:
		f.endpoints[n].relay.Pause()
		return f.endpoints[n].relay.Resume
	case SilenceStore:
		f.instances[n].storeRelay.StallConnections()
	case PauseStore:
		f.instances[n].storeRelay.Pause()
		return f.instances[n].storeRelay.Resume
	case CompactStore:
		f.store.Compact()
	case LoseAnswers:
		f.endpoints[n].SetDropResponses(true)
		return func() { f.endpoints[n].SetDropResponses(false) }
	case ShedRequests:
		f.endpoints[n].SetShedding(true)
		return func() { f.endpoints[n].SetShedding(false) }
	case LeaveEndpoint:
		return f.removeEndpoint(n)
	case RevokeKey:
		return f.revokeKey(n)
	case HangStreams:
		f.endpoints[n].SetHangStreams(true)
		return func() { f.endpoints[n].SetHangStreams(false) }
	case ThrottleInstance:
		return f.instances[n].throttle()
	case AnnounceLeave:
		f.endpoints[n].SetLeaving(true)
		return func() { f.endpoints[n].Restart() }
	case AskForPause:
		f.endpoints[n].SetPausing(true)
		return func() { f.endpoints[n].SetPausing(false) }
	case RestoreStore:
		return f.takeStoreAway()
	case ReloadInstance:
		f.instances[n].signal(syscall.SIGHUP)
	case StopAgain:
		f.instances[n].signalIfStopping(syscall.SIGTERM)
	default:
		return f.startAnswerFault(fault)
	}
	return func() {}
}

// terminate sends a process a signal that ends it, and returns the function that
// starts it again. A process that still runs after the grace period would be killed.
// One that is stopping gets the signal too; whoever stopped it first starts it again.
func (f *fleet) terminate(n int, sig syscall.Signal) func() {
	i := f.instances[n]
	begin := time.Now()
	if !i.beginStop() {
		i.signal(sig)
		return func() {}
	}
	i.signal(sig)
	ended := make(chan error, 1)
	go func() {
		err := i.wait()
		if took := time.Since(begin); err == nil && took > hitchstandin.GracePeriod {
			err = fmt.Errorf("%s after the signal", took)
		}
		ended <- err
	}()
	return func() {
		if err := <-ended; err != nil {
			f.addProcessFailure(fmt.Sprintf("%s ended: %v", i.name, err))
		}
		i.endStop()
		if err := i.start(); err != nil {
			f.addProcessFailure(fmt.Sprintf("%s failed to start: %v", i.name, err))
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
