package hitchsoak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"citronhitch.example/citronhitch/hitchfake"
	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

// heartbeatInterval is the interval at which the endpoints' entries are written.
const heartbeatInterval = 500 * time.Millisecond

// fleet holds the processes and the stand-ins of a soak.
type fleet struct {
	dir       string
	store     hitchstandin.Store
	runLog    hitchstandin.RunLog
	instances []*instance
	endpoints []*endpoint
	keys      []string

	// copies are the store's last copies, the newest at the end.
	copies []hitchstandin.Copy

	// engines are the endpoints if the soak has any. Otherwise it is nil.
	engines *engineSet
	// processes are the endpoints if they are processes. Otherwise it is nil.
	processes *endpointProcesses

	mu              sync.Mutex
	version         int
	variation       hitchstandin.Variation
	revocations     map[int]int // by organisation, those in force
	processFailures []Violation
}

// instance is one process that reaches the store through a relay of its own.
type instance struct {
	name, ip, zone string
	program        string
	settings       string
	storeRelay     hitchfake.Relay
	storeAddr      string

	settingsMu sync.Mutex

	mu         sync.Mutex
	cmd        *exec.Cmd
	log        bytes.Buffer
	isStopping bool
	startedAt  time.Time
}

// endpoint is a stand-in that instances reach through a relay.
type endpoint struct {
	hitchstandin.Endpoint
	relay hitchfake.Relay

	mu sync.Mutex
	// removals is the number of faults that keep the endpoint's entry removed.
	removals int
}

// zoneOf returns the availability zone of instance or endpoint n, one of three.
func zoneOf(n int) string { return string(rune('a' + n%3)) }

// serveLoopback serves a handler on a free loopback port until ctx ends.
func serveLoopback(ctx context.Context, handler http.Handler) (addr string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// start starts the stand-ins and the processes.
func (f *fleet) start(ctx context.Context, s *Soak) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start the soak's fleet: %w", err)
		}
	}()
	go f.store.Run(ctx)
	storeAddr, err := serveLoopback(ctx, &f.store)
	if err != nil {
		return err
	}
	for n := range s.organisations() {
		f.keys = append(f.keys, fmt.Sprintf("key-%d", n))
	}
	f.variation.AddsOnceRoute = f.variation.AddsOnceRoute || s.Variant == VariantRepeats
	f.writeConfig()
	if s.hasEngines() {
		if err := f.startEngines(ctx, s); err != nil {
			return err
		}
	}
	if s.Variant == VariantRepeats {
		if err := f.startEndpointProcesses(ctx, s, time.Now().Add(s.length()-faultFreeEnd)); err != nil {
			return err
		}
	}
	for n := range s.endpoints() {
		if err := f.addEndpoint(ctx, n); err != nil {
			return err
		}
	}
	go everyHeartbeat(ctx, f.writeHeartbeats)
	for n := range s.instances() {
		if err := f.addInstance(ctx, s, n, storeAddr); err != nil {
			return err
		}
	}
	return nil
}

// addrs returns the addresses at which the instances serve callers.
func (f *fleet) addrs() (out []string) {
	for _, i := range f.instances {
		out = append(out, hitchstandin.FrontAddr(i.ip))
	}
	return out
}

// endpointName returns the ID of endpoint n.
func endpointName(n int) string { return fmt.Sprintf("e-%d", n) }

func (f *fleet) addEndpoint(ctx context.Context, n int) error {
	e := &endpoint{Endpoint: hitchstandin.Endpoint{ID: endpointName(n), Service: "engines", Zone: zoneOf(n), RunLog: &f.runLog}}
	if n%2 == 1 {
		e.Service = "shop"
	}
	addr, err := serveLoopback(ctx, e)
	if err != nil {
		return err
	}
	e.relay.Target = addr
	if e.Addr, err = e.relay.Listen("127.0.0.1:0"); err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = e.relay.Close() })
	f.endpoints = append(f.endpoints, e)
	f.store.Put(e.Key(), e.Entry("ready"))
	return nil
}

// addInstance starts a process on its own loopback address, which depends on the
// soak's process ID so that several soaks can run at the same time.
func (f *fleet) addInstance(ctx context.Context, s *Soak, n int, storeAddr string) error {
	i := &instance{name: fmt.Sprintf("router-%d", n), ip: s.ip(n), zone: zoneOf(n), program: s.Program}
	i.storeRelay.Target = storeAddr
	var err error
	if i.storeAddr, err = i.storeRelay.Listen("127.0.0.1:0"); err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = i.storeRelay.Close() })
	i.settings = filepath.Join(f.dir, i.name+".toml")
	if err := i.writeSettings([]string{hitchstandin.ControlAddr(s.ip(0)), hitchstandin.ControlAddr(s.ip(1))}); err != nil {
		return err
	}
	f.instances = append(f.instances, i)
	return i.start()
}

// everyHeartbeat calls a function each heartbeatInterval until ctx ends.
func everyHeartbeat(ctx context.Context, do func()) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}

// writeHeartbeats writes the entries of all endpoints, and keeps a copy of the store.
func (f *fleet) writeHeartbeats() {
	f.keepCopy()
	for _, e := range f.endpoints {
		e.mu.Lock()
		if e.removals == 0 {
			f.store.Put(e.Key(), e.Entry("ready"))
		}
		e.mu.Unlock()
	}
}

// writeConfig writes a new version of the configuration without the revoked keys.
func (f *fleet) writeConfig() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.putConfig()
}

// putConfig writes the present version of the configuration. It is called with mu held.
func (f *fleet) putConfig() {
	var keys []string
	for n, key := range f.keys {
		if f.revocations[n] == 0 {
			keys = append(keys, key)
		}
	}
	f.store.Put("op/config", hitchstandin.Config(f.version, keys, f.variation))
}

// revokeKey revokes an organisation's key and returns the function that restores it, unless
// another revocation is still in force.
func (f *fleet) revokeKey(n int) (undo func()) {
	f.addRevocation(n, 1)
	return func() { f.addRevocation(n, -1) }
}

func (f *fleet) addRevocation(n, change int) {
	f.mu.Lock()
	if f.revocations == nil {
		f.revocations = make(map[int]int)
	}
	f.revocations[n] += change
	f.mu.Unlock()
	f.writeConfig()
}

// removeEndpoint deletes an endpoint's entry from the store and returns the function that
// writes it again, unless another removal is still in force.
func (f *fleet) removeEndpoint(n int) (undo func()) {
	f.addRemoval(n, 1)
	return func() { f.addRemoval(n, -1) }
}

func (f *fleet) addRemoval(n, change int) {
	e := f.endpoints[n]
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removals += change
	if e.removals > 0 {
		f.store.Delete(e.Key())
	} else {
		f.store.Put(e.Key(), e.Entry("ready"))
	}
}

// start starts the process.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	cmd := exec.Command(i.program, "ingress", "--config", i.settings)
	cmd.Env = append(os.Environ(), processEnv...)
	cmd.Stdout, cmd.Stderr = &lockedBuffer{mu: &i.mu, b: &i.log}, &lockedBuffer{mu: &i.mu, b: &i.log}
	if err := cmd.Start(); err != nil {
		return err
	}
	i.cmd, i.startedAt = cmd, time.Now()
	return nil
}

// processEnv makes a test binary run the program instead of its tests.
var processEnv = []string{"RUN_PROGRAM=1"}

// signal sends a signal to the process.
func (i *instance) signal(sig syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd != nil {
		_ = i.cmd.Process.Signal(sig)
	}
}

// beginStop records that the process gets a signal that ends it. It returns false if it has got one before.
func (i *instance) beginStop() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.isStopping {
		return false
	}
	i.isStopping = true
	return true
}

// endStop records that the process has ended.
func (i *instance) endStop() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.isStopping = false
}

// signalIfStopping sends a signal to the process if it has got one that ends it.
func (i *instance) signalIfStopping(sig syscall.Signal) {
	i.mu.Lock()
	isStopping := i.isStopping
	i.mu.Unlock()
	if isStopping {
		i.signal(sig)
	}
}

// Times of a throttled process, which runs for runTime of each throttlePeriod.
const (
	throttlePeriod = 100 * time.Millisecond
	runTime        = 40 * time.Millisecond
)

// throttle stops and continues the process in turns, as a quota of processor time does.
// It returns the function that ends this.
func (i *instance) throttle() (undo func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		for ctx.Err() == nil {
			i.signal(syscall.SIGSTOP)
			time.Sleep(throttlePeriod - runTime)
			i.signal(syscall.SIGCONT)
			time.Sleep(runTime)
		}
	})
	return func() {
		cancel()
		wg.Wait()
	}
}

// wait waits until the current process ends. It returns an error unless the process
// exited with status 0 or was killed by a signal.
func (i *instance) wait() error {
	i.mu.Lock()
	cmd := i.cmd
	i.mu.Unlock()
	err := cmd.Wait()
	var exit *exec.ExitError
	if errors.As(err, &exit) && exit.Sys().(syscall.WaitStatus).Signaled() {
		return nil
	}
	return err
}

// lockedBuffer writes a process's log under the instance's lock.
type lockedBuffer struct {
	mu *sync.Mutex
	b  *bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}
