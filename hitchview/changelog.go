package hitchview

import (
	"cmp"
	"maps"
	"slices"

	"citronhitch.example/citronhitch/hitchfleet"
)

// maxChanges bounds the number of entries in a change log.
const maxChanges = 512

// changeLog holds the newest change of each entry that an instance applied recently, so that it
// can send them to other instances. It doesn't hold configurations: the view has the current one,
// and older ones would only take memory. The zero value is empty.
type changeLog struct {
	// completeAfter is the revision after which the log has every change.
	completeAfter hitchfleet.Revision
	newest        map[any]Msg // by entryKey
}

// add adds the messages of a batch, in any order. A snapshot clears the log.
func (l *changeLog) add(b Batch) {
	if b.IsSnapshot || l.newest == nil {
		l.newest = make(map[any]Msg)
	}
	if b.IsSnapshot {
		l.completeAfter = b.Revision
		return
	}
	for _, msg := range b.Messages {
		if _, isTable := msg.(TableMsg); isTable {
			continue
		}
		if known, ok := l.newest[entryKey(msg)]; !ok || revisionOf(msg) >= revisionOf(known) {
			l.newest[entryKey(msg)] = msg
		}
	}
	l.dropOldest()
}

// dropOldest removes the oldest changes beyond maxChanges.
func (l *changeLog) dropOldest() {
	drop := len(l.newest) - maxChanges
	if drop <= 0 {
		return
	}
	messages := l.sorted()
	for _, msg := range messages[:drop] {
		delete(l.newest, entryKey(msg))
	}
	l.completeAfter = max(l.completeAfter, revisionOf(messages[drop-1]))
}

// sorted returns the changes in the order of their revisions.
func (l *changeLog) sorted() []Msg {
	return slices.SortedFunc(maps.Values(l.newest), func(a, b Msg) int { return cmp.Compare(revisionOf(a), revisionOf(b)) })
}

// messagesAfter returns the newest change of each entry among those after a revision, but for the
// configuration. It returns false if the log no longer has all of them.
func (l *changeLog) messagesAfter(revision hitchfleet.Revision) ([]Msg, bool) {
	if revision < l.completeAfter || l.completeAfter == 0 {
		return nil, false
	}
	messages := l.sorted()
	first := slices.IndexFunc(messages, func(msg Msg) bool { return revisionOf(msg) > revision })
	if first < 0 {
		return nil, true
	}
	return messages[first:], true
}

// revisionOf returns the store revision of a change.
func revisionOf(msg Msg) hitchfleet.Revision {
	switch m := msg.(type) {
	case TableMsg:
		return m.Revision
	case EndpointMsg:
		return m.Revision
	case EndpointRemovedMsg:
		return m.Revision
	case InstanceMsg:
		return m.Revision
	case InstanceRemovedMsg:
		return m.Revision
	case ZoneTakenOutMsg:
		return m.Revision
	case ZoneReturnedMsg:
		return m.Revision
	case RolloutOrderMsg:
		return m.Revision
	case RolloutOrderRemovedMsg:
		return m.Revision
	case RolloutRecordMsg:
		return m.Revision
	case RolloutRecordRemovedMsg:
		return m.Revision
	default:
		return 0
	}
}

// entryKey returns the key of the entry that a message changes.
func entryKey(msg Msg) any {
	switch m := msg.(type) {
	case EndpointMsg:
		return m.Endpoint.ID
	case EndpointRemovedMsg:
		return m.ID
	case InstanceMsg:
		return m.Instance.ID
	case InstanceRemovedMsg:
		return m.ID
	case ZoneTakenOutMsg:
		return m.Zone
	case ZoneReturnedMsg:
		return m.Zone
	case RolloutOrderMsg:
		return rolloutOrderKey(m.Order.Service)
	case RolloutOrderRemovedMsg:
		return rolloutOrderKey(m.Service)
	case RolloutRecordMsg:
		return rolloutRecordKey(m.Record.Service)
	case RolloutRecordRemovedMsg:
		return rolloutRecordKey(m.Service)
	default:
		return nil
	}
}
