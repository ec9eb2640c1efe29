package hitchview

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
)

// TestLagEndsWithTheRead guards against a hub that says for seconds that it doesn't keep up, although it does: a watch brings a
// change while a probe that sees it is on its way.
func TestLagEndsWithTheRead(t *testing.T) {
	type step struct {
		isRead   bool
		revision hitchfleet.Revision
	}
	tests := map[string]struct {
		steps []step
		want  bool
	}{
		"seen":                        {[]step{{false, 5}}, true},
		"seen, read":                  {[]step{{false, 5}, {true, 5}}, false},
		"read, seen late":             {[]step{{true, 5}, {false, 5}}, false},
		"read more, seen late":        {[]step{{true, 6}, {false, 5}}, false},
		"seen, read less":             {[]step{{false, 5}, {true, 4}}, true},
		"seen, older read again":      {[]step{{true, 4}, {false, 5}, {true, 3}}, true},
		"seen twice, read the first":  {[]step{{false, 5}, {false, 6}, {true, 5}}, false},
		"read, seen newer":            {[]step{{true, 5}, {false, 6}}, true},
		"seen, read, seen late again": {[]step{{false, 5}, {true, 6}, {false, 6}}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var l lag
			for _, s := range test.steps {
				if s.isRead {
					l.recordRead(start, s.revision, true)
				} else {
					l.recordSeen(start, s.revision)
				}
			}
			qt.Check(t, l.lastsFor(start.Add(maxStoreLag-1), maxStoreLag), qt.IsFalse)
			qt.Check(t, l.lastsFor(start.Add(maxStoreLag), maxStoreLag), qt.Equals, test.want)
		})
	}
}
