package hitchedge

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchview"
)

// TestCachedUpdateIsNotSentLate guards against an instance that pulls an old update late and sends requests to endpoints that have
// left for longer (rule DRAIN), as the update says how long to keep entries from when it was encoded on.
func TestCachedUpdateIsNotSentLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var cache peerUpdateCache
		encoded := 0
		get := func() {
			_, err := cache.get(5, 3, 3, func(revision, _ hitchfleet.Revision) hitchview.PeerUpdate {
				encoded++
				return hitchview.PeerUpdate{Revision: revision}
			})
			qt.Assert(t, err, qt.IsNil)
		}
		get()
		time.Sleep(maxUpdateAge / 2)
		get()
		qt.Check(t, encoded, qt.Equals, 1)
		time.Sleep(maxUpdateAge / 2)
		get()
		qt.Check(t, encoded, qt.Equals, 2)
	})
}
