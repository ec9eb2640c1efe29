package hitchconfig

import (
	"context"
	"errors"
)

// Repair restores the configuration of a snapshot in a store that holds an older
// revision. The records of the changes in between are not restored.
func (f Confirmer) Repair(ctx context.Context, s Snapshot) (err error) {
	defer wrapError(&err, "repair store")
	cfg, _, err := s.Decode(f.Keys)
	if err != nil {
		return err
	}
	head, was, err := f.ReadHead(ctx)
	if err != nil {
		return err
	}
	if head.Configuration.Revision >= cfg.Revision {
		return nil
	}
	data, err := Head{Configuration: cfg, Proof: s.Proof, Accepts: head.Accepts}.Encode()
	if err != nil {
		return err
	}
	if err := f.raiseRevisionBound(ctx, cfg.Revision); err != nil {
		return err
	}
	outcome, err := f.Store.Swap(ctx, HeadKey, was, data)
	if outcome == SwapDone {
		return nil
	}
	return errors.Join(errors.New("write not confirmed: run the repair again"), err)
}
