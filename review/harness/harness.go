//go:build review

// Package harness runs a small deployment of real processes on loopback addresses for the
// cases of the review: the platform's store, replicas and clients are stand-ins.
package harness

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"citronhitch.example/citronhitch/hitchfake"
	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

// Record is the file in which a case writes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	w     *bufio.Writer
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, w: bufio.NewWriter(f), start: time.Now()}, nil
}

// Printf writes a line with the time since the start of the case.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// Say writes a line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close ends the record.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}

// Log collects the output of a process.
type Log struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// String returns the output so far.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// Instance is one process of the system.
type Instance struct {
	Name, IP, Zone string
	Store          hitchfake.Relay
	Log            Log

	settings string
	program  string
	cmd      *exec.Cmd
	done     chan struct{}
}

// Fleet is a deployment.
type Fleet struct {
	Record    *Record
	Store     hitchstandin.Store
	Instances []*Instance

	dir    string
	cancel context.CancelFunc
	closed []func()
}

// Zone returns the zone of number n, one of three.
func Zone(n int) string { return string(rune('a' + n%3)) }

// Start starts the store and n instances. settings changes the text of a settings file.
func Start(ctx context.Context, record *Record, program string, n int, settings func(string) string) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "citronhitch-review")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	f := &Fleet{Record: record, dir: dir, cancel: cancel}
	go f.Store.Run(ctx)
	storeAddr, err := f.Serve("127.0.0.1:0", &f.Store)
	if err != nil {
		return f, err
	}
	ips, err := freeIPs(n)
	if err != nil {
		return f, err
	}
	seeds := []string{hitchstandin.ControlAddr(ips[0]), hitchstandin.ControlAddr(ips[min(1, n-1)])}
	for k := range n {
		i := &Instance{Name: fmt.Sprintf("edge-%s-%d", Zone(k), k), IP: ips[k], Zone: Zone(k), program: program}
		i.Store.Target = storeAddr
		relayAddr, err := i.Store.Listen("127.0.0.1:0")
		if err != nil {
			return f, err
		}
		f.closed = append(f.closed, func() { _ = i.Store.Close() })
		i.settings = filepath.Join(dir, i.Name+".toml")
		text := hitchstandin.Settings(i.Name, i.IP, i.Zone, relayAddr, seeds)
		text = strings.Replace(text, "linkMbps = 1000.0", "linkMbps = 1000.0\nmemoryMb = 284", 1)
		text = strings.Replace(text, "retryBudgetRatio = 0.2", "retryBudgetRatio = 0.2\nbudgetWindowS = 10\nretrySlack = 54\ncapFactor = 2", 1)
		text = "heartbeatMs = 1200\n" + contracts + text
		if settings != nil {
			text = settings(text)
		}
		if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
			return f, err
		}
		f.Instances = append(f.Instances, i)
	}
	return f, nil
}

// contracts is the line of the settings with the parts of the rules that are in force.
const contracts = `contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform"]` + "\n"

// freeIPs returns loopback addresses on which the port of the front is free.
func freeIPs(n int) (ips []string, err error) {
	first := os.Getpid() * 16 // fleets that run at the same time have addresses of their own
	for k := first; len(ips) < n; k++ {
		ip := fmt.Sprintf("127.%d.%d.%d", 32+k/250/250%90, k/250%250, 1+k%250)
		l, err := net.Listen("tcp", hitchstandin.FrontAddr(ip))
		if err != nil {
			if k > first+1000 {
				return nil, err
			}
			continue
		}
		_ = l.Close()
		ips = append(ips, ip)
	}
	return ips, nil
}

// Serve serves a handler on an address until Stop.
func (f *Fleet) Serve(addr string, h http.Handler) (string, error) {
	listening, _, err := f.ServeUntil(addr, h)
	return listening, err
}

// ServeUntil serves a handler on an address until end is called, or Stop. All channels are closed
// then, as when the process ends.
func (f *Fleet) ServeUntil(addr string, h http.Handler) (listening string, end func(), err error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	end = func() { _ = server.Close() }
	f.closed = append(f.closed, end)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), end, nil
}

// StartInstances starts the processes and waits until they are ready.
func (f *Fleet) StartInstances() error {
	for _, i := range f.Instances {
		if err := i.Start(); err != nil {
			return err
		}
	}
	for _, i := range f.Instances {
		if err := i.AwaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// Start starts the process.
func (i *Instance) Start() error {
	cmd := exec.Command(i.program, "ingress", "--config", i.settings)
	cmd.Stdout, cmd.Stderr = &i.Log, &i.Log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	i.cmd, i.done = cmd, done
	go func() { _ = cmd.Wait(); close(done) }()
	return nil
}

// AwaitReady waits until the instance says that it is ready.
func (i *Instance) AwaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for begin := time.Now(); time.Since(begin) < limit; time.Sleep(50 * time.Millisecond) {
		res, err := client.Get("http://" + i.IP + ":8220/v1/readiness")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			client.CloseIdleConnections()
			return nil
		}
	}
	return fmt.Errorf("%s isn't ready", i.Name)
}

// Signal sends a signal to the process.
func (i *Instance) Signal(sig syscall.Signal) { _ = i.cmd.Process.Signal(sig) }

// Done is closed once the process has ended.
func (i *Instance) Done() <-chan struct{} { return i.done }

// Front is the address for clients.
func (i *Instance) Front() string { return hitchstandin.FrontAddr(i.IP) }

// IsHub reports whether the instance logged last that it is a hub.
func (i *Instance) IsHub() bool {
	log := i.Log.String()
	at := strings.LastIndex(log, "IsHub=")
	return at >= 0 && strings.HasPrefix(log[at:], "IsHub=true")
}

// Stop ends all processes and stand-ins.
func (f *Fleet) Stop() {
	for _, i := range f.Instances {
		if i.cmd != nil {
			_ = i.cmd.Process.Kill()
			<-i.done
		}
	}
	f.cancel()
	for _, c := range f.closed {
		c()
	}
	_ = os.RemoveAll(f.dir)
}

// SaveLogs writes the processes' output to a folder, if it is set.
func (f *Fleet) SaveLogs(dir string) {
	if dir == "" {
		return
	}
	_ = os.MkdirAll(dir, 0o755)
	for _, i := range f.Instances {
		_ = os.WriteFile(filepath.Join(dir, i.Name+".log"), []byte(i.Log.String()), 0o600)
	}
}

// Exchange sends one request on a channel and reads the whole answer.
func Exchange(c net.Conn, br *bufio.Reader, r *http.Request) (status int, header http.Header, body []byte, err error) {
	if err = r.Write(c); err != nil {
		return 0, nil, nil, err
	}
	res, err := http.ReadResponse(br, r)
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err = io.ReadAll(res.Body)
	return res.StatusCode, res.Header, body, err
}
