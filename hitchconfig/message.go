package hitchconfig

import (
	"bytes"
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// MessageKind says what a tracker is told.
type MessageKind uint8

// The kinds of messages to a tracker.
const (
	// TimePassed is sent a few times a second.
	TimePassed MessageKind = iota
	// StoreRead brings the store's head as an Offer with its Accepts. AsOf is when
	// the read was sent; the zero time, as for an event of a watch, is no word of
	// what is current. An Offer of revision 0 means that the store holds none.
	StoreRead
	// StoreUnchanged says that at AsOf the store's head was still at Revision.
	StoreUnchanged
	// PeerAnnounced brings a peer's Announcement.
	PeerAnnounced
	// PeerAsked brings a peer's question for what is newer than Revision; Whole
	// says that a delta won't do.
	PeerAsked
	// PeerOffered brings a whole configuration.
	PeerOffered
	// PeerSentDelta brings a Delta.
	PeerSentDelta
	// PeersChanged brings the number of Live other routers.
	PeersChanged
)

// Message is what a tracker is told. Kind says which of the other fields it
// reads.
type Message struct {
	Kind         MessageKind
	From         hitchfleet.InstanceID
	Offer        Offer
	Delta        Delta
	Announcement Announcement
	Revision     uint64
	Live         int
	Whole        bool
	Accepts      []Accept
	AsOf         time.Time
}

// ActionKind says what a router shall do.
type ActionKind uint8

// The kinds of actions of a router.
const (
	// AnnounceNow: send the announcement, with the delta if it has intents, to a
	// few peers at once, in place of waiting for the next gossip round.
	AnnounceNow ActionKind = iota
	// Announce: send the announcement to To.
	Announce
	// Ask: ask To for what is newer than Revision, as a Whole if that is set.
	Ask
	// SendOffer: send the Offer to To.
	SendOffer
	// SendDelta: send the Delta to To.
	SendDelta
)

// Action is what a router shall do. Kind says which of the other fields count.
type Action struct {
	Kind         ActionKind
	To           hitchfleet.InstanceID
	Announcement Announcement
	Revision     uint64
	Whole        bool
	Offer        Offer
	Delta        Delta
}

// Update returns the tracker after a message, and what to do. Configurations
// and marks without a valid proof of origin change nothing.
func (t Tracker) Update(m Message, now time.Time) (Tracker, []Action) {
	t = t.at(now)
	before := t.Revision()
	var actions []Action
	switch m.Kind {
	case StoreRead:
		t = t.storeRead(m, now)
	case StoreUnchanged:
		t = t.storeSaid(m.Revision, m.AsOf, now)
	case PeerAnnounced:
		t, actions = t.announced(m.From, m.Announcement, now)
	case PeerAsked:
		actions = t.asked(m)
	case PeerOffered:
		t = t.adopt(m.Offer, now)
	case PeerSentDelta:
		t = t.applyDelta(m.Delta, now)
	case PeersChanged:
		t.live = m.Live
	}
	t = t.startByVouchers(now).settle(now)
	if t.Revision() > before {
		d, _ := t.delta(before)
		actions = append(actions, Action{Kind: AnnounceNow, Announcement: t.Announcement(), Delta: d})
	}
	return t, actions
}

// Announcement returns what the router says in a gossip round.
func (t Tracker) Announcement() Announcement {
	return Announcement{
		Revision: t.Revision(), Checksum: t.sum, Proof: t.offer.Proof,
		Ready: t.standing == Serving, Started: t.standing != Starting, Mark: t.mark,
	}
}

// storeRead takes the store's own word: it ends a start, and makes marks.
func (t Tracker) storeRead(m Message, now time.Time) Tracker {
	if m.Offer.Revision > t.Revision() {
		t = t.applyDelta(t.deltaOf(m), now)
	}
	t = t.adopt(m.Offer, now)
	if m.Offer.Revision > 0 && len(t.steps) == 0 {
		t.steps = stepsOf(m.Accepts, t.offer, t.sum)
	}
	return t.storeSaid(m.Offer.Revision, m.AsOf, now)
}

// storeSaid notes which revision the store held at a time. An older one than
// that in force means that the store has lost writes: it vouches for nothing.
func (t Tracker) storeSaid(revision uint64, asOf, now time.Time) Tracker {
	asOf = earlier(asOf, now)
	if revision != t.Revision() || !now.Before(asOf.Add(t.cutOffFor())) {
		return t
	}
	if asOf.After(t.mark.At) || t.mark.Revision < revision {
		t.mark = NewMark(revision, asOf, t.Self, t.Keys)
	}
	t.unmarkedAt = asOf.Add(t.unmarkedFor())
	return t.heard(asOf).serve(asOf)
}

// deltaOf returns the delta that the head's accepts give; it is empty if they
// don't reach back to the revision in force.
func (t Tracker) deltaOf(m Message) Delta {
	d := Delta{From: t.Revision(), To: m.Offer.Revision, Checksum: checksumOf(m.Offer.Data), Proof: m.Offer.Proof}
	for _, a := range m.Accepts {
		if a.Revision == d.From+uint64(len(d.Intents))+1 {
			d.Intents = append(d.Intents, a.Intent)
		}
	}
	return d
}

// stepsOf returns the steps that lead to an offer.
func stepsOf(accepts []Accept, o Offer, sum Checksum) []step {
	var all []step
	for _, a := range accepts {
		if len(all) > 0 && a.Revision != all[len(all)-1].to+1 {
			all = nil
		}
		all = append(all, step{intent: a.Intent, to: a.Revision})
	}
	if len(all) == 0 || all[len(all)-1].to != o.Revision {
		return nil
	}
	all[len(all)-1].sum, all[len(all)-1].proof = sum, o.Proof
	return all[max(0, len(all)-maxSteps):]
}

// adopt takes a whole configuration if it is newer and genuine.
func (t Tracker) adopt(o Offer, now time.Time) Tracker {
	if o.Revision < t.Revision() || o.Revision == 0 || (o.Revision == t.Revision() && bytes.Equal(o.Data, t.offer.Data)) {
		return t
	}
	cfg, sum, err := o.Open(t.Keys)
	if err != nil {
		return t
	}
	if o.Revision == t.Revision() {
		t.forked = t.forked || sum != t.sum
		return t
	}
	t.steps = nil
	return t.take(cfg, o, sum, now)
}

func (t Tracker) take(cfg Configuration, o Offer, sum Checksum, now time.Time) Tracker {
	t.index, t.offer, t.sum, t.wantWhole = cfg.Index(), o, sum, false
	return t.heardOf(cfg.Revision, now)
}

// applyDelta takes a delta that starts at the revision in force.
func (t Tracker) applyDelta(d Delta, now time.Time) Tracker {
	if d.From != t.Revision() || len(d.Intents) == 0 || len(d.Intents) > maxSteps {
		return t
	}
	cfg, data, err := d.Open(t.Index().Configuration(), t.Keys)
	if err != nil {
		t.wantWhole = true
		return t
	}
	t.steps = append(slices.Clone(t.steps), d.steps()...)
	t.steps = t.steps[max(0, len(t.steps)-maxSteps):]
	return t.take(cfg, Offer{Revision: d.To, Proof: d.Proof, Data: data}, d.Checksum, now)
}

// steps returns the delta's revisions. Only the last one has a proof.
func (d Delta) steps() []step {
	all := make([]step, len(d.Intents))
	for i, intent := range d.Intents {
		all[i] = step{intent: intent, to: d.From + uint64(i) + 1}
	}
	all[len(all)-1].sum, all[len(all)-1].proof = d.Checksum, d.Proof
	return all
}

// delta returns what leads a peer from a revision to the one in force.
func (t Tracker) delta(from uint64) (Delta, bool) {
	for i, s := range t.steps {
		if s.to == from+1 {
			last := t.steps[len(t.steps)-1]
			intents := make([]Intent, 0, len(t.steps)-i)
			for _, s := range t.steps[i:] {
				intents = append(intents, s.intent)
			}
			return Delta{From: from, To: last.to, Intents: intents, Checksum: last.sum, Proof: last.proof}, true
		}
	}
	return Delta{}, false
}

// asked answers a peer with the delta, or with the whole if the peer is too far
// behind.
func (t Tracker) asked(m Message) []Action {
	if m.Revision >= t.Revision() {
		return nil
	}
	if d, ok := t.delta(m.Revision); ok && !m.Whole {
		return []Action{{Kind: SendDelta, To: m.From, Delta: d}}
	}
	return []Action{{Kind: SendOffer, To: m.From, Offer: t.offer}}
}

// announced compares revisions with a peer, and takes its mark and its word.
func (t Tracker) announced(from hitchfleet.InstanceID, a Announcement, now time.Time) (Tracker, []Action) {
	if a.Revision > t.Known() && !a.verify(t.Keys) {
		return t, nil
	}
	t = t.heardOf(a.Revision, now)
	t = t.heardMark(a.Mark, now)
	if a.Started && t.standing != Starting && t.known <= t.Revision() {
		t = t.heard(now)
	}
	if a.Ready && !slices.Contains(t.vouchers, from) && len(t.vouchers) < maxVouchers {
		t.vouchers = append(slices.Clone(t.vouchers), from)
	}
	if a.Revision > t.Revision() && !now.Before(t.askAt) {
		t.askAt = now.Add(askFor)
		return t, []Action{{Kind: Ask, To: from, Revision: t.Revision(), Whole: t.wantWhole}}
	}
	if a.Revision >= t.Revision() {
		return t, nil
	}
	if d, ok := t.delta(a.Revision); ok {
		return t, []Action{{Kind: SendDelta, To: from, Delta: d}}
	}
	return t, []Action{{Kind: Announce, To: from, Announcement: t.Announcement()}}
}

// heardMark takes a newer mark. A fresh one ends a start.
func (t Tracker) heardMark(m Mark, now time.Time) Tracker {
	if !m.At.After(t.mark.At) || m.At.After(now.Add(maxClockSkew)) || !m.Verify(t.Keys) {
		return t
	}
	t.mark = m
	t = t.heardOf(m.Revision, now)
	if now.Before(m.At.Add(t.cutOffFor())) {
		t.unmarkedAt = now.Add(t.unmarkedFor())
		if m.Revision <= t.Revision() {
			t = t.serve(earlier(m.At, now))
		}
	}
	return t
}

// startByVouchers ends a start while the store is out: enough peers that serve
// have vouched, and the highest of their revisions is in force here.
func (t Tracker) startByVouchers(now time.Time) Tracker {
	need := max(1, min(maxVouchers, t.live))
	if t.standing != Starting || now.Before(t.vouchAt) || len(t.vouchers) < need {
		return t
	}
	return t.serve(now)
}
