package hitchsoak

import (
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestSecondStopOfProcessIsNoFailure guards against soaks that count a process as failed, or start it twice, as it is
// stopped once more while it stops.
func TestSecondStopOfProcessIsNoFailure(t *testing.T) {
	i := &instance{name: "router-0", program: "/bin/true"}
	f := &fleet{instances: []*instance{i}}
	qt.Assert(t, i.start(), qt.IsNil)
	first := f.terminate(0, syscall.SIGTERM)
	second, third := f.terminate(0, syscall.SIGTERM), f.terminate(0, syscall.SIGKILL)
	second()
	third()
	qt.Assert(t, i.isStopping, qt.IsTrue)
	first()
	qt.Assert(t, i.isStopping, qt.IsFalse)
	qt.Assert(t, f.processFailures, qt.HasLen, 0)
	_ = i.wait()
}
