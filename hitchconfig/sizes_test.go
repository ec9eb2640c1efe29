package hitchconfig

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestSizesOnTheWire logs the sizes of the messages between routers for a configuration
// with 210 organisations, 6 models and 760 endpoints, and limits the size of a delta. It
// also checks that each message survives encoding and decoding.
func TestSizesOnTheWire(t *testing.T) {
	h, err := Head{Configuration: largeConfiguration()}.accept(mustPlan(t, Head{Configuration: largeConfiguration()}, "01JPLAN0000000000000000000", "maja", zoneIntent(7)), "maja", start, fleetKeys)
	qt.Assert(t, err, qt.IsNil)
	snapshot, err := h.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	tracker := Tracker{Self: "router-001", Keys: fleetKeys}
	tracker, _ = tracker.Update(Message{Kind: StoreRead, Snapshot: snapshot, Accepts: h.Accepts, AsOf: start}, start)
	delta, ok := tracker.delta(1)
	qt.Assert(t, ok, qt.IsTrue)
	token, err := mustPlan(t, h, "01JPLAN0000000000000000001", "maja", zoneIntent(6)).Encode()
	qt.Assert(t, err, qt.IsNil)
	size := func(v any) int {
		data, err := json.Marshal(v)
		qt.Assert(t, err, qt.IsNil)
		return len(data)
	}
	t.Logf("bytes in JSON: announcement %d, delta %d, snapshot %d, token in text %d, accepted change %d",
		size(tracker.Announcement()), size(delta), size(snapshot), len(token), size(h.Accepts[0]))
	qt.Assert(t, size(delta) < 1024, qt.IsTrue)
	messages := map[string]Message{
		"announcement": {Kind: PeerAnnounced, From: "a", Announcement: tracker.Announcement()},
		"no mark":      {Kind: PeerAnnounced, From: "a", Announcement: Announcement{Started: true}},
		"request":      {Kind: PeerRequested, From: "a", Revision: 7, SnapshotOnly: true},
		"delta":        {Kind: PeerSentDelta, From: "a", Delta: delta},
		"snapshot":     {Kind: PeerSentSnapshot, From: "a", Snapshot: snapshot},
	}
	for name, m := range messages {
		data, err := EncodeMessage(m)
		qt.Assert(t, err, qt.IsNil)
		t.Logf("%s: %d bytes, %d as a Message in JSON", name, len(data), size(m))
		got, err := DecodeMessage(data, "a")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.DeepEquals, m)
		qt.Assert(t, got.Announcement.Mark.Verify(fleetKeys), qt.Equals, name == "announcement")
		_, err = DecodeMessage(data[:len(data)-1], "a")
		qt.Assert(t, err, qt.IsNotNil)
	}
	_, err = EncodeMessage(Message{Kind: StoreRead})
	qt.Assert(t, err, qt.IsNotNil)
}

func FuzzDecodeMessage(f *testing.F) {
	for _, m := range []Message{{Kind: PeerRequested}, {Kind: PeerAnnounced}, {Kind: PeerSentDelta}, {Kind: PeerSentSnapshot}} {
		data, _ := EncodeMessage(m)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := DecodeMessage(data, "a")
		if err != nil {
			return
		}
		tracker := Tracker{Keys: fleetKeys}
		next, _ := tracker.Update(m, start)
		qt.Assert(t, next.Revision(), qt.Equals, uint64(0))
		_, err = EncodeMessage(m)
		qt.Assert(t, err, qt.IsNil)
	})
}
