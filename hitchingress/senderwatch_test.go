package hitchingress

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSenderThatAcknowledgesIsNotLost covers an instance that reads slowly, or has nothing to acknowledge.
func TestSenderThatAcknowledgesIsNotLost(t *testing.T) {
	type look struct {
		at      time.Duration
		acked   uint64
		unacked int64
	}
	const second = time.Second
	tests := map[string]struct {
		looks []look
		want  bool
	}{
		"nothing to acknowledge":      {[]look{{0, 5, 0}, {3 * second, 5, 0}}, false},
		"acknowledges slowly":         {[]look{{0, 5, 9}, {second, 6, 8}, {2 * second, 7, 7}, {3 * second, 8, 6}}, false},
		"acknowledges after a pause":  {[]look{{0, 5, 9}, {1900 * time.Millisecond, 5, 9}, {2 * second, 14, 0}, {5 * second, 14, 0}}, false},
		"first bytes after a pause":   {[]look{{0, 5, 0}, {5 * second, 5, 3}}, false},
		"acknowledges nothing":        {[]look{{0, 5, 9}, {second, 5, 9}, {2 * second, 5, 9}}, true},
		"nothing, while more is sent": {[]look{{0, 5, 9}, {second, 5, 30}, {2 * second, 5, 60}}, true},
		"nothing after a sound while": {[]look{{0, 5, 9}, {second, 14, 0}, {2 * second, 14, 4}, {4 * second, 14, 4}}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			var watch senderWatch
			isLost := false
			for _, l := range test.looks {
				watch, isLost = watch.after(start.Add(l.at), l.acked, l.unacked)
			}
			qt.Assert(t, isLost, qt.Equals, test.want)
		})
	}
}
