package hitchsoak

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchfake"
	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

// Engines of a soak.
const (
	// engineSlots is the number of engines that serve at a time.
	engineSlots = 8
	// replaceCount is the number of engines that are replaced together, and removeInterval
	// the time from the removal of one to that of the next.
	replaceCount   = 3
	removeInterval = 200 * time.Millisecond
	// restartTime is the time from the end of an engine to the start of the next one at
	// its address.
	restartTime = 300 * time.Millisecond
	// entryExpiry is the time from the end of an engine without notice to the end of its
	// entry.
	entryExpiry = 3 * heartbeatInterval
	// streamService is the service of streams.
	streamService = "engines"
)

// versionNames are the versions of the engines' software. They have no order.
var versionNames = []string{"v1", "v1.1", "v1.2"}

// engine is one run of an engine, which instances reach through a relay.
type engine struct {
	hitchstandin.Endpoint
	relay *hitchfake.Relay
	end   func()
	// from is the time at which its entry was written, and until that at which it was
	// removed or the engine ended; until is zero if neither has happened. They and
	// disturbed are guarded by the set's mu.
	from, until time.Time
	disturbed   []*interval
}

// interval is a period. It hasn't ended if To is zero.
type interval struct{ From, To time.Time }

// engineSet runs the engines and writes their entries.
type engineSet struct {
	fleet    *fleet
	ip       string
	versions []string
	variant  string
	// crashing are the causes at which engines crash.
	crashing hitchstandin.CrashCauses
	// quotas are the quotas that engines name.
	quotas hitchstandin.QuotaLog
	// newContext returns the context of an engine.
	newContext func() (context.Context, context.CancelFunc)

	// restarting serialises the ends and the starts of engines.
	restarting sync.Mutex

	mu sync.Mutex
	// slots are the engines that serve, and all those of the whole soak.
	slots   []*engine
	all     []*engine
	removed map[string]bool
	crashes int
	// isBrittle is set while the engines are brittle, and isShort while none may wait.
	isBrittle, isShort bool
	// added are the engines of versions that are rolled out, and orders the operator's orders
	// by key.
	added  []*engine
	orders map[string][]byte
}

// start starts an engine in each slot, with the versions in turns.
func (s *engineSet) start(ctx context.Context) error {
	s.slots, s.removed = make([]*engine, engineSlots), make(map[string]bool)
	s.newContext = func() (context.Context, context.CancelFunc) { return context.WithCancel(ctx) }
	for n := range engineSlots {
		e, err := s.startEngine(s.newID(), s.serviceOf(n), s.versions[n%len(s.versions)], s.ip+":0", 0)
		if err != nil {
			return err
		}
		s.register(n, e)
	}
	go everyHeartbeat(ctx, s.writeHeartbeats)
	return nil
}

// serviceOf returns the service of the engines in a slot. All of them are of the service of
// streams, unless other requests crash engines too, or two services are rolled out.
func (s *engineSet) serviceOf(slot int) string {
	if (s.variant == VariantRequests || s.variant == VariantRollouts) && slot%2 == 1 {
		return "shop"
	}
	return streamService
}

// newID returns an ID that no engine has had.
func (s *engineSet) newID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("e-%d", len(s.all))
}

// otherVersion returns the version after another one, in a circle.
func (s *engineSet) otherVersion(version string) string {
	return s.versions[(slices.Index(s.versions, version)+1)%len(s.versions)]
}

// startEngine starts an engine at an address.
func (s *engineSet) startEngine(id, service, version, addr string, born int64) (*engine, error) {
	e := &engine{relay: &hitchfake.Relay{}}
	e.ID, e.Service, e.Version, e.Born, e.RunLog = id, service, version, born, &s.fleet.runLog
	e.Crashing, e.Crash = &s.crashing, func() { s.crash(e) }
	e.Quotas = &s.quotas
	s.limitEngine(e)
	s.mu.Lock()
	e.Zone = zoneOf(len(s.all))
	s.all = append(s.all, e)
	s.mu.Unlock()
	ctx, cancel := s.newContext()
	target, err := serveLoopback(ctx, e)
	if err == nil {
		e.relay.Target = target
		e.Addr, err = e.relay.Listen(addr)
	}
	if err != nil {
		cancel()
		return nil, fmt.Errorf("start engine %s: %w", id, err)
	}
	e.end = sync.OnceFunc(func() {
		cancel()
		_ = e.relay.Close()
	})
	context.AfterFunc(ctx, e.end)
	return e, nil
}

// register writes an engine's entry and puts it into a slot. It returns the engine that
// was there.
func (s *engineSet) register(slot int, e *engine) (previous *engine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous, s.slots[slot] = s.slots[slot], e
	e.from = time.Now()
	s.fleet.store.Put(e.Key(), e.Entry("ready"))
	return previous
}

// present returns the engine in a slot.
func (s *engineSet) present(slot int) *engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slots[slot%engineSlots]
}

// remove deletes an engine's entry.
func (s *engineSet) remove(e *engine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopServing(e)
	s.removed[e.Key()] = true
	s.fleet.store.Delete(e.Key())
}

// stopServing records that an engine serves no more. It is called with mu held.
func (s *engineSet) stopServing(e *engine) {
	if e.until.IsZero() {
		e.until = time.Now()
	}
}

// writeHeartbeats writes the entries of the engines that serve, and deletes those that a restored copy of
// the store has again.
func (s *engineSet) writeHeartbeats() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range slices.Concat(s.slots, s.added) {
		if e.until.IsZero() {
			s.fleet.store.Put(e.Key(), e.Entry("ready"))
		}
	}
	for key := range s.removed {
		s.fleet.store.Delete(key)
	}
}

// replace starts engines of other versions, then removes those of replaceCount slots one
// after the other. It returns the function that ends the old ones.
func (s *engineSet) replace(ctx context.Context, slot int) (undo func(), err error) {
	s.restarting.Lock()
	defer s.restarting.Unlock()
	var old []*engine
	undo = func() {
		for _, e := range old {
			e.end()
		}
	}
	for n := slot; n < slot+replaceCount; n++ {
		e, err := s.startEngine(s.newID(), s.present(n).Service, s.otherVersion(s.present(n).Version), s.ip+":0", 0)
		if err != nil {
			return undo, err
		}
		// The old one keeps its entry until it is removed.
		old = append(old, s.register(n%engineSlots, e))
	}
	for _, e := range old {
		s.remove(e)
		sleepUntil(ctx, time.Now().Add(removeInterval))
	}
	return undo, nil
}

// restart ends the engine of a slot without notice and starts one of another version at its
// address, with the same ID or with a new one.
func (s *engineSet) restart(ctx context.Context, slot int, keepsID bool) error {
	s.restarting.Lock()
	defer s.restarting.Unlock()
	old := s.present(slot)
	s.mu.Lock()
	s.stopServing(old)
	s.mu.Unlock()
	old.end()
	sleepUntil(ctx, time.Now().Add(restartTime))
	id, born := old.ID, old.Born+1
	if !keepsID {
		id, born = s.newID(), 0
		time.AfterFunc(entryExpiry-restartTime, func() { s.remove(old) })
	}
	e, err := s.startEngine(id, old.Service, s.otherVersion(old.Version), old.Addr, born)
	if err != nil {
		return err
	}
	s.register(slot, e)
	return nil
}

// disturb records that an engine doesn't serve all requests, until the returned function
// is called.
func (s *engineSet) disturb(e *engine) (undo func()) {
	d := &interval{From: time.Now()}
	s.mu.Lock()
	e.disturbed = append(e.disturbed, d)
	s.mu.Unlock()
	return func() {
		s.mu.Lock()
		d.To = time.Now()
		s.mu.Unlock()
	}
}

// countServing returns the number of engines of a version that served undisturbed during
// a whole period.
func (s *engineSet) countServing(version string, from, to time.Time) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.all {
		isRegistered := !e.from.IsZero() && !e.from.After(from) && (e.until.IsZero() || e.until.After(to))
		isDisturbed := slices.ContainsFunc(e.disturbed, func(d *interval) bool {
			return d.From.Before(to) && (d.To.IsZero() || d.To.Add(time.Second).After(from))
		})
		if e.Version == version && e.Service == streamService && isRegistered && !isDisturbed {
			n++
		}
	}
	return n
}

// startFault starts a fault of an engine, or a kill of all instances, and returns the
// function that ends it. It returns false for a fault of another kind.
func (s *engineSet) startFault(ctx context.Context, fault Fault) (undo func(), ok bool) {
	undo = func() {}
	var err error
	e := s.present(fault.Target)
	switch fault.Kind {
	case CrashingRequests:
		cause := crashCauseOf(s.variant, fault).String()
		s.crashing.Add(cause)
		undo = func() { s.crashing.Remove(cause) }
	case CrashEndpoint:
		s.crash(e)
	case BrittleEndpoints:
		undo = s.beBrittle(ctx)
	case NameQuota:
		undo = s.quotas.Begin(e.ID, quotaOf(fault))
	case ReplaceEndpoints:
		undo, err = s.replace(ctx, fault.Target)
	case RestartAtAddress:
		err = s.restart(ctx, fault.Target, false)
	case RestartSameID:
		err = s.restart(ctx, fault.Target, true)
	case KillAllInstances:
		undo = s.fleet.killAll()
	case SilenceEndpoint:
		e.relay.StallConnections()
		undo = s.disturb(e)
	case PauseEndpoint:
		e.relay.Pause()
		undo = join(e.relay.Resume, s.disturb(e))
	case HangStreams:
		e.SetHangStreams(true)
		undo = join(func() { e.SetHangStreams(false) }, s.disturb(e))
	case LoseAnswers:
		e.SetDropResponses(true)
		undo = join(func() { e.SetDropResponses(false) }, s.disturb(e))
	case ShedRequests:
		e.SetShedding(true)
		undo = join(func() { e.SetShedding(false) }, s.disturb(e))
	default:
		return nil, false
	}
	if err != nil {
		s.fleet.addProcessFailure(err.Error())
	}
	return undo, true
}

// join returns a function that calls the given ones.
func join(functions ...func()) func() {
	return func() {
		for _, f := range functions {
			f()
		}
	}
}
