package hitchsoak

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"citronhitch.example/citronhitch/hitchfake"
	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

// A crowd meets one process with these limits.
const (
	crowdMegabytes = 96
	crowdFds       = 600
	// crowdSpareFds are kept for endpoints, other instances and the store.
	crowdSpareFds = 100
)

// startCrowdFleet starts one process with the limits of a crowd, and returns it when it serves.
func startCrowdFleet(t *testing.T, program string) *endlessFleet {
	f := &endlessFleet{killedFleet: &killedFleet{fleet: &fleet{dir: t.TempDir()}, t: t}}
	t.Cleanup(f.killInstances)
	qt.Assert(t, f.start(t.Context(), &Soak{Seed: 590, Program: program, Instances: 1}), qt.IsNil)
	i := f.instances[0]
	i.signal(syscall.SIGKILL)
	_ = i.cmd.Wait()
	text, err := os.ReadFile(i.settings)
	qt.Assert(t, err, qt.IsNil)
	limits := fmt.Sprintf("memoryMb = %d\nmaxFds = %d\nlinkMbps", crowdMegabytes, crowdFds)
	qt.Assert(t, os.WriteFile(i.settings, bytes.Replace(text, []byte("linkMbps"), []byte(limits), 1), 0o600), qt.IsNil)
	qt.Assert(t, i.start(), qt.IsNil)
	limit := unix.Rlimit{Cur: crowdFds, Max: crowdFds}
	qt.Assert(t, unix.Prlimit(i.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil), qt.IsNil)
	f.awaitServing("ready")
	return f
}

// checkLimits checks that the process lives, and that its memory and its descriptors are within their bounds.
func (f *endlessFleet) checkLimits(t *testing.T) {
	pid := f.instances[0].cmd.Process.Pid
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	qt.Assert(t, err, qt.IsNil)
	m := peakMemory.FindSubmatch(status)
	qt.Assert(t, m, qt.HasLen, 2, qt.Commentf("the process has ended"))
	kilobytes, _ := strconv.Atoi(string(m[1]))
	fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	qt.Assert(t, err, qt.IsNil)
	t.Logf("%d MB at the peak, %d descriptors", kilobytes>>10, len(fds))
	qt.Check(t, kilobytes>>10 < crowdMegabytes, qt.IsTrue, qt.Commentf("%d MB", kilobytes>>10))
	qt.Check(t, len(fds) <= crowdFds-crowdSpareFds, qt.IsTrue, qt.Commentf("%d descriptors", len(fds)))
}

const (
	crowdKey   = "Api-Key: key-0\r\n"
	crowdHead  = "POST /lookup/x HTTP/1.1\r\nHost: soak.example\r\nX-Attempt-Id: crowd\r\n" + crowdKey
	slowHead   = "POST /stream/20x100/x HTTP/1.1\r\nHost: soak.example\r\nX-Attempt-Id: crowd\r\n" + crowdKey
	plainHead  = "GET /v1/directory?zone=a HTTP/1.1\r\nHost: soak.example\r\n"
	emptyBody  = "Content-Length: 0\r\n\r\n"
	chunkStart = "Transfer-Encoding: chunked\r\n\r\n"
)

// metricsPort is the port of the metrics, as deploy/system.toml declares it.
const metricsPort = 9464

// internalPorts are the addresses that don't serve callers' requests.
var internalPorts = map[string]func(ip string) string{
	"directory": func(ip string) string { return fmt.Sprintf("%s:%d", ip, hitchstandin.DirectoryPort) },
	"readiness": func(ip string) string { return fmt.Sprintf("%s:%d", ip, hitchstandin.ReadyPort) },
	"peers":     hitchstandin.ControlAddr,
	"metrics":   func(ip string) string { return fmt.Sprintf("%s:%d", ip, metricsPort) },
}

// crowds returns the crowds by name.
func crowds() map[string]hitchfake.Crowd {
	out := map[string]hitchfake.Crowd{
		"lines of many names":                     {Conns: 200, Start: crowdHead, LineBytes: 15000, End: emptyBody},
		"lines, endpoints are slow":               {Conns: 140, Start: slowHead, LineBytes: 15000, End: emptyBody},
		"lines of one name":                       {Conns: 250, Start: crowdHead, LineBytes: 15000, Name: "a", End: emptyBody},
		"15 kB of lines, no end":                  {Conns: 500, Start: crowdHead, LineBytes: 15000},
		"60 kB of lines, no end":                  {Conns: 120, Start: crowdHead, LineBytes: 60000},
		"60 kB of lines":                          {Conns: 100, Start: crowdHead, LineBytes: 60000, End: emptyBody},
		"nothing":                                 {Conns: 800},
		"one request, then nothing":               {Conns: 800, Start: crowdHead + emptyBody},
		"a body of one-byte chunks":               {Conns: 100, Start: crowdHead + chunkStart, Unit: "1\r\na\r\n"},
		"a head of lines without end":             {Conns: 100, Start: crowdHead, Unit: "a:\r\n"},
		"a line without end":                      {Conns: 100, Start: crowdHead + "a: ", Unit: "a"},
		"empty lines without end":                 {Conns: 100, Unit: "\r\n"},
		"a chunk extension":                       {Conns: 100, Start: crowdHead + chunkStart + "1;", Unit: "a"},
		"trailers":                                {Conns: 100, Start: crowdHead + chunkStart + "0\r\n", Unit: "a:\r\n"},
		"tokens in Connection":                    {Conns: 100, Start: crowdHead + "Connection: " + strings.Repeat("a,", 7000) + "a\r\n", End: emptyBody},
		"a body that never comes":                 {Conns: 800, Start: crowdHead + "Content-Length: 9\r\n\r\n"},
		"a body that never comes, 15 kB of lines": {Conns: 400, Start: crowdHead, LineBytes: 15000, End: "Content-Length: 9\r\n\r\n"},
		"long bodies that stop":                   {Conns: 140, Start: crowdHead + "Content-Length: 900000\r\n\r\n" + strings.Repeat("a", 800000)},
		"responses that aren't read":              {Conns: 140, Start: strings.Replace(slowHead, "20x100", "20000x0", 1) + emptyBody, ReadsNothing: true},
		"pipelined, not read":                     {Conns: 140, Unit: crowdHead + emptyBody, ReadsNothing: true},
		"unknown hosts":                           {Conns: 50, Unit: "GET / HTTP/1.1\r\nHost: h{n}.example\r\n\r\n"},
		"unknown paths":                           {Conns: 50, Unit: "GET /" + strings.Repeat("p", 1000) + "{n} HTTP/1.1\r\nHost: soak.example\r\n\r\n"},
		"unknown keys":                            {Conns: 50, Unit: "GET /lookup/ HTTP/1.1\r\nHost: soak.example\r\nApi-Key: k{n}" + strings.Repeat("k", 1000) + "\r\n\r\n"},
		"many IDs":                                {Conns: 50, Unit: "POST /lookup/x{n} HTTP/1.1\r\nHost: soak.example\r\nX-Attempt-Id: " + strings.Repeat("i", 2000) + "{n}\r\n" + crowdKey + emptyBody},
		"many prompts":                            {Conns: 50, Unit: "POST /stream/1x0/x HTTP/1.1\r\nHost: soak.example\r\nX-Attempt-Id: i{n}\r\nX-Prompt-Prefix: " + strings.Repeat("{n}:9,", 800) + "1:9\r\n" + crowdKey + emptyBody},
		"many resumed streams":                    {Conns: 50, Unit: "POST /stream/1x0/x HTTP/1.1\r\nHost: soak.example\r\nX-Attempt-Id: i{n}\r\nResumes: r{n}" + strings.Repeat("r", 2000) + "\r\nLast-Event-Id: 3\r\n" + crowdKey + emptyBody},
		"pipelined requests":                      {Conns: 100, Unit: crowdHead + emptyBody},
		"pipelined heads of lines":                {Conns: 100, Unit: string(hitchfake.Crowd{Start: crowdHead, LineBytes: 15000, End: emptyBody}.Bytes())},
	}
	for name := range internalPorts {
		out[name+", 1 MB of lines, no end"] = hitchfake.Crowd{Conns: 12, Start: plainHead, LineBytes: 1 << 20}
		out[name+", 1 MB of lines"] = hitchfake.Crowd{Conns: 12, Start: plainHead, LineBytes: 1 << 20, End: emptyBody}
		out[name+", a head without end"] = hitchfake.Crowd{Conns: 40, Start: plainHead, Unit: "a:\r\n"}
		out[name+", nothing"] = hitchfake.Crowd{Conns: 800}
		out[name+", one request, then nothing"] = hitchfake.Crowd{Conns: 800, Start: plainHead + emptyBody}
	}
	return out
}

// TestCrowd guards against clients outside all limits that make an instance hold more memory or descriptors than its machine has,
// and whose ordinary callers get no answer. It runs apart from other tests.
func TestCrowd(t *testing.T) {
	program := buildProgram(t)
	for name, c := range crowds() {
		t.Run(name, func(t *testing.T) {
			f := startCrowdFleet(t, program)
			addr := hitchstandin.FrontAddr(f.instances[0].ip)
			if port, _, ok := strings.Cut(name, ","); ok && internalPorts[port] != nil {
				addr = internalPorts[port](f.instances[0].ip)
			}
			leave := c.Join(addr)
			defer leave()
			f.checkLimits(t)
			f.awaitServing("beside")
			leave()
			f.awaitServing("after")
			f.checkLimits(t)
		})
	}
}

// TestCrowdOfAll covers crowds of several kinds at once, which together are kept from taking more than each alone.
func TestCrowdOfAll(t *testing.T) {
	f := startCrowdFleet(t, buildProgram(t))
	var joined sync.WaitGroup
	var mu sync.Mutex
	var leaves []func()
	all := crowds()
	for _, name := range []string{"lines, endpoints are slow", "15 kB of lines, no end", "a body that never comes, 15 kB of lines", "long bodies that stop", "many prompts", "responses that aren't read"} {
		joined.Go(func() {
			leave := all[name].Join(f.addrs()[0])
			mu.Lock()
			defer mu.Unlock()
			leaves = append(leaves, leave)
		})
	}
	joined.Wait()
	defer func() {
		for _, leave := range leaves {
			leave()
		}
	}()
	f.checkLimits(t)
	f.awaitServing("beside")
}

// TestConfiguredHeadLimit checks that the configuration's limit on heads is in force, also that of a new version, and that a
// request within it is served however many lines its head has.
func TestConfiguredHeadLimit(t *testing.T) {
	f := startCrowdFleet(t, buildProgram(t))
	tests := map[string]struct {
		limit, bytes int
		want         string
	}{
		"4,000 lines":         {16384, 16000, "200"},
		"more than the limit": {16384, 16400, "431"},
		"far more":            {16384, 60000, "431"},
		"a larger limit":      {32768, 16400, "200"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f.version++
			cfg := hitchstandin.Config(f.version, f.keys, f.variation)
			f.store.Put("op/config", bytes.Replace(cfg, []byte(`"limits":{`), fmt.Appendf(nil, `"limits":{"maxHeaderBytes":%d,`, test.limit), 1))
			got := ""
			qt.Check(t, f.await(20*time.Second, func() bool {
				nc, err := net.Dial("tcp", f.addrs()[0])
				qt.Assert(t, err, qt.IsNil)
				defer func() { _ = nc.Close() }()
				_, _ = nc.Write(hitchfake.Crowd{Start: crowdHead, LineBytes: test.bytes, Name: "a", End: emptyBody}.Bytes())
				status := make([]byte, len("HTTP/1.1 200"))
				_, _ = io.ReadFull(nc, status)
				got = string(status[len("HTTP/1.1 "):])
				return got == test.want
			}), qt.IsTrue, qt.Commentf("%s", got))
		})
	}
}
