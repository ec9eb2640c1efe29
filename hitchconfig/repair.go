package hitchconfig

import (
	"context"
	"errors"
)

// Repair writes an offer back to a store that holds an older revision. The
// accept records of the lost revisions are gone; the configuration isn't.
func (f Confirmer) Repair(ctx context.Context, o Offer) (err error) {
	defer annotate(&err, "repair store")
	cfg, _, err := o.Open(f.Keys)
	if err != nil {
		return err
	}
	head, was, err := f.Head(ctx)
	if err != nil {
		return err
	}
	if head.Configuration.Revision >= cfg.Revision {
		return nil
	}
	data, err := Head{Configuration: cfg, Proof: o.Proof, Accepts: head.Accepts}.Encode()
	if err != nil {
		return err
	}
	if err := f.raiseBeacon(ctx, cfg.Revision); err != nil {
		return err
	}
	outcome, err := f.Store.Swap(ctx, HeadKey, was, data)
	if outcome == SwapDone {
		return nil
	}
	return errors.Join(errors.New("not known to be written: repair again"), err)
}
