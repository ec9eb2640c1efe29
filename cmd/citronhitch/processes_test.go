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

// runProgramVariable is an environment variable that makes the test binary run the
// program instead of the tests, so that sessions run it as separate processes.
const runProgramVariable = "RUN_PROGRAM=1"

func TestMain(m *testing.M) {
	if os.Getenv("RUN_PROGRAM") != "" {
		main()
	}
	os.Exit(m.Run())
}

const (
	fleetKey      = "test=0123456789abcdef"
	bookingSecret = "fedcba9876543210"
	readyTimeout  = 20 * time.Second
)

// process is a running program. values are the NAME=VALUE pairs of its first line of
// output.
type process struct {
	cmd    *exec.Cmd
	values map[string]string
}

// startProcess runs the program in the background, waits until it is ready and parses
// the line that it then prints.
func startProcess(t *testing.T, args ...string) *process { return startProgram(t, os.Args[0], args...) }

func startProgram(t *testing.T, program string, args ...string) *process {
	cmd := exec.Command(program, args...)
	cmd.Env = append(os.Environ(), runProgramVariable)
	cmd.Env = withoutSettings(cmd.Env)
	cmd.Stderr = io.Discard
	stdout, err := cmd.StdoutPipe()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, cmd.Start(), qt.IsNil)
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	line, err := bufio.NewReader(stdout).ReadString('\n')
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%v", args))
	started := &process{cmd: cmd, values: make(map[string]string)}
	for _, field := range strings.Fields(line) {
		name, value, _ := strings.Cut(field, "=")
		started.values[name] = value
	}
	return started
}

// withoutSettings returns env without the program's own variables.
func withoutSettings(env []string) []string {
	var kept []string
	for _, entry := range env {
		if !strings.HasPrefix(entry, envPrefix) {
			kept = append(kept, entry)
		}
	}
	return kept
}

// fleet consists of routers and fakes, each a separate process. The transcript
// records a session's commands and results for comparison with a golden file.
type fleet struct {
	// program is what the routers run, and serveArgs are more arguments of its serve command.
	program    string
	serveArgs  []string
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
	return startFleetThrough(t, os.Args[0], func(_, addr string) string { return addr })
}

// startFleetThrough starts a small deployment whose routers are processes of a program, and reach the fakes at the
// addresses that through returns for their names and addresses.
func startFleetThrough(t *testing.T, program string, through func(name, addr string) string, serveArgs ...string) *fleet {
	d := hitchdev.Kustakvariet()
	d.Routers, d.Engines, d.Services, d.Organisations = 3, 3, 1, 2
	f := &fleet{program: program, serveArgs: serveArgs, deployment: d, store: startProcess(t, "fake", "store"), list: startProcess(t, "fake", "list")}
	f.store.values["Address"] = through("store", f.store.values["Address"])
	f.list.values["Address"] = through("list", f.list.values["Address"])
	for n := range d.Engines {
		f.engines = append(f.engines, startProcess(t, "fake", "engine", "--tokens-per-second=200"))
		f.platform.Endpoints = append(f.platform.Endpoints, hitchfleet.Endpoint{
			ID: hitchfleet.EndpointID(fmt.Sprintf("guide-llm-%d", n)), URL: "http://" + through("engine", f.engines[n].values["Address"]),
			Region: d.Region, Zone: d.Zone(n), Route: d.EngineRoute,
		})
	}
	f.services = append(f.services, startProcess(t, "fake", "service"))
	f.platform.Endpoints = append(f.platform.Endpoints, hitchfleet.Endpoint{
		ID: "boxoffice-api-0", Kind: hitchfleet.KindService, URL: "http://" + through("service", f.services[0].values["Address"]),
		Region: d.Region, Zone: d.Zone(0), Route: d.ServiceRoute,
	})
	f.createConfiguration(t)
	f.startRouters(t)
	return f
}

// createConfiguration runs the init command.
func (f *fleet) createConfiguration(t *testing.T) {
	intents, err := json.Marshal(f.deployment.Intents())
	qt.Assert(t, err, qt.IsNil)
	cmd := exec.Command(os.Args[0], "init", "--store=http://"+f.store.values["Address"], "--fleet-key="+fleetKey)
	cmd.Env = withoutSettings(append(os.Environ(), runProgramVariable))
	cmd.Stdin = bytes.NewReader(intents)
	output, err := cmd.CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", output))
	f.logf("$ citronhitch init\n%s", output)
}

func (f *fleet) startRouters(t *testing.T) {
	var authority hitchpeer.DevCertificates
	for n := range f.deployment.Routers {
		id := hitchfleet.InstanceID(fmt.Sprintf("router-%d", n))
		keys, err := authority.Issue(id, time.Now())
		qt.Assert(t, err, qt.IsNil)
		router := startProgram(t, f.program, append([]string{"serve", "--id=" + string(id), "--region=" + string(f.deployment.Region), "--zone=" + string(f.deployment.Zone(n)),
			"--address=127.0.0.1:0", "--peer-address=127.0.0.1:0", "--grace-ms=500",
			"--store=http://" + f.store.values["Address"], "--list=http://" + f.list.values["Address"],
			"--peer-certificate=" + keys.Certificate, "--peer-key=" + keys.PrivateKey, "--peer-authority=" + keys.Authorities,
			"--booking-secret=" + bookingSecret, "--fleet-key=" + fleetKey}, f.serveArgs...)...)
		f.routers = append(f.routers, router)
		f.platform.Instances = append(f.platform.Instances, hitchfleet.Instance{
			ID: id, Addr: router.values["Address"], PeerAddr: router.values["PeerAddress"],
			Region: f.deployment.Region, Zone: f.deployment.Zone(n),
		})
	}
	body, err := json.Marshal(f.platform)
	qt.Assert(t, err, qt.IsNil)
	request, err := http.NewRequest(http.MethodPut, "http://"+f.list.values["AdminAddress"]+"/instances", bytes.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	response, err := http.DefaultClient.Do(request)
	qt.Assert(t, err, qt.IsNil)
	_ = response.Body.Close()
	f.awaitReady(t)
}

// awaitReady waits until every router lists all routers as up to date and no endpoint
// as cold, and until the routers refuse no chats.
func (f *fleet) awaitReady(t *testing.T) {
	deadline := time.Now().Add(readyTimeout)
	for _, router := range f.routers {
		for {
			output, code := runProgram(f.operatorArgs(router, "status")...)
			if code == exitOK && strings.Contains(output, "is in force on 3 of 3 routers") && strings.Count(output, "Cold=false") == len(f.platform.Endpoints) {
				break
			}
			qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%s", output))
			<-time.After(50 * time.Millisecond)
		}
	}
	for !f.isSettled(t) {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("routers still refuse chats"))
	}
}

// isSettled reports whether every router accepts chats at the first attempt. Right
// after the start, the endpoints' owners refuse some because they don't know yet how
// loaded the endpoints are.
func (f *fleet) isSettled(t *testing.T) bool {
	const chats = 24
	for n := range chats {
		client := f.client(0)
		client.Routers = client.Routers[n%len(client.Routers):]
		_, body := chatBody(t, 0, hitchfake.Message{Role: "user", Content: fmt.Sprintf("Settled %d?", n)})
		response, err := client.Chat(context.Background(), fmt.Sprintf("settle-%d", n), body, nil)
		qt.Assert(t, err, qt.IsNil)
		if response.Attempts > 1 {
			return false
		}
	}
	return true
}

func (f *fleet) operatorArgs(router *process, args ...string) []string {
	return append(args, "--router="+router.values["Address"], "--operator-key="+f.deployment.OperatorKey())
}

// runProgram runs the program until it exits, and returns its output and exit code.
func runProgram(args ...string) (string, int) {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = withoutSettings(append(os.Environ(), runProgramVariable))
	output, _ := cmd.CombinedOutput()
	return string(output), cmd.ProcessState.ExitCode()
}

// runOperatorCommand runs an operator's command at a router and adds it to the
// transcript.
func (f *fleet) runOperatorCommand(router int, args ...string) string {
	output, code := runProgram(f.operatorArgs(f.routers[router], args...)...)
	f.logf("$ citronhitch %s    (at router-%d)\n%s[exit %d]\n", strings.Join(args, " "), router, output, code)
	return output
}

func (f *fleet) logf(format string, args ...any) { fmt.Fprintf(&f.transcript, format, args...) }

func (f *fleet) client(organisation int) *hitchclient.Client {
	c := &hitchclient.Client{Key: f.deployment.APIKey(organisation), Zone: string(f.deployment.Zone(0))}
	for _, router := range f.routers {
		c.Routers = append(c.Routers, router.values["Address"])
	}
	return c
}

// serviceRuns returns the requests that the plain service has executed.
func (f *fleet) serviceRuns(t *testing.T) []hitchfake.Run {
	response, err := http.Get("http://" + f.services[0].values["AdminAddress"] + "/runs")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	var list hitchfake.RunList
	qt.Assert(t, json.NewDecoder(response.Body).Decode(&list), qt.IsNil)
	return list.Runs
}

// stopRouter sends SIGTERM to a router, waits until it exits and returns its exit code.
func (f *fleet) stopRouter(t *testing.T, router int) int {
	qt.Assert(t, f.routers[router].cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	_ = f.routers[router].cmd.Wait()
	return f.routers[router].cmd.ProcessState.ExitCode()
}

// volatilePatterns match the parts of a transcript that differ between two runs, and
// replace them with fixed text.
var volatilePatterns = []struct {
	pattern     *regexp.Regexp
	replacement string
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

// compareTranscript compares the transcript with a golden file, or updates the file if
// -update is set.
func (f *fleet) compareTranscript(t *testing.T, name string) {
	got := f.transcript.String()
	for _, v := range volatilePatterns {
		got = v.pattern.ReplaceAllString(got, v.replacement)
	}
	compareGolden(t, name, got)
}
