package hitchforward

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestIsUnresponsive(t *testing.T) {
	dial := func(err error) error { return &net.OpError{Op: "dial", Net: "tcp", Err: err} }
	tests := map[string]struct {
		failure Failure
		want    bool
	}{
		"no data received":        {Failure{Kind: FailureSilent, Err: os.ErrDeadlineExceeded}, true},
		"connect timeout":         {Failure{Kind: FailureUnsent, Err: dial(os.ErrDeadlineExceeded)}, true},
		"bytes not acknowledged":  {Failure{Kind: FailureCut, Err: dial(os.NewSyscallError("read", syscall.ETIMEDOUT))}, true},
		"connection refused":      {Failure{Kind: FailureUnsent, Err: dial(syscall.ECONNREFUSED)}, false},
		"connection reset":        {Failure{Kind: FailureCut, Err: dial(syscall.ECONNRESET)}, false},
		"request deadline passed": {Failure{Kind: FailureTimeout, Err: context.DeadlineExceeded}, false},
		"caller disconnected":     {Failure{Kind: FailureCallerGone, Err: os.ErrDeadlineExceeded}, false},
		"busy without an error":   {Failure{Kind: FailureBusy}, false},
		"closed locally":          {Failure{Kind: FailureCut, Err: net.ErrClosed}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, test.failure.IsUnresponsive(), qt.Equals, test.want)
		})
	}
}
