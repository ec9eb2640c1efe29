package hitchconfig

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestSizesOnTheWire prints what goes between routers at the size of 210
// organisations, 6 models and 760 endpoints, and bounds it.
func TestSizesOnTheWire(t *testing.T) {
	h, err := Head{Configuration: large()}.with(planOn(t, Head{Configuration: large()}, "01JPLAN0000000000000000000", "maja", zoneIntent(7)), "maja", start, fleetKeys)
	qt.Assert(t, err, qt.IsNil)
	offer, err := h.Offer()
	qt.Assert(t, err, qt.IsNil)
	tracker := Tracker{Self: "router-001", Keys: fleetKeys}
	tracker, _ = tracker.Update(Message{Kind: StoreRead, Offer: offer, Accepts: h.Accepts, AsOf: start}, start)
	delta, ok := tracker.delta(1)
	qt.Assert(t, ok, qt.IsTrue)
	token, err := planOn(t, h, "01JPLAN0000000000000000001", "maja", zoneIntent(6)).Encode()
	qt.Assert(t, err, qt.IsNil)
	size := func(v any) int {
		data, err := json.Marshal(v)
		qt.Assert(t, err, qt.IsNil)
		return len(data)
	}
	t.Logf("bytes in JSON: announcement %d, delta %d, whole %d, token in text %d, accept %d",
		size(tracker.Announcement()), size(delta), size(offer), len(token), size(h.Accepts[0]))
	qt.Assert(t, size(delta) < 1024, qt.IsTrue)
	qt.Assert(t, size(tracker.Announcement()) < 400, qt.IsTrue)
}
