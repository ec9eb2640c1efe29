package hitchsoak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

// Requests at which engines crash, and bounds of the guarantee that these don't end one
// engine after the other.
const (
	// crashContactTime is how long after a crash every instance in touch must know of it.
	crashContactTime = 3 * time.Second
	// partCrashes and requestCrashes are the numbers of crashes by a part or a whole request
	// after which it must be known, and maxLateArrivals the number of requests with it that may
	// reach engines later.
	partCrashes     = 5
	requestCrashes  = 3
	maxLateArrivals = 3
	// minSoundRatio is the least share of sound new requests that are served at undisturbed
	// instances once the causes are known.
	minSoundRatio = 0.5
	minSoundCalls = 20
	// crashDownTime is how long a crashed engine is down.
	crashDownTime = 1500 * time.Millisecond
	// crashSilence is how long an engine is silent before it ends, and replacedDownTime the
	// time until another one starts at its address.
	crashSilence     = time.Second
	replacedDownTime = 50 * time.Millisecond
	// crashCallerPause is the mean pause between two such requests of one caller.
	crashCallerPause = 400 * time.Millisecond
	crashCallers     = 2
	crashCallerSeed  = 1 << 13
	// soundCallers are those of lookups and bookings beside whole requests that crash engines.
	soundCallers    = 8
	soundCallerSeed = 1 << 15
	// partCauses and requestCauses are the numbers of causes in a soak.
	partCauses    = 2
	requestCauses = 3
)

// crashPlanKinds are the kinds of faults beside such requests.
var crashPlanKinds = []FaultKind{
	KillInstance, KillInstance, StopInstance, StopInstance, PauseInstance, ThrottleInstance,
	SilenceStore, PauseStore, CompactStore, RestoreStore,
	CrashEndpoint, CrashEndpoint, CrashEndpoint, LoseAnswers, LoseAnswers, ShedRequests, HangStreams,
}

// newCrashPlan returns faults for a soak in which requests crash engines: of one cause from the
// start on, of the others from random times on, and random faults.
func newCrashPlan(seed uint64, length time.Duration, instances, causes int) []Fault {
	rng := rand.New(rand.NewPCG(seed, 6))
	end := length - faultFreeEnd
	plan := []Fault{{Kind: CrashingRequests, Begin: faultFreeStart, End: end}}
	for n := 1; n < causes; n++ {
		begin := faultFreeStart + time.Duration(rng.Int64N(int64(end-faultFreeStart)/2))
		plan = append(plan, Fault{Kind: CrashingRequests, Begin: begin, End: end, Target: n})
	}
	if rng.IntN(2) == 0 {
		plan = append(plan, planKillsOfAll(rng, length)...)
	}
	return addEngineFaults(rng, plan, length, meanFaultInterval, instances, func() FaultKind { return crashPlanKinds[rng.IntN(len(crashPlanKinds))] })
}

// crashCause is what requests have in common at which engines crash: a part of their prompts,
// or all that a caller may repeat of a request.
type crashCause struct {
	part string
	// path and body are those of a request, and key is the number of its organisation's key.
	path, body string
	key        int
}

// isRequest reports whether the cause is a whole request.
func (c crashCause) isRequest() bool { return c.body != "" }

// requestPaths are the paths of requests that crash engines: lookups, bookings and streams.
var requestPaths = []string{"/lookup/x", "/booking/x", streamPaths[0]}

// crashCauseOf returns the cause of a fault of kind CrashingRequests in a variant.
func crashCauseOf(variant string, f Fault) crashCause {
	name := fmt.Sprintf("dead%d", f.Target)
	if variant == VariantRequests {
		return crashCause{path: requestPaths[f.Target%len(requestPaths)], body: name, key: f.Target % organisationCount}
	}
	return crashCause{part: name, path: streamPaths[0]}
}

// String returns the cause as stand-ins and reports name it.
func (c crashCause) String() string {
	if c.isRequest() {
		return hitchstandin.RequestCause(c.path, fmt.Sprintf("organisation-%d", c.key), c.body)
	}
	return c.part
}

// crash ends an engine without notice, and starts it again at its address and with its ID
// after crashDownTime. In a soak of VariantRequests it may look otherwise: the engine may be
// silent for a while before, or another one may start at its address at once.
func (s *engineSet) crash(e *engine) {
	s.mu.Lock()
	slot := slices.Index(s.slots, e)
	isFirst := slot >= 0 && e.until.IsZero()
	s.stopServing(e)
	s.crashes++
	look := crashLook(s.crashes % int(crashLookCount))
	s.mu.Unlock()
	if !isFirst {
		return
	}
	if s.variant != VariantRequests {
		look = refusingCrash
	}
	go s.endAs(e, look)
	time.AfterFunc(look.downTime(), func() { s.startAfterCrash(e, slot, look) })
}

// crashLook is what others see of a crash.
type crashLook int

// The looks of a crash.
const (
	// refusingCrash closes connections and refuses new ones.
	refusingCrash crashLook = iota
	// silentCrash keeps connections open in silence before.
	silentCrash
	// replacedCrash has another engine at the address at once.
	replacedCrash
	crashLookCount
)

// downTime returns the time from a crash to the start of the next engine.
func (l crashLook) downTime() time.Duration {
	switch l {
	case replacedCrash:
		return replacedDownTime
	case silentCrash:
		return crashSilence + crashDownTime
	default:
		return crashDownTime
	}
}

// endAs ends an engine in a crash.
func (s *engineSet) endAs(e *engine, look crashLook) {
	if look == silentCrash {
		e.relay.Pause()
		time.Sleep(crashSilence)
	}
	e.end()
}

// startAfterCrash starts the engine again, or another one at its address.
func (s *engineSet) startAfterCrash(e *engine, slot int, look crashLook) {
	id, born := e.ID, e.Born+1
	if look == replacedCrash {
		id, born = s.newID(), 0
		time.AfterFunc(entryExpiry, func() { s.remove(e) })
	}
	next, err := s.startEngine(id, e.Service, e.Version, e.Addr, born)
	if err != nil {
		s.fleet.addProcessFailure(err.Error())
		return
	}
	s.register(slot, next)
}

// runCrashCallers runs the callers of requests at which engines crash, while the plan has
// faults of that kind.
func (s *Soak) runCrashCallers(ctx context.Context, f *fleet, c *checker, record func(call)) {
	var wg sync.WaitGroup
	for n := range crashCallers {
		x := &caller{seed: s.Seed<<16 + crashCallerSeed + uint64(n), fleet: f}
		wg.Go(func() { x.runCrashing(ctx, c, record) })
	}
	wg.Wait()
}

// runSoundCallers runs the callers of lookups and bookings that crash nothing, also with the
// paths and keys of those that do.
func (s *Soak) runSoundCallers(ctx context.Context, f *fleet, record func(call)) {
	var wg sync.WaitGroup
	for n := range soundCallers {
		x := &caller{seed: s.Seed<<16 + soundCallerSeed + uint64(n), fleet: f, path: requestPaths[n%2]}
		wg.Go(func() { x.run(ctx, record) })
	}
	wg.Wait()
}

// runCrashing sends requests with such causes until ctx ends.
func (c *caller) runCrashing(ctx context.Context, checker *checker, record func(call)) {
	rng := rand.New(rand.NewPCG(c.seed, 7))
	c.client.Transport = newTransport()
	for n := 0; ctx.Err() == nil; n++ {
		sleepUntil(ctx, time.Now().Add(time.Duration(rng.ExpFloat64()*float64(crashCallerPause))))
		causes := checker.crashCauses(time.Now())
		if len(causes) > 0 && c.resolve(ctx, rng) {
			c.cause = causes[rng.IntN(len(causes))]
			c.path = c.cause.path
			x := c.sendCall(rng, c.newCall(rng, n))
			x.IsCrashing = true
			record(x)
		}
	}
}

// crashCauses returns the causes at which engines crash at a time.
func (c *checker) crashCauses(at time.Time) (causes []crashCause) {
	for _, f := range c.plan {
		if f.Kind == CrashingRequests && !at.Before(c.start.Add(f.Begin)) && at.Before(c.start.Add(f.End)) {
			causes = append(causes, crashCauseOf(c.variant, f))
		}
	}
	return causes
}

// countedCrashes returns the number of crashes after which a cause must be known.
func (c *checker) countedCrashes() int {
	if c.variant == VariantRequests {
		return requestCrashes
	}
	return partCrashes
}

// checkCrashes checks that few requests at which engines crash reach them once their cause
// must be known, and that sound ones are served meanwhile.
func (c *checker) checkCrashes(calls []call, arrivals []hitchstandin.Arrival) (out []Violation, notes []string) {
	instances := make(map[string]string)
	for _, x := range calls {
		instances[x.Attempt] = x.Instance
	}
	byCause := make(map[string][]hitchstandin.Arrival)
	for _, a := range arrivals {
		byCause[a.Cause] = append(byCause[a.Cause], a)
	}
	for cause, list := range byCause {
		knownAt, count := nthCrash(list, c.countedCrashes())
		late := 0
		for _, a := range list {
			isLate := !knownAt.IsZero() && a.At.After(knownAt.Add(crashContactTime))
			if isLate && c.isInstanceUndisturbed(instances[a.Attempt], a.At.Add(-crashContactTime), a.At) {
				late++
			}
		}
		notes = append(notes, fmt.Sprintf("Crashes Cause=%q Arrivals=%d Crashes=%d Late=%d", cause, len(list), count, late))
		if late > maxLateArrivals {
			out = append(out, Violation{Guarantee: "EndpointsKeepRunning", Detail: fmt.Sprintf("%d requests with %s more than %s after %d crashes", late, cause, crashContactTime, c.countedCrashes())})
		}
	}
	slices.Sort(notes)
	violations, note := c.checkSound(calls)
	return append(out, violations...), append(notes, note)
}

// nthCrash returns the time of the nth crash, or the zero time if there are fewer, and the
// number of crashes.
func nthCrash(arrivals []hitchstandin.Arrival, n int) (at time.Time, count int) {
	var crashes []time.Time
	for _, a := range arrivals {
		if !a.CrashAt.IsZero() {
			crashes = append(crashes, a.CrashAt)
		}
	}
	slices.SortFunc(crashes, func(x, y time.Time) int { return cmp.Compare(x.UnixNano(), y.UnixNano()) })
	if len(crashes) >= n {
		at = crashes[n-1]
	}
	return at, len(crashes)
}

// checkSound checks the share of sound new requests that are served at undisturbed instances
// while others crash engines.
func (c *checker) checkSound(calls []call) (out []Violation, note string) {
	sound, served := 0, 0
	for _, x := range calls {
		isNew := !x.IsCrashing && !x.IsResumption && len(c.crashCauses(x.Begin.Add(-2*crashContactTime))) > 0 && len(c.crashCauses(x.Begin)) > 0
		if isNew && c.isInstanceUndisturbed(x.Instance, x.Begin, x.End) {
			countTry(&sound, &served, x.Status == http.StatusOK)
		}
	}
	if sound >= minSoundCalls && float64(served) < minSoundRatio*float64(sound) {
		out = append(out, Violation{Guarantee: "SoundRequests", Detail: fmt.Sprintf("%d of %d served", served, sound)})
	}
	return out, fmt.Sprintf("Sound Calls=%d Served=%d", sound, served)
}
