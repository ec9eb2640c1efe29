package hitchsoak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

// Endpoints of a soak that are processes.
const (
	// bookingProcesses and engineProcesses are the numbers of processes, with slots each. As many
	// requests may wait.
	bookingProcesses, engineProcesses = 4, 5
	bookingSlots, engineProcessSlots  = 6, 64
	bookingWorkMilliseconds           = 45
)

// endpointProcess is an endpoint that runs as a process, which ends and starts again at its address.
type endpointProcess struct {
	entry    hitchstandin.Endpoint
	settings hitchstandin.ProcessSettings
	program  string

	mu  sync.Mutex
	cmd *exec.Cmd
	// isPaused is set while the process stands still, silentFrom is when it last stopped to write its
	// entry, and isUp is set while it runs.
	isPaused, isUp bool
	silentFrom     time.Time
}

// endpointProcesses are the endpoints of a soak of VariantRepeats.
type endpointProcesses struct {
	fleet *fleet
	all   []*endpointProcess
}

// startEndpointProcesses starts the processes, which misbehave until a time.
func (f *fleet) startEndpointProcesses(ctx context.Context, s *Soak, until time.Time) error {
	f.processes = &endpointProcesses{fleet: f}
	for n := range bookingProcesses + engineProcesses {
		p := &endpointProcess{program: s.Program}
		p.settings = hitchstandin.ProcessSettings{
			ID: fmt.Sprintf("p-%d", n), Service: "shop", Zone: zoneOf(n), Slots: bookingSlots, Queue: bookingSlots, WorkMilliseconds: bookingWorkMilliseconds,
			Seed: s.Seed<<8 + uint64(n), MisbehavesUntil: until, RunFile: filepath.Join(f.dir, fmt.Sprintf("runs-%d", n)),
		}
		if n >= bookingProcesses {
			p.settings.Service, p.settings.Slots = streamService, engineProcessSlots
		}
		p.entry = hitchstandin.Endpoint{
			ID: p.settings.ID, Service: p.settings.Service, Zone: p.settings.Zone, Addr: s.ip(engineIPNumber) + ":0",
			Brittle: &hitchstandin.Brittle{Slots: p.settings.Slots},
		}
		if err := p.start(); err != nil {
			return err
		}
		f.processes.all = append(f.processes.all, p)
	}
	f.processes.writeEntries()
	go everyHeartbeat(ctx, f.processes.writeEntries)
	return nil
}

// start starts the process at its address.
func (p *endpointProcess) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, err := net.Listen("tcp", p.entry.Addr)
	if err != nil {
		return err
	}
	defer func() { _ = l.Close() }()
	file, err := l.(*net.TCPListener).File()
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	settings, err := json.Marshal(p.settings)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.program, "fake-endpoint", string(settings))
	cmd.Env = append(os.Environ(), processEnv...)
	cmd.ExtraFiles = []*os.File{file}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.entry.Addr, p.cmd, p.isUp = l.Addr().String(), cmd, true
	return nil
}

// signal sends a signal to the process.
func (p *endpointProcess) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isUp {
		_ = p.cmd.Process.Signal(sig)
	}
}

// pause makes the process stand still. It returns the function that lets it go on.
func (p *endpointProcess) pause() (undo func()) {
	p.setPaused(true)
	p.signal(syscall.SIGSTOP)
	return func() {
		p.signal(syscall.SIGCONT)
		p.setPaused(false)
	}
}

func (p *endpointProcess) setPaused(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isPaused, p.silentFrom = on, time.Now()
}

// kill ends the process without notice. It returns the function that starts it again at its address,
// under its ID.
func (p *endpointProcess) kill(f *fleet) (undo func()) {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	_ = p.cmd.Wait()
	p.isUp, p.silentFrom = false, time.Now()
	p.mu.Unlock()
	return func() {
		p.entry.Restart()
		if err := p.start(); err != nil {
			f.addProcessFailure(err.Error())
		}
	}
}

// writeEntry writes the entry of a process that runs, and removes that of one that has been silent
// for too long.
func (p *endpointProcess) writeEntry(store *hitchstandin.Store) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.isUp && !p.isPaused:
		store.Put(p.entry.Key(), p.entry.Entry("ready"))
	case time.Since(p.silentFrom) > entryExpiry:
		store.Delete(p.entry.Key())
	}
}

// writeEntries writes the entries of the processes.
func (s *endpointProcesses) writeEntries() {
	for _, p := range s.all {
		p.writeEntry(&s.fleet.store)
	}
}

// end ends the processes, and adds their runs to the fleet's.
func (s *endpointProcesses) end() error {
	for _, p := range s.all {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		p.mu.Lock()
		if p.isUp {
			_ = p.cmd.Wait()
			p.isUp = false
		}
		p.mu.Unlock()
		file, err := os.Open(p.settings.RunFile)
		if err != nil {
			return err
		}
		err = s.fleet.runLog.ReadRuns(file)
		_ = file.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

// startFault starts a fault of a process. It returns false for a fault of another kind.
func (s *endpointProcesses) startFault(fault Fault) (undo func(), ok bool) {
	p := s.all[fault.Target%len(s.all)]
	switch fault.Kind {
	case PauseProcess:
		return p.pause(), true
	case KillProcess:
		return p.kill(s.fleet), true
	default:
		return nil, false
	}
}
