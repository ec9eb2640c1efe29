package hitchview

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchroute"
)

// TestChangeLogNeverSendsOlderTable guards against an instance that follows a hub and gets an older configuration
// than it should (rule CONFIG): the hub got one by a watch that was held up, after it had pulled the newer one.
func TestChangeLogNeverSendsOlderTable(t *testing.T) {
	table := func(revision hitchfleet.Revision) TableMsg {
		return TableMsg{revision, hitchroute.NewTable(hitchroute.Config{Version: revision.Number()})}
	}
	hub := Follower{}
	hub.apply(Batch{Revision: 10, IsSnapshot: true, Messages: []Msg{table(10)}})
	behind := hub.View()
	hub.apply(Batch{Revision: 12, Messages: []Msg{table(12)}})
	hub.apply(Batch{Revision: 11, Messages: []Msg{table(11)}})
	qt.Assert(t, hub.View().Table.Version(), qt.Equals, int64(12))

	update := hub.PeerUpdate(behind.Revision, behind.TableRevision)
	next := behind.Apply(update.Batch(hub.now()))
	qt.Check(t, next.Revision, qt.Equals, hitchfleet.Revision(12))
	qt.Check(t, next.Table.Version(), qt.Equals, int64(12))
}

// TestChangeLogSendsMissingTable guards against an instance that stays with an older configuration than its
// revision, as others send it only what is newer than that (rule CONFIG).
func TestChangeLogSendsMissingTable(t *testing.T) {
	hub := Follower{}
	hub.apply(Batch{Revision: 10, IsSnapshot: true})
	hub.apply(Batch{Revision: 11, Messages: []Msg{TableMsg{11, hitchroute.NewTable(hitchroute.Config{Version: 2})}}})
	hub.apply(Batch{Revision: 12})
	update := hub.PeerUpdate(11, 9)
	qt.Check(t, update.IsSnapshot, qt.IsFalse)
	qt.Check(t, update.TableRevision, qt.Equals, hitchfleet.Revision(11))
	qt.Check(t, update.Config, qt.IsNotNil)
	qt.Check(t, hub.PeerUpdate(11, 11).Config, qt.IsNil)
}

// TestChangeLogIsCompleteOrSaysSo guards against an instance that follows a hub and never hears that an endpoint
// has left (rule DRAIN). The log drops messages when it is full; batches of other instances aren't ordered by revision.
func TestChangeLogIsCompleteOrSaysSo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log changeLog
		log.add(Batch{Revision: 1, IsSnapshot: true})
		newest := make(map[any]hitchfleet.Revision)
		revision := hitchfleet.Revision(1)
		for range rapid.IntRange(1, 4).Draw(t, "batches") {
			n := rapid.SampledFrom([]int{1, 10, maxChanges - 1, maxChanges}).Draw(t, "messages")
			b := Batch{Revision: revision + hitchfleet.Revision(n)}
			first := rapid.IntRange(0, 2*maxChanges).Draw(t, "first endpoint")
			for i := range n {
				id := hitchfleet.EndpointID(fmt.Sprint("e", (first+i)%(2*maxChanges)))
				newest[id] = b.Revision - hitchfleet.Revision(i)
				b.Messages = append(b.Messages, EndpointRemovedMsg{Revision: newest[id], ID: id})
			}
			revision = b.Revision
			log.add(b)
		}
		after := hitchfleet.Revision(rapid.Int64Range(1, int64(revision)).Draw(t, "after"))
		messages, ok := log.messagesAfter(after)
		if !ok {
			return
		}
		got := make(map[any]hitchfleet.Revision)
		for _, msg := range messages {
			got[entryKey(msg)] = revisionOf(msg)
		}
		for id, changedAt := range newest {
			if changedAt > after && got[id] != changedAt {
				t.Fatalf("after %d the log has no change of %v at %d", after, id, changedAt)
			}
		}
	})
}
