package hitchclaim

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

const (
	// BindingLife is how long a caller's own key is bound to a minted one. A repeat
	// within it gets the first outcome.
	BindingLife = time.Hour
	// BindingsPerSecond bounds the bindings that the whole fleet makes. With
	// BindingLife it bounds their number: 5 * 3600 = 18000, and a burst of each
	// router.
	BindingsPerSecond = 5
	// bindingBurst is how many bindings a router may make at once.
	bindingBurst = 10
	// bindingMargin is how long after its key's deadline a binding stays, so that
	// late repeats are refused as expired.
	bindingMargin = 10 * time.Minute
	// bindingPrefix starts the names of bindings in the key-value service.
	bindingPrefix = "Binding/"
	// MaxCallerKey bounds a key that a caller made, in bytes.
	MaxCallerKey = 255
)

// bindingPhase is what a binding waits for.
type bindingPhase uint8

const (
	bindingReading bindingPhase = iota
	bindingWriting
	bindingReadingBack
	bindingDone
)

// BindingStep is what follows from an event of a binding.
type BindingStep struct {
	// Commands go to the key-value service; each answer comes back by Stored.
	Commands []StoreCommand
	// Text and Key are the minted key that the caller's own key is bound to, if
	// Done is set and Refusal is nil. With a Refusal they are a key that the caller
	// may use instead, or empty.
	Text    string
	Key     Key
	Done    bool
	Refusal *hitchoutcome.Refusal
}

// Binding binds a key that a caller made itself to a minted one. The first router
// that creates the value in the key-value service wins; all others read it. From
// there on the call is one under the minted key.
//
//	binding := hitchclaim.Binding{Minter: minter, Budget: budget, Home: home, CallerKey: header}
//	step := binding.Start(now, organisation, route)
//	step = binding.Stored(now, store.Do(ctx, step.Commands[0]))
type Binding struct {
	Minter Minter
	// Budget bounds the bindings that the router makes. Nil means no bound.
	Budget *BindingBudget
	// Home is the home of a new minted key.
	Home HomeID
	// CallerKey is the key that the caller made.
	CallerKey string
	// IsFirst is set if the caller declares that it never sent the key before. Only
	// such a call is handed a minted key to use instead while the store is out.
	IsFirst bool

	organisation hitchfleet.OrganisationID
	route        hitchfleet.RouteID
	phase        bindingPhase
	command      uint64
	text         string
	key          Key
}

// BindingName returns the name of a binding in the key-value service. Callers' keys
// of two organisations never meet.
func BindingName(organisation hitchfleet.OrganisationID, callerKey string) string {
	id := sha256.Sum256([]byte(string(organisation) + "\x00" + callerKey))
	return bindingPrefix + hex.EncodeToString(id[:16])
}

// Start looks for a binding of the caller's key.
func (b *Binding) Start(now time.Time, organisation hitchfleet.OrganisationID, route hitchfleet.RouteID) BindingStep {
	b.organisation, b.route = organisation, route
	if len(b.CallerKey) == 0 || len(b.CallerKey) > MaxCallerKey || IsMinted(b.CallerKey) {
		return b.refuse(hitchoutcome.RefuseNotRun(hitchoutcome.ReasonKeyInvalid, time.Time{},
			"a caller's own key has 1 to %d bytes and doesn't start with %q", MaxCallerKey, keyPrefix))
	}
	return b.read(now, bindingReading)
}

// Stored takes the end of a command.
func (b *Binding) Stored(now time.Time, a StoreAnswer) BindingStep {
	if a.ID != b.command || b.phase == bindingDone {
		return BindingStep{}
	}
	if b.phase == bindingWriting {
		if a.Status == StoreDone {
			return b.done(b.text, b.key)
		}
		return b.read(now, bindingReadingBack)
	}
	switch {
	case a.Status != StoreDone:
		return b.storeOut(now)
	case len(a.Values) > 0:
		return b.bound(string(a.Values[0].Value))
	case b.phase == bindingReadingBack:
		// The write may still take effect.
		return b.storeOut(now)
	default:
		return b.write(now)
	}
}

// bound takes the key that stands in the store.
func (b *Binding) bound(text string) BindingStep {
	key, err := b.Minter.Secrets.Parse(text)
	if err != nil {
		return b.refuse(&hitchoutcome.Refusal{
			Reason: hitchoutcome.ReasonKeyInvalid, Detail: "the binding of the key can't be read: " + err.Error(),
		})
	}
	return b.done(text, key)
}

// write mints a key and tries to bind the caller's to it.
func (b *Binding) write(now time.Time) BindingStep {
	if b.Budget != nil && !b.Budget.Take(now) {
		return b.overBudget(now)
	}
	if err := b.mint(now); err != nil {
		return b.refuse(hitchoutcome.RefuseNotRun(hitchoutcome.ReasonInternal, now.Add(refusalDelay), "%v", err))
	}
	b.phase = bindingWriting
	return b.call(now, StoreCommand{
		Verb:   StoreSwap,
		Name:   BindingName(b.organisation, b.CallerKey),
		Value:  []byte(b.text),
		Expiry: b.key.Deadline.Add(bindingMargin),
	})
}

func (b *Binding) mint(now time.Time) (err error) {
	if b.text != "" {
		return nil
	}
	b.text, b.key, err = b.Minter.MintUntil(now, now.Add(BindingLife), b.Home, b.organisation, b.route)
	return err
}

// storeOut refuses the call while the store is out. Another router may have bound
// the key before and run the call, so it is Unknown, unless the caller declares that
// this is its first try.
func (b *Binding) storeOut(now time.Time) BindingStep {
	if b.IsFirst {
		return b.instead(now, hitchoutcome.ReasonStoreOut)
	}
	return b.refuse(&hitchoutcome.Refusal{
		Reason:  hitchoutcome.ReasonStoreOut,
		Detail:  "the caller's own key can't be looked up while the key-value service is out; repeat with the same key",
		RetryAt: now.Add(refusalDelay),
	})
}

// overBudget refuses the call of a key that isn't bound, so that no call ran under
// it.
func (b *Binding) overBudget(now time.Time) BindingStep {
	if b.IsFirst {
		return b.instead(now, hitchoutcome.ReasonOverloaded)
	}
	return b.refuse(hitchoutcome.RefuseNotRun(hitchoutcome.ReasonOverloaded, now.Add(refusalDelay),
		"the system binds no more callers' keys for now; repeat with the same key"))
}

// instead refuses the call as NotRun and hands out the minted key. It is the one
// that a lost write may still bind, so that the two keys have one run between them.
func (b *Binding) instead(now time.Time, reason hitchoutcome.Reason) BindingStep {
	if err := b.mint(now); err != nil {
		return b.refuse(hitchoutcome.RefuseNotRun(reason, now.Add(refusalDelay), "%v", err))
	}
	step := b.refuse(hitchoutcome.RefuseNotRun(reason, now,
		"the caller's own key can't be bound for now; go on with the minted key of this answer, and with that alone"))
	step.Text, step.Key = b.text, b.key
	return step
}

func (b *Binding) refuse(r *hitchoutcome.Refusal) BindingStep {
	b.phase = bindingDone
	return BindingStep{Done: true, Refusal: r}
}

func (b *Binding) done(text string, key Key) BindingStep {
	b.phase = bindingDone
	return BindingStep{Done: true, Text: text, Key: key}
}

func (b *Binding) read(now time.Time, phase bindingPhase) BindingStep {
	b.phase = phase
	return b.call(now, StoreCommand{Verb: StoreList, Name: BindingName(b.organisation, b.CallerKey)})
}

func (b *Binding) call(now time.Time, c StoreCommand) BindingStep {
	b.command++
	c.ID = b.command
	c.Deadline = now.Add(storeWait)
	return BindingStep{Commands: []StoreCommand{c}}
}
