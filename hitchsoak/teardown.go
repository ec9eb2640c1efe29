package hitchsoak

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// addProcessFailure records a violation that isn't visible in any call.
func (f *fleet) addProcessFailure(detail string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processFailures = append(f.processFailures, Violation{Guarantee: "Process", Detail: detail})
}

// processViolations returns the recorded process failures, and a violation for each
// panic, fatal error or data race in the processes' logs.
func (f *fleet) processViolations() []Violation {
	f.mu.Lock()
	out := append([]Violation(nil), f.processFailures...)
	f.mu.Unlock()
	for _, i := range f.instances {
		i.mu.Lock()
		for _, marker := range []string{"panic:", "fatal error:", "DATA RACE"} {
			if bytes.Contains(i.log.Bytes(), []byte(marker)) {
				out = append(out, Violation{Guarantee: "Process", Detail: fmt.Sprintf("%s logged %q", i.name, marker)})
			}
		}
		i.mu.Unlock()
	}
	return out
}

// saveLogs writes the processes' logs to a directory, which is created if it is missing.
func (f *fleet) saveLogs(dir string, seed uint64) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	for _, i := range f.instances {
		i.mu.Lock()
		b := bytes.Clone(i.log.Bytes())
		i.mu.Unlock()
		if err := os.WriteFile(filepath.Join(dir, fmt.Sprintf("%d-%s.log", seed, i.name)), b, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// killInstances kills the processes that the soak started.
func (f *fleet) killInstances() {
	if f.processes != nil {
		_ = f.processes.end()
	}
	for _, i := range f.instances {
		i.signal(syscall.SIGCONT)
		i.signal(syscall.SIGKILL)
		_ = i.wait()
	}
}
