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

// KindAdopt is the request that transfers the booking keys of a router that shuts
// down to its successor.
const KindAdopt hitchpeer.Kind = "Adopt"

// Times of a handover.
const (
	drainPollInterval  = 20 * time.Millisecond
	handoverTimeout    = 10 * time.Second
	adoptRetryInterval = 100 * time.Millisecond
)

// adoptRequest is an encoded handover and the home that is to adopt its keys.
type adoptRequest struct {
	_    struct{} `cbor:",toarray"`
	To   hitchclaim.HomeID
	Body []byte
}

// HandOver closes the home of this process, waits until its running bookings have
// ended, and hands its keys over to another router.
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
	h.home.RefuseNewKeys()
	if !waitFor(ctx, func() bool { return h.home.RunningCount() == 0 }) {
		return context.Cause(ctx)
	}
	successor, ok := rt.pickSuccessor()
	if !ok {
		rt.log().Info("bookings not handed over", "Home", h.home.Self.String(), "Cause", "no other router")
		return nil
	}
	handover := h.home.ExportHandover()
	b.applyStep(h, h.journal.WriteHandover(b.now(), successor, handover.Digest()))
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	select {
	case <-h.handedOver:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	body, err := cbor.Marshal(adoptRequest{To: successor, Body: handover.Encode()})
	if err != nil {
		return err
	}
	if err := rt.deliverHandover(ctx, successor, body); err != nil {
		return err
	}
	h.home.ForwardTo(successor)
	rt.log().Info("bookings handed over", "From", h.home.Self.String(), "To", successor.String(), "Keys", len(handover.Entries))
	return nil
}

// deliverHandover sends a handover to its successor, and retries until the successor
// accepts it or ctx is done. It can't choose another router, as the journal already
// names this successor.
func (rt *Router) deliverHandover(ctx context.Context, successor hitchclaim.HomeID, body []byte) error {
	for {
		_, err := rt.Peers.call(ctx, successor.Instance, 0, KindAdopt, body)
		if err == nil {
			return nil
		}
		rt.log().Warn("booking handover failed; retrying", "To", successor.String(), "Error", err)
		timer := time.NewTimer(adoptRetryInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return err
		}
	}
}

// waitFor polls until the condition holds. It returns false if ctx is done first.
func waitFor(ctx context.Context, condition func() bool) bool {
	ticker := time.NewTicker(drainPollInterval)
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

// pickSuccessor returns the home to hand the booking keys of this router over to.
func (rt *Router) pickSuccessor() (hitchclaim.HomeID, bool) {
	others := lo.Filter(rt.homes(), func(i hitchfleet.Instance, _ int) bool { return i.ID != rt.Self.ID })
	home, ok := hitchclaim.PickHome(others, rt.Self.Region, rt.Self.Key())
	if !ok {
		return hitchclaim.HomeID{}, false
	}
	return rt.homeIDs.get(home.ID)
}

// handleAdopt adopts the keys of a home that hands over, after checking that the
// journal of that home names this home as its successor.
func (rt *Router) handleAdopt(ctx context.Context, from hitchfleet.Instance, body []byte) (_ []byte, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("adopt bookings of %s: %w", from.ID, err)
		}
	}()
	var request adoptRequest
	if err := cbor.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	handover, err := hitchclaim.DecodeHandover(request.Body)
	if err != nil {
		return nil, err
	}
	h, ok := rt.Bookings.localHome(request.To)
	if !ok {
		return nil, hitchclaim.ErrNotSuccessor
	}
	fencing := hitchclaim.Fencing{Home: handover.From}
	step := rt.fenceHome(ctx, &fencing)
	if !step.Done {
		return nil, errors.New("the journal can't be read now")
	}
	return nil, h.home.AdoptKeys(handover, step.Journal)
}

// fenceHome runs the store commands that fence a home. The last step has the home's
// journal if its Done is set.
func (rt *Router) fenceHome(ctx context.Context, fencing *hitchclaim.Fencing) hitchclaim.FencingStep {
	step := fencing.Start(rt.now())
	for !step.Done && !step.Failed && len(step.Commands) > 0 {
		step = fencing.HandleStoreResponse(rt.now(), rt.Bookings.Store.Do(ctx, step.Commands[0]))
	}
	return step
}

// HomeCount returns the number of homes in the fleet.
func (rt *Router) HomeCount() int { return len(rt.homes()) }
