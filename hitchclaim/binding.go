package hitchclaim

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

const (
	// BindingTTL is how long a caller's own key is bound to a minted key. A retry
	// within this time gets the first outcome.
	BindingTTL = time.Hour
	// BindingsPerSecond is the maximum rate of new bindings in the whole fleet.
	// Together with BindingTTL it limits the number of stored bindings to
	// 5 * 3600 = 18000, plus one burst of each router.
	BindingsPerSecond = 5
	// bindingBurst is how many bindings a router may create at once.
	bindingBurst = 10
	// bindingGracePeriod is how long a binding is kept after its key's deadline, so
	// that late retries are refused as expired.
	bindingGracePeriod = 10 * time.Minute
	// bindingPrefix is the prefix of the names of bindings in the key-value service.
	bindingPrefix = "Binding/"
	// MaxCallerKeyBytes is the maximum length of a caller's own key.
	MaxCallerKeyBytes = 255
)

// bindingPhase is the state of a Binding: which response it waits for.
type bindingPhase uint8

const (
	bindingReading bindingPhase = iota
	bindingWriting
	bindingReadingBack
	bindingDone
)

// BindingStep is the result of an event of a Binding.
type BindingStep struct {
	// Commands are the commands to run. Pass each response to Binding.HandleStoreResponse.
	Commands []StoreCommand
	// Text and Key are the minted key that the caller's own key is bound to, if
	// Done is set and Refusal is nil. If Refusal is set, they are a minted key that
	// the caller may use instead, or zero.
	Text    string
	Key     Key
	Done    bool
	Refusal *hitchoutcome.Refusal
}

// Binding is the state machine that binds a key made by a caller to a minted key. The
// first router that creates the binding in the key-value service determines the minted
// key; all others read it. From then on the call is handled under the minted key. A
// Binding must not be used concurrently.
//
//	binding := hitchclaim.Binding{Minter: minter, Limiter: limiter, Home: home, CallerKey: header}
//	step := binding.Start(now, organisation, route)
//	step = binding.HandleStoreResponse(now, store.Do(ctx, step.Commands[0]))
type Binding struct {
	Minter Minter
	// Limiter limits the rate of new bindings of the router. Nil means no limit.
	Limiter *BindingLimiter
	// Home is the home of a newly minted key.
	Home HomeID
	// CallerKey is the caller's own key.
	CallerKey string
	// IsFirstAttempt is set if the caller declares that it never sent the key before. Only
	// such a call gets a minted key to use instead if the binding can't be created.
	IsFirstAttempt bool

	organisation   hitchfleet.OrganisationID
	route          hitchfleet.RouteID
	phase          bindingPhase
	pendingCommand uint64
	mintedText     string
	mintedKey      Key
}

// BindingName returns the name of a binding in the key-value service. Equal callers'
// keys of two organisations have different names.
func BindingName(organisation hitchfleet.OrganisationID, callerKey string) string {
	id := sha256.Sum256([]byte(string(organisation) + "\x00" + callerKey))
	return bindingPrefix + hex.EncodeToString(id[:16])
}

// Start begins with reading the binding of the caller's key.
func (b *Binding) Start(now time.Time, organisation hitchfleet.OrganisationID, route hitchfleet.RouteID) BindingStep {
	b.organisation, b.route = organisation, route
	if len(b.CallerKey) == 0 || len(b.CallerKey) > MaxCallerKeyBytes || IsMinted(b.CallerKey) {
		return b.completeRefused(hitchoutcome.RefuseNotRun(hitchoutcome.ReasonKeyInvalid, time.Time{},
			"a caller's own key has 1 to %d bytes and doesn't start with %q", MaxCallerKeyBytes, keyPrefix))
	}
	return b.startRead(now, bindingReading)
}

// HandleStoreResponse handles the response to a command.
func (b *Binding) HandleStoreResponse(now time.Time, response StoreResponse) BindingStep {
	if response.ID != b.pendingCommand || b.phase == bindingDone {
		return BindingStep{}
	}
	if b.phase == bindingWriting {
		if response.Status == StoreDone {
			return b.complete(b.mintedText, b.mintedKey)
		}
		return b.startRead(now, bindingReadingBack)
	}
	switch {
	case response.Status != StoreDone:
		return b.refuseStoreUnavailable(now)
	case len(response.Values) > 0:
		return b.useStoredKey(string(response.Values[0].Value))
	case b.phase == bindingReadingBack:
		// The write may still take effect.
		return b.refuseStoreUnavailable(now)
	default:
		return b.startWrite(now)
	}
}

// useStoredKey completes the binding with the minted key that the store has.
func (b *Binding) useStoredKey(text string) BindingStep {
	key, err := b.Minter.Secrets.Parse(text)
	if err != nil {
		return b.completeRefused(&hitchoutcome.Refusal{
			Reason: hitchoutcome.ReasonKeyInvalid, Detail: "the binding of the key can't be read: " + err.Error(),
		})
	}
	return b.complete(text, key)
}

// startWrite mints a key and tries to bind the caller's key to it.
func (b *Binding) startWrite(now time.Time) BindingStep {
	if b.Limiter != nil && !b.Limiter.Allow(now) {
		return b.refuseOverLimit(now)
	}
	if err := b.ensureMinted(now); err != nil {
		return b.completeRefused(hitchoutcome.RefuseNotRun(hitchoutcome.ReasonInternal, now.Add(retryDelay), "%v", err))
	}
	b.phase = bindingWriting
	return b.newCommandStep(now, StoreCommand{
		Op:     StoreSwap,
		Name:   BindingName(b.organisation, b.CallerKey),
		Value:  []byte(b.mintedText),
		Expiry: b.mintedKey.Deadline.Add(bindingGracePeriod),
	})
}

func (b *Binding) ensureMinted(now time.Time) (err error) {
	if b.mintedText != "" {
		return nil
	}
	b.mintedText, b.mintedKey, err = b.Minter.MintUntil(now, now.Add(BindingTTL), b.Home, b.organisation, b.route)
	return err
}

// refuseStoreUnavailable refuses the call while the store is unavailable. Another
// router may have bound the key and run the call before, so that the outcome is
// Unknown, unless the caller declares that this is its first attempt.
func (b *Binding) refuseStoreUnavailable(now time.Time) BindingStep {
	if b.IsFirstAttempt {
		return b.refuseWithMintedKey(now, hitchoutcome.ReasonStoreOut)
	}
	return b.completeRefused(&hitchoutcome.Refusal{
		Reason:  hitchoutcome.ReasonStoreOut,
		Detail:  "the caller's own key can't be looked up while the key-value service is out; repeat with the same key",
		RetryAt: now.Add(retryDelay),
	})
}

// refuseOverLimit refuses the call because the rate limit is reached. The key isn't
// bound, so that no call ran under it.
func (b *Binding) refuseOverLimit(now time.Time) BindingStep {
	if b.IsFirstAttempt {
		return b.refuseWithMintedKey(now, hitchoutcome.ReasonOverloaded)
	}
	return b.completeRefused(hitchoutcome.RefuseNotRun(hitchoutcome.ReasonOverloaded, now.Add(retryDelay),
		"the system binds no more callers' keys for now; repeat with the same key"))
}

// refuseWithMintedKey refuses the call as NotRun and returns the minted key for the
// caller to use. It is the same key that a write with a lost response may still bind,
// so that the caller's key and the minted key share one run.
func (b *Binding) refuseWithMintedKey(now time.Time, reason hitchoutcome.Reason) BindingStep {
	if err := b.ensureMinted(now); err != nil {
		return b.completeRefused(hitchoutcome.RefuseNotRun(reason, now.Add(retryDelay), "%v", err))
	}
	step := b.completeRefused(hitchoutcome.RefuseNotRun(reason, now,
		"the caller's own key can't be bound for now; go on with the minted key of this answer, and with that alone"))
	step.Text, step.Key = b.mintedText, b.mintedKey
	return step
}

func (b *Binding) completeRefused(r *hitchoutcome.Refusal) BindingStep {
	b.phase = bindingDone
	return BindingStep{Done: true, Refusal: r}
}

func (b *Binding) complete(text string, key Key) BindingStep {
	b.phase = bindingDone
	return BindingStep{Done: true, Text: text, Key: key}
}

func (b *Binding) startRead(now time.Time, phase bindingPhase) BindingStep {
	b.phase = phase
	return b.newCommandStep(now, StoreCommand{Op: StoreList, Name: BindingName(b.organisation, b.CallerKey)})
}

func (b *Binding) newCommandStep(now time.Time, c StoreCommand) BindingStep {
	b.pendingCommand++
	c.ID = b.pendingCommand
	c.Deadline = now.Add(storeTimeout)
	return BindingStep{Commands: []StoreCommand{c}}
}
