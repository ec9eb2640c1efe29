package hitchconfig

import (
	"bytes"
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// MessageKind is the kind of an input to a tracker.
type MessageKind uint8

// The kinds of messages to a tracker.
const (
	// Tick only advances the time. It is sent a few times a second.
	Tick MessageKind = iota
	// StoreRead contains the head read from the store, as a Snapshot with its Accepts.
	// AsOf is the time when the read was sent. It is zero for an event of a watch,
	// which doesn't prove that the head is current. A Snapshot of revision 0 means
	// that the store holds no configuration.
	StoreRead
	// StoreUnchanged reports that the store's head was still at Revision at AsOf.
	StoreUnchanged
	// PeerAnnounced contains a peer's Announcement.
	PeerAnnounced
	// PeerRequested is a peer's request for revisions newer than Revision. If
	// SnapshotOnly is set, the peer needs a snapshot instead of a delta.
	PeerRequested
	// PeerSentSnapshot contains a Snapshot from a peer.
	PeerSentSnapshot
	// PeerSentDelta contains a Delta from a peer.
	PeerSentDelta
	// PeersChanged sets the number of other live routers, LivePeers.
	PeersChanged
)

// Message is an input to Tracker.Update. Kind determines which of the other fields
// are used.
type Message struct {
	Kind         MessageKind
	From         hitchfleet.InstanceID
	Snapshot     Snapshot
	Delta        Delta
	Announcement Announcement
	Revision     uint64
	LivePeers    int
	SnapshotOnly bool
	Accepts      []AcceptedChange
	AsOf         time.Time
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions of a router.
const (
	// AnnounceNow: send the announcement, and the delta if it has intents, to a few
	// peers immediately instead of in the next gossip round.
	AnnounceNow ActionKind = iota
	// Announce: send the announcement to To.
	Announce
	// RequestUpdate: request revisions newer than Revision from To, as a snapshot if
	// SnapshotOnly is set.
	RequestUpdate
	// SendSnapshot: send the Snapshot to To.
	SendSnapshot
	// SendDelta: send the Delta to To.
	SendDelta
)

// Action is something that the router must do after an update of its tracker. Kind
// determines which of the other fields are used.
type Action struct {
	Kind         ActionKind
	To           hitchfleet.InstanceID
	Announcement Announcement
	Revision     uint64
	SnapshotOnly bool
	Snapshot     Snapshot
	Delta        Delta
}

// Update returns the tracker after processing a message, and the actions that the
// router must take. Configurations and marks without a valid proof are ignored.
func (t Tracker) Update(m Message, now time.Time) (Tracker, []Action) {
	t = t.advanceClock(now)
	before := t.Revision()
	var actions []Action
	switch m.Kind {
	case StoreRead:
		t = t.applyStoreRead(m, now)
	case StoreUnchanged:
		t = t.recordStoreRevision(m.Revision, m.AsOf, now)
	case PeerAnnounced:
		t, actions = t.handleAnnouncement(m.From, m.Announcement, now)
	case PeerRequested:
		actions = t.answerRequest(m)
	case PeerSentSnapshot:
		t = t.applySnapshot(m.Snapshot, now)
	case PeerSentDelta:
		t = t.applyDelta(m.Delta, now)
	case PeersChanged:
		t.livePeers = m.LivePeers
	}
	t = t.startFromPeers(now).updateState(now)
	if t.Revision() > before {
		d, _ := t.delta(before)
		actions = append(actions, Action{Kind: AnnounceNow, Announcement: t.Announcement(), Delta: d})
	}
	return t, actions
}

// Announcement returns the announcement that the router sends in a gossip round.
func (t Tracker) Announcement() Announcement {
	return Announcement{
		Revision: t.Revision(), Checksum: t.sum, Proof: t.snapshot.Proof,
		Ready: t.state == Serving, Started: t.state != Starting, Mark: t.mark,
	}
}

// applyStoreRead applies the head read from the store, as a delta if possible. A
// current read may start serving and creates a new mark.
func (t Tracker) applyStoreRead(m Message, now time.Time) Tracker {
	if m.Snapshot.Revision > t.Revision() {
		t = t.applyDelta(t.deltaFromStoreRead(m), now)
	}
	t = t.applySnapshot(m.Snapshot, now)
	if m.Snapshot.Revision > 0 && len(t.steps) == 0 {
		t.steps = stepsFromAccepts(m.Accepts, t.snapshot, t.sum)
	}
	return t.recordStoreRevision(m.Snapshot.Revision, m.AsOf, now)
}

// recordStoreRevision records that the store held a revision at the given time. If that
// is older than the active revision, the store has lost writes, and if it is newer, the
// active revision is outdated: neither counts as contact.
func (t Tracker) recordStoreRevision(revision uint64, asOf, now time.Time) Tracker {
	asOf = earlier(asOf, now)
	if revision != t.Revision() || !now.Before(asOf.Add(t.contactTimeout())) {
		return t
	}
	if asOf.After(t.mark.At) || t.mark.Revision < revision {
		t.mark = NewFreshnessMark(revision, asOf, t.Self, t.Keys)
	}
	t.markDeadline = asOf.Add(t.markTimeout())
	return t.recordContact(asOf).startServing(asOf)
}

// deltaFromStoreRead returns the delta given by the head's accepted changes. It has no
// intents if the changes don't reach back to the active revision.
func (t Tracker) deltaFromStoreRead(m Message) Delta {
	d := Delta{From: t.Revision(), To: m.Snapshot.Revision, Checksum: checksumOf(m.Snapshot.Data), Proof: m.Snapshot.Proof}
	for _, a := range m.Accepts {
		if a.Revision == d.From+uint64(len(d.Intents))+1 {
			d.Intents = append(d.Intents, a.Intent)
		}
	}
	return d
}

// stepsFromAccepts returns the latest steps without gaps up to the snapshot's revision.
func stepsFromAccepts(accepts []AcceptedChange, s Snapshot, sum Checksum) []revisionStep {
	var all []revisionStep
	for _, a := range accepts {
		if len(all) > 0 && a.Revision != all[len(all)-1].revision+1 {
			all = nil
		}
		all = append(all, revisionStep{intent: a.Intent, revision: a.Revision})
	}
	if len(all) == 0 || all[len(all)-1].revision != s.Revision {
		return nil
	}
	all[len(all)-1].sum, all[len(all)-1].proof = sum, s.Proof
	return all[max(0, len(all)-maxDeltaSteps):]
}

// applySnapshot activates the configuration of a snapshot if it is newer and its proof
// is valid. A different configuration with the active revision is recorded as a fork.
func (t Tracker) applySnapshot(s Snapshot, now time.Time) Tracker {
	if s.Revision < t.Revision() || s.Revision == 0 || (s.Revision == t.Revision() && bytes.Equal(s.Data, t.snapshot.Data)) {
		return t
	}
	cfg, sum, err := s.Decode(t.Keys)
	if err != nil {
		return t
	}
	if s.Revision == t.Revision() {
		t.isForked = t.isForked || sum != t.sum
		return t
	}
	t.steps = nil
	return t.activate(cfg, s, sum, now)
}

func (t Tracker) activate(cfg Configuration, s Snapshot, sum Checksum, now time.Time) Tracker {
	t.index, t.snapshot, t.sum, t.needsSnapshot = cfg.Index(), s, sum, false
	return t.recordRevision(cfg.Revision, now)
}

// applyDelta applies a delta that starts at the active revision.
func (t Tracker) applyDelta(d Delta, now time.Time) Tracker {
	if d.From != t.Revision() || len(d.Intents) == 0 || len(d.Intents) > maxDeltaSteps {
		return t
	}
	cfg, data, err := d.Apply(t.Index().Configuration(), t.Keys)
	if err != nil {
		t.needsSnapshot = true
		return t
	}
	t.steps = append(slices.Clone(t.steps), d.steps()...)
	t.steps = t.steps[max(0, len(t.steps)-maxDeltaSteps):]
	return t.activate(cfg, Snapshot{Revision: d.To, Proof: d.Proof, Data: data}, d.Checksum, now)
}

// steps returns the delta as steps. Only the last one has a proof.
func (d Delta) steps() []revisionStep {
	all := make([]revisionStep, len(d.Intents))
	for i, intent := range d.Intents {
		all[i] = revisionStep{intent: intent, revision: d.From + uint64(i) + 1}
	}
	all[len(all)-1].sum, all[len(all)-1].proof = d.Checksum, d.Proof
	return all
}

// delta returns the delta from a revision to the active one, if its steps are still
// known.
func (t Tracker) delta(from uint64) (Delta, bool) {
	for i, s := range t.steps {
		if s.revision == from+1 {
			last := t.steps[len(t.steps)-1]
			intents := make([]Intent, 0, len(t.steps)-i)
			for _, s := range t.steps[i:] {
				intents = append(intents, s.intent)
			}
			return Delta{From: from, To: last.revision, Intents: intents, Checksum: last.sum, Proof: last.proof}, true
		}
	}
	return Delta{}, false
}

// answerRequest answers a peer with a delta, or with a snapshot if the peer is too far
// behind for one.
func (t Tracker) answerRequest(m Message) []Action {
	if m.Revision >= t.Revision() {
		return nil
	}
	if d, ok := t.delta(m.Revision); ok && !m.SnapshotOnly {
		return []Action{{Kind: SendDelta, To: m.From, Delta: d}}
	}
	return []Action{{Kind: SendSnapshot, To: m.From, Snapshot: t.snapshot}}
}

// handleAnnouncement applies a peer's mark and readiness, and compares revisions: it
// requests an update from a newer peer and sends one to an older peer.
func (t Tracker) handleAnnouncement(from hitchfleet.InstanceID, a Announcement, now time.Time) (Tracker, []Action) {
	if a.Revision > t.KnownRevision() && !a.verify(t.Keys) {
		return t, nil
	}
	t = t.recordRevision(a.Revision, now)
	t = t.applyMark(a.Mark, now)
	if a.Started && t.state != Starting && t.knownRevision <= t.Revision() {
		t = t.recordContact(now)
	}
	if a.Ready && !slices.Contains(t.readyPeers, from) && len(t.readyPeers) < maxRequiredPeers {
		t.readyPeers = append(slices.Clone(t.readyPeers), from)
	}
	if a.Revision > t.Revision() && !now.Before(t.nextRequestAt) {
		t.nextRequestAt = now.Add(requestTimeout)
		return t, []Action{{Kind: RequestUpdate, To: from, Revision: t.Revision(), SnapshotOnly: t.needsSnapshot}}
	}
	if a.Revision >= t.Revision() {
		return t, nil
	}
	if d, ok := t.delta(a.Revision); ok {
		return t, []Action{{Kind: SendDelta, To: from, Delta: d}}
	}
	return t, []Action{{Kind: Announce, To: from, Announcement: t.Announcement()}}
}

// applyMark applies a newer mark. A recent mark lets a starting router serve.
func (t Tracker) applyMark(m FreshnessMark, now time.Time) Tracker {
	if !m.At.After(t.mark.At) || m.At.After(now.Add(maxClockSkew)) || !m.Verify(t.Keys) {
		return t
	}
	t.mark = m
	t = t.recordRevision(m.Revision, now)
	if now.Before(m.At.Add(t.contactTimeout())) {
		t.markDeadline = now.Add(t.markTimeout())
		if m.Revision <= t.Revision() {
			t = t.startServing(earlier(m.At, now))
		}
	}
	return t
}

// startFromPeers starts serving while the store is unavailable, once enough ready peers
// have announced themselves and the highest known revision is active here.
func (t Tracker) startFromPeers(now time.Time) Tracker {
	required := max(1, min(maxRequiredPeers, t.livePeers))
	if t.state != Starting || now.Before(t.peerStartAt) || len(t.readyPeers) < required {
		return t
	}
	return t.startServing(now)
}
