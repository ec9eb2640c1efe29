package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchclient"
	"citronhitch.example/citronhitch/hitchdev"
	"citronhitch.example/citronhitch/hitchfake"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchpeer"
)

// runMain makes the test binary behave as the program, so that sessions run as
// processes of their own.
const runMain = "RUN_PROGRAM=1"

func TestMain(m *testing.M) {
	if os.Getenv("RUN_PROGRAM") != "" {
		main()
	}
	os.Exit(m.Run())
}

const (
	fleetKey      = "test=0123456789abcdef"
	bookingSecret = "fedcba9876543210"
	readyIn       = 20 * time.Second
)

// process is a running program and the words of its first line.
type process struct {
	cmd   *exec.Cmd
	words map[string]string
}

// start runs the program in the background and reads the line that it prints
// once it is ready.
func start(t *testing.T, args ...string) *process {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), runMain)
	cmd.Env = withoutSeed(cmd.Env)
	cmd.Stderr = io.Discard
	out, err := cmd.StdoutPipe()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, cmd.Start(), qt.IsNil)
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%v", args))
	p := &process{cmd: cmd, words: make(map[string]string)}
	for _, word := range strings.Fields(line) {
		name, value, _ := strings.Cut(word, "=")
		p.words[name] = value
	}
	return p
}

func withoutSeed(env []string) []string {
	var kept []string
	for _, entry := range env {
		if !strings.HasPrefix(entry, envPrefix) {
			kept = append(kept, entry)
		}
	}
	return kept
}

// fleet is routers and stand-ins, each a process.
type fleet struct {
	deployment hitchdev.Deployment
	store      *process
	list       *process
	engines    []*process
	services   []*process
	routers    []*process
	platform   hitchfleet.InstanceList
	transcript bytes.Buffer
}

// startFleet starts a small deployment as separate processes.
func startFleet(t *testing.T) *fleet {
	d := hitchdev.Kustakvariet()
	d.Routers, d.Engines, d.Services, d.Organisations = 3, 3, 1, 2
	f := &fleet{deployment: d, store: start(t, "fake", "store"), list: start(t, "fake", "list")}
	for n := range d.Engines {
		f.engines = append(f.engines, start(t, "fake", "engine", "--tokens-per-second=200"))
		f.platform.Endpoints = append(f.platform.Endpoints, hitchfleet.Endpoint{
			ID: hitchfleet.EndpointID(fmt.Sprintf("guide-llm-%d", n)), URL: "http://" + f.engines[n].words["Address"],
			Region: d.Region, Zone: d.Zone(n), Route: d.EngineRoute,
		})
	}
	f.services = append(f.services, start(t, "fake", "service"))
	f.platform.Endpoints = append(f.platform.Endpoints, hitchfleet.Endpoint{
		ID: "boxoffice-api-0", Kind: hitchfleet.KindService, URL: "http://" + f.services[0].words["Address"],
		Region: d.Region, Zone: d.Zone(0), Route: d.ServiceRoute,
	})
	f.seed(t)
	f.startRouters(t)
	return f
}

func (f *fleet) seed(t *testing.T) {
	intents, err := json.Marshal(f.deployment.Intents())
	qt.Assert(t, err, qt.IsNil)
	cmd := exec.Command(os.Args[0], "init", "--store=http://"+f.store.words["Address"], "--fleet-key="+fleetKey)
	cmd.Env = withoutSeed(append(os.Environ(), runMain))
	cmd.Stdin = bytes.NewReader(intents)
	out, err := cmd.CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	f.note("$ citronhitch init\n%s", out)
}

func (f *fleet) startRouters(t *testing.T) {
	var authority hitchpeer.DevCertificates
	for n := range f.deployment.Routers {
		id := hitchfleet.InstanceID(fmt.Sprintf("router-%d", n))
		keys, err := authority.Issue(id, time.Now())
		qt.Assert(t, err, qt.IsNil)
		router := start(t, "serve", "--id="+string(id), "--region="+string(f.deployment.Region), "--zone="+string(f.deployment.Zone(n)),
			"--address=127.0.0.1:0", "--peer-address=127.0.0.1:0", "--grace-ms=500",
			"--store=http://"+f.store.words["Address"], "--list=http://"+f.list.words["Address"],
			"--peer-certificate="+keys.Certificate, "--peer-key="+keys.PrivateKey, "--peer-authority="+keys.Authorities,
			"--booking-secret="+bookingSecret, "--fleet-key="+fleetKey)
		f.routers = append(f.routers, router)
		f.platform.Instances = append(f.platform.Instances, hitchfleet.Instance{
			ID: id, Addr: router.words["Address"], PeerAddr: router.words["PeerAddress"],
			Region: f.deployment.Region, Zone: f.deployment.Zone(n),
		})
	}
	body, err := json.Marshal(f.platform)
	qt.Assert(t, err, qt.IsNil)
	r, err := http.NewRequest(http.MethodPut, "http://"+f.list.words["AdminAddress"]+"/instances", bytes.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	answer, err := http.DefaultClient.Do(r)
	qt.Assert(t, err, qt.IsNil)
	_ = answer.Body.Close()
	f.awaitReady(t)
}

// awaitReady waits until every router serves and sees all of them.
func (f *fleet) awaitReady(t *testing.T) {
	deadline := time.Now().Add(readyIn)
	for _, router := range f.routers {
		for {
			out, code := run(f.operatorArgs(router, "status")...)
			if code == exitOK && strings.Contains(out, "is in force on 3 of 3 routers") && strings.Count(out, "Cold=false") == len(f.platform.Endpoints) {
				break
			}
			qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%s", out))
			<-time.After(50 * time.Millisecond)
		}
	}
	for !f.isSettled(t) {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("the fleet doesn't settle"))
	}
}

// isSettled sends chats to every router. The owners of a fleet that has just
// started refuse some: they don't know yet what the endpoints hold.
func (f *fleet) isSettled(t *testing.T) bool {
	const chats = 24
	for n := range chats {
		client := f.client(0)
		client.Entries = client.Entries[n%len(client.Entries):]
		_, body := chatBody(t, 0, hitchfake.Message{Role: "user", Content: fmt.Sprintf("Settled %d?", n)})
		answer, err := client.Chat(context.Background(), fmt.Sprintf("settle-%d", n), body, nil)
		qt.Assert(t, err, qt.IsNil)
		if answer.Tries > 1 {
			return false
		}
	}
	return true
}

func (f *fleet) operatorArgs(router *process, args ...string) []string {
	return append(args, "--router="+router.words["Address"], "--operator-key="+f.deployment.OperatorKey())
}

// run runs the program to its end and returns what it printed and its exit code.
func run(args ...string) (string, int) {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = withoutSeed(append(os.Environ(), runMain))
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

// operator runs an operator's command and notes it in the transcript.
func (f *fleet) operator(router int, args ...string) string {
	out, code := run(f.operatorArgs(f.routers[router], args...)...)
	f.note("$ citronhitch %s    (at router-%d)\n%s[exit %d]\n", strings.Join(args, " "), router, out, code)
	return out
}

func (f *fleet) note(format string, args ...any) { fmt.Fprintf(&f.transcript, format, args...) }

func (f *fleet) client(organisation int) *hitchclient.Client {
	c := &hitchclient.Client{Key: f.deployment.APIKey(organisation), Zone: string(f.deployment.Zone(0))}
	for _, router := range f.routers {
		c.Entries = append(c.Entries, router.words["Address"])
	}
	return c
}

// runs returns the records of the plain service.
func (f *fleet) runs(t *testing.T) []hitchfake.Run {
	answer, err := http.Get("http://" + f.services[0].words["AdminAddress"] + "/runs")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = answer.Body.Close() }()
	var list hitchfake.RunList
	qt.Assert(t, json.NewDecoder(answer.Body).Decode(&list), qt.IsNil)
	return list.Runs
}

// stop sends SIGTERM to a router and returns its exit code.
func (f *fleet) stop(t *testing.T, router int) int {
	qt.Assert(t, f.routers[router].cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	_ = f.routers[router].cmd.Wait()
	return f.routers[router].cmd.ProcessState.ExitCode()
}

// changing is what differs between two runs of a session.
var changing = []struct {
	pattern *regexp.Regexp
	with    string
}{
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDRESS"},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+Z`), "TIME"},
	{regexp.MustCompile(`(citronhitch confirm) [A-Za-z0-9_-]{40,}`), "$1 PLAN"},
	{regexp.MustCompile(`[A-Za-z0-9_-]{60,}`), "PLAN"},
	{regexp.MustCompile(`\b[0-9A-HJKMNP-TV-Z]{26}\b`), "ULID"},
	{regexp.MustCompile(`In force on \d of 3 routers, \d refuse new work\.\n`), ""},
	{regexp.MustCompile(`Owner=router-\d`), "Owner=ROUTER"},
	{regexp.MustCompile(`Load=\d+`), "Load=N"},
}

// golden compares the transcript with the session's file, or renews it.
func (f *fleet) golden(t *testing.T, name string) {
	got := f.transcript.String()
	for _, c := range changing {
		got = c.pattern.ReplaceAllString(got, c.with)
	}
	compareGolden(t, name, got)
}
