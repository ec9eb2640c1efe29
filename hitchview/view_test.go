package hitchview

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchroute"
)

var start = time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)

func newEndpoint(id string, sequence int64) hitchfleet.Endpoint {
	return hitchfleet.Endpoint{ID: hitchfleet.EndpointID(id), Zone: "a", Born: 100, Sequence: sequence}
}

func endpointIDs(v View) string {
	out := ""
	for _, e := range v.Endpoints() {
		out += string(e.ID)
	}
	return out
}

func TestOlderMessagesAreIgnored(t *testing.T) {
	leaving := newEndpoint("x", 6)
	leaving.Leaving = true
	restarted := newEndpoint("x", 1)
	restarted.Born = 200
	table := func(version int64) *hitchroute.Table { return hitchroute.NewTable(hitchroute.Config{Version: version}) }
	tests := map[string]struct {
		messages []Msg
		want     string
	}{
		"entry removed twice, the older removal last": {[]Msg{EndpointMsg{5, newEndpoint("x", 5)}, EndpointRemovedMsg{7, "x"}, EndpointRemovedMsg{6, "x"}}, ""},
		"removal older than the entry":                {[]Msg{EndpointMsg{7, newEndpoint("x", 5)}, EndpointRemovedMsg{6, "x"}}, "x"},
		"older heartbeat written after a newer one":   {[]Msg{EndpointMsg{5, leaving}, EndpointMsg{6, newEndpoint("x", 5)}}, ""},
		"restart under the same ID":                   {[]Msg{EndpointMsg{5, leaving}, EndpointMsg{6, restarted}}, "x"},
		"heartbeat from before a restart":             {[]Msg{EndpointMsg{5, restarted}, EndpointMsg{6, leaving}}, "x"},
		"zone taken out":                              {[]Msg{EndpointMsg{5, newEndpoint("x", 5)}, ZoneTakenOutMsg{6, "a"}}, ""},
		"zone returned":                               {[]Msg{EndpointMsg{5, newEndpoint("x", 5)}, ZoneTakenOutMsg{6, "a"}, ZoneReturnedMsg{Revision: 7, Zone: "a"}}, "x"},
		"return older than the zone being taken out":  {[]Msg{EndpointMsg{5, newEndpoint("x", 5)}, ZoneTakenOutMsg{6, "a"}, ZoneReturnedMsg{Revision: 5, Zone: "a"}}, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var v View
			for _, msg := range test.messages {
				v = v.Update(msg)
			}
			qt.Assert(t, endpointIDs(v), qt.Equals, test.want)
		})
	}
	v := View{}.Update(TableMsg{9, table(3)}).Update(TableMsg{8, table(2)})
	qt.Assert(t, v.Table.Version(), qt.Equals, int64(3))
}

// BenchmarkApply applies the snapshot of a fleet, as each start does.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{60, 760, 3000} {
		batch := Batch{Revision: hitchfleet.Revision(n), IsSnapshot: true}
		for i := range n {
			batch.Messages = append(batch.Messages, EndpointMsg{hitchfleet.Revision(i), newEndpoint(fmt.Sprint(i), 1)})
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				_ = View{}.Apply(batch)
			}
		})
	}
}

func TestViewIsImmutable(t *testing.T) {
	first := View{}.Update(EndpointMsg{5, newEndpoint("x", 5)}).Update(ZoneTakenOutMsg{6, "b"})
	_ = first.Update(EndpointRemovedMsg{7, "x"})
	_ = first.Update(ZoneTakenOutMsg{7, "a"})
	_ = first.Apply(Batch{Revision: 9, IsSnapshot: true})
	_ = first.Apply(Batch{Revision: 9, KeepExpiredUntil: start, Messages: []Msg{EndpointRemovedMsg{8, "x"}}}).Expire(start)
	qt.Assert(t, endpointIDs(first), qt.Equals, "x")
	qt.Assert(t, first.ZonesOutCount(), qt.Equals, 1)
	qt.Assert(t, first.NextExpiry().IsZero(), qt.IsTrue)
}

func TestSnapshotRemovesUnlistedEntries(t *testing.T) {
	v := View{}.Apply(Batch{Revision: 5, IsSnapshot: true, Messages: []Msg{
		EndpointMsg{3, newEndpoint("x", 1)}, EndpointMsg{4, newEndpoint("y", 1)}, ZoneTakenOutMsg{5, "b"},
		InstanceMsg{2, hitchfleet.Instance{ID: "r1"}},
	}})
	v = v.Apply(Batch{Revision: 9, IsSnapshot: true, Messages: []Msg{EndpointMsg{4, newEndpoint("y", 1)}}})
	qt.Assert(t, endpointIDs(v), qt.Equals, "y")
	qt.Assert(t, v.Instances(), qt.HasLen, 0)
	qt.Assert(t, v.zonesOut, qt.HasLen, 0)
	qt.Assert(t, v.Revision, qt.Equals, hitchfleet.Revision(9))
}

// TestExpiredEntriesAreKeptForGracePeriod guards against losing the fleet after
// an outage of the store in which all leases expire: the entries are removed at
// its end and written again with the next heartbeats.
func TestExpiredEntriesAreKeptForGracePeriod(t *testing.T) {
	until := start.Add(expiredGrace)
	leaving := newEndpoint("z", 1)
	leaving.Leaving = true
	v := View{}
	for _, msg := range []Msg{EndpointMsg{1, newEndpoint("x", 1)}, EndpointMsg{2, newEndpoint("y", 1)}, EndpointMsg{3, leaving}, InstanceMsg{4, hitchfleet.Instance{ID: "r1"}}} {
		v = v.Update(msg)
	}
	v = v.Apply(Batch{Revision: 9, KeepExpiredUntil: until, Messages: []Msg{
		EndpointRemovedMsg{6, "x"}, EndpointRemovedMsg{7, "y"}, EndpointRemovedMsg{8, "z"}, InstanceRemovedMsg{9, "r1"},
	}})
	qt.Assert(t, v.Endpoints(), qt.HasLen, 2)
	qt.Assert(t, v.LeavingEndpoints(), qt.HasLen, 0)
	qt.Assert(t, v.Instances(), qt.HasLen, 1)
	qt.Assert(t, v.NextExpiry(), qt.Equals, until)
	v = v.Apply(Batch{Revision: 10, Messages: []Msg{EndpointMsg{10, newEndpoint("y", 2)}}})
	v = v.Expire(until)
	qt.Assert(t, endpointIDs(v), qt.Equals, "y")
	qt.Assert(t, v.Instances(), qt.HasLen, 0)
	qt.Assert(t, v.NextExpiry().IsZero(), qt.IsTrue)
}

func TestOnlyEntriesRemovedJustAfterOutageAreKept(t *testing.T) {
	var h storeHealth
	qt.Assert(t, h.keepExpiredUntil(start, time.Time{}).IsZero(), qt.IsTrue)
	h.recordSuccess(start)
	h.recordFailure(start.Add(time.Second))
	qt.Assert(t, h.isUnreachable(start.Add(time.Second)), qt.IsTrue)
	end := start.Add(5 * time.Second)
	outage, ended := h.recordSuccess(end)
	qt.Assert(t, ended, qt.IsTrue)
	qt.Assert(t, outage, qt.Equals, 4*time.Second)
	qt.Assert(t, h.keepExpiredUntil(end.Add(expiryReportWindow), time.Time{}), qt.Equals, end.Add(expiredGrace))
	qt.Assert(t, h.keepExpiredUntil(end.Add(expiryReportWindow+1), time.Time{}).IsZero(), qt.IsTrue)
	// A single failed call is not an outage.
	h.recordFailure(end.Add(10 * time.Second))
	h.recordSuccess(end.Add(10*time.Second + outageThreshold))
	qt.Assert(t, h.keepExpiredUntil(end.Add(10*time.Second+outageThreshold), time.Time{}).IsZero(), qt.IsTrue)
}

func TestChangeLogIsCompactedAndBounded(t *testing.T) {
	var l changeLog
	_, ok := l.messagesAfter(0)
	qt.Assert(t, ok, qt.IsFalse)
	l.add(Batch{Revision: 10, IsSnapshot: true})
	l.add(Batch{Revision: 13, Messages: []Msg{EndpointMsg{11, newEndpoint("x", 1)}, EndpointMsg{12, newEndpoint("y", 1)}, EndpointRemovedMsg{13, "x"}}})
	got, ok := l.messagesAfter(10)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, got, qt.DeepEquals, []Msg{EndpointMsg{12, newEndpoint("y", 1)}, EndpointRemovedMsg{13, "x"}})
	got, ok = l.messagesAfter(13)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, got, qt.HasLen, 0)
	_, ok = l.messagesAfter(9)
	qt.Assert(t, ok, qt.IsFalse)
	for i := range hitchfleet.Revision(maxChanges + 5) {
		l.add(Batch{Revision: 14 + i, Messages: []Msg{EndpointMsg{14 + i, newEndpoint(fmt.Sprint(i), 1)}}})
	}
	qt.Assert(t, l.newest, qt.HasLen, maxChanges)
	_, ok = l.messagesAfter(13)
	qt.Assert(t, ok, qt.IsFalse)
}

func TestPeerUpdateTransfersView(t *testing.T) {
	cold := newEndpoint("x", 1)
	cold.ColdUntil, cold.Version = start.Add(2*time.Second), "v1.2"
	var sender, receiver Follower
	clock := func() time.Time { return start }
	sender.Now, receiver.Now = clock, clock
	sender.apply(Batch{Revision: 5, IsSnapshot: true, Messages: []Msg{
		TableMsg{2, hitchroute.NewTable(hitchroute.Config{Version: 4, Routes: []hitchroute.Route{{Name: "r", Host: "h", PathPrefix: "/"}}})},
		EndpointMsg{3, cold}, ZoneTakenOutMsg{4, "b"}, InstanceMsg{5, hitchfleet.Instance{ID: "r1"}},
	}})
	receiver.apply(sender.PeerUpdate(0, 0).Batch(start))
	v := receiver.View()
	qt.Assert(t, v.Table.Version(), qt.Equals, int64(4))
	qt.Assert(t, v.Table.Len(), qt.Equals, 1)
	qt.Assert(t, v.Endpoints(), qt.DeepEquals, sender.View().Endpoints())
	sender.apply(Batch{Revision: 7, Messages: []Msg{EndpointRemovedMsg{6, "x"}, ZoneReturnedMsg{Revision: 7, Zone: "b"}}})
	delta := sender.PeerUpdate(v.Revision, v.TableRevision)
	qt.Assert(t, delta.IsSnapshot, qt.IsFalse)
	qt.Assert(t, delta.Config, qt.IsNil)
	receiver.apply(delta.Batch(start))
	qt.Assert(t, receiver.View().Endpoints(), qt.HasLen, 0)
	qt.Assert(t, receiver.View().zonesOut, qt.HasLen, 0)
	qt.Assert(t, receiver.View().Revision, qt.Equals, hitchfleet.Revision(7))
}
