package hitchrouter

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchclaim"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchpeer"
)

// KindAdopt brings a leaving home's keys to its successor.
const KindAdopt hitchpeer.Kind = "Adopt"

// Limits of a handover.
const (
	drainStep    = 20 * time.Millisecond
	handOverWait = 10 * time.Second
	adoptAgain   = 100 * time.Millisecond
)

// adoptMessage is a handover with the home that it is for.
type adoptMessage struct {
	_    struct{} `cbor:",toarray"`
	To   hitchclaim.HomeID
	Body []byte
}

// HandOver ends this process's home and gives its keys to another router. The
// bookings that run are waited for first.
func (b *Bookings) HandOver(ctx context.Context, rt *Router) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("hand bookings over: %w", err)
		}
	}()
	b.mu.Lock()
	h := b.current
	b.closed = true
	b.mu.Unlock()
	if h == nil {
		return nil
	}
	h.home.Close()
	if !waitFor(ctx, func() bool { return h.home.Running() == 0 }) {
		return context.Cause(ctx)
	}
	successor, ok := rt.successor()
	if !ok {
		rt.log().Info("bookings not handed over", "Home", h.home.Self.String(), "Cause", "no other router")
		return nil
	}
	handover := h.home.HandOver()
	b.step(h, h.journal.HandOver(b.now(), successor, handover.Digest()))
	ctx, cancel := context.WithTimeout(ctx, handOverWait)
	defer cancel()
	select {
	case <-h.moved:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	body, err := cbor.Marshal(adoptMessage{To: successor, Body: handover.Encode()})
	if err != nil {
		return err
	}
	if err := rt.deliver(ctx, successor, body); err != nil {
		return err
	}
	h.home.MoveTo(successor)
	rt.log().Info("bookings handed over", "From", h.home.Self.String(), "To", successor.String(), "Keys", len(handover.Entries))
	return nil
}

// deliver brings a handover to its successor, again and again until it is taken:
// the journal names the successor already, so no other router can answer.
func (rt *Router) deliver(ctx context.Context, successor hitchclaim.HomeID, body []byte) error {
	for {
		_, err := rt.Peers.call(ctx, successor.Instance, 0, KindAdopt, body)
		if err == nil {
			return nil
		}
		rt.log().Warn("handover not taken yet", "To", successor.String(), "Error", err)
		timer := time.NewTimer(adoptAgain)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return err
		}
	}
}

// waitFor waits until the condition holds. It returns false once ctx is done.
func waitFor(ctx context.Context, condition func() bool) bool {
	ticker := time.NewTicker(drainStep)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// successor returns the home that takes over the keys of this router.
func (rt *Router) successor() (hitchclaim.HomeID, bool) {
	others := lo.Filter(rt.homes(), func(i hitchfleet.Instance, _ int) bool { return i.ID != rt.Self.ID })
	home, ok := hitchclaim.PickHome(others, rt.Self.Region, rt.Self.Key())
	if !ok {
		return hitchclaim.HomeID{}, false
	}
	return rt.homeIDs.of(home.ID)
}

// handleAdopt takes the keys of a leaving home, once its journal names this home
// as the successor.
func (rt *Router) handleAdopt(ctx context.Context, from hitchfleet.Instance, body []byte) (_ []byte, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("adopt bookings of %s: %w", from.ID, err)
		}
	}()
	var m adoptMessage
	if err := cbor.Unmarshal(body, &m); err != nil {
		return nil, err
	}
	handover, err := hitchclaim.DecodeHandover(m.Body)
	if err != nil {
		return nil, err
	}
	h, ok := rt.Bookings.homeOf(m.To)
	if !ok {
		return nil, hitchclaim.ErrNotEntitled
	}
	fencing := hitchclaim.Fencing{Home: handover.From}
	step := rt.fence(ctx, &fencing)
	if !step.Done {
		return nil, errors.New("the journal can't be read now")
	}
	return nil, h.home.Adopt(handover, step.Ledger)
}

// fence carries out the steps that end a home.
func (rt *Router) fence(ctx context.Context, fencing *hitchclaim.Fencing) hitchclaim.FencingStep {
	step := fencing.Start(rt.now())
	for !step.Done && !step.Failed && len(step.Commands) > 0 {
		step = fencing.Stored(rt.now(), rt.Bookings.Store.Do(ctx, step.Commands[0]))
	}
	return step
}

// HomeCount returns the number of homes in the fleet.
func (rt *Router) HomeCount() int { return len(rt.homes()) }
