package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfake"
)

// machineMegabytes is the memory of the smallest machines.
const machineMegabytes = 184

var peakMemory = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// peakMegabytes returns the most memory that a process has used, and false if it has ended.
func peakMegabytes(t *testing.T, p *process) (megabytes int, ok bool) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	qt.Assert(t, err, qt.IsNil)
	m := peakMemory.FindSubmatch(status)
	if m == nil {
		return 0, false
	}
	kilobytes, _ := strconv.Atoi(string(m[1]))
	return kilobytes >> 10, true
}

// buildProgram builds the program without the race detector, which takes several times the memory.
func buildProgram(t *testing.T) (path string) {
	path = filepath.Join(t.TempDir(), "citronhitch")
	out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return path
}

// TestEndlessBytesKeepNoMemory guards against routers of the own API that keep bytes without end until they run out of
// memory, and whose other requests end with them: of the store, the platform's list, an engine and a service.
func TestEndlessBytesKeepNoMemory(t *testing.T) {
	program := buildProgram(t)
	var hits hitchfake.FloodHits
	paths := make(map[string]*hitchfake.FloodablePath) // of engines the last one
	f := startFleetThrough(t, program, func(name, addr string) string {
		paths[name] = &hitchfake.FloodablePath{Target: addr, Hits: &hits}
		through, stop, err := hitchfake.ServeEach(paths[name].Serve)
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(stop)
		return through
	})
	kinds := map[string]hitchfake.Flood{
		"header lines": {Start: "HTTP/1.1 200 OK\r\n", Unit: "A: a\r\n"},
		"interim":      {Unit: "HTTP/1.1 103 Early Hints\r\nA: a\r\n\r\n"},
		"body":         {Start: "HTTP/1.1 200 OK\r\n\r\n" + `{"kvs":[{"value":"`, Unit: "aaaa"},
		"error":        {Start: "HTTP/1.1 503 Busy\r\n\r\n", Unit: "a"},
		"slow body":    {Start: "HTTP/1.1 200 OK\r\n\r\n" + `{"result":{"events":[{"type":"`, Unit: "a", IsSlow: true},
	}
	for kind, flood := range kinds {
		for name, path := range paths {
			t.Run(name+", "+kind, func(t *testing.T) {
				path.SetFlood(&flood)
				answered := f.callFor(t, 1500*time.Millisecond)
				path.SetFlood(nil)
				largest := 0
				for n, router := range f.routers {
					megabytes, ok := peakMegabytes(t, router)
					qt.Assert(t, ok, qt.IsTrue, qt.Commentf("router-%d has ended", n))
					largest = max(largest, megabytes)
				}
				met := hits.Take()
				t.Log(answered, "chats answered,", met, largest, "MB")
				qt.Check(t, len(met) > 0, qt.IsTrue)
				qt.Check(t, largest < machineMegabytes, qt.IsTrue, qt.Commentf("%d MB", largest))
			})
		}
	}
	qt.Check(t, f.callFor(t, 2*time.Second) > 0, qt.IsTrue)
}

// callFor makes chats and bookings for a time, one after the other, and returns how many chats were answered.
func (f *fleet) callFor(t *testing.T, length time.Duration) (answered int) {
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	for n := 0; ctx.Err() == nil; n++ {
		client := f.client(0)
		client.Routers = client.Routers[n%len(client.Routers):]
		id := fmt.Sprintf("%s-%d", strings.ReplaceAll(t.Name(), " ", "-"), n)
		_, body := chatBody(t, 0, hitchfake.Message{Role: "user", Content: id})
		if _, err := client.Chat(ctx, id, body, nil); err == nil {
			answered++
		}
	}
	return answered
}
