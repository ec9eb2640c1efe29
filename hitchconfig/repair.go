package hitchconfig

import (
	"context"
	"errors"
)

// Repair restores the configuration of a snapshot in a store that holds an older
// revision. The records of the changes in between are not restored.
func (c Confirmer) Repair(ctx context.Context, s Snapshot) (err error) {
	defer wrapError(&err, "repair store")
	cfg, _, err := s.Decode(c.Keys)
	if err != nil {
		return err
	}
	head, storeRevision, err := c.ReadHead(ctx)
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
	if err := c.raiseRevisionBound(ctx, cfg.Revision); err != nil {
		return err
	}
	outcome, err := c.Store.Swap(ctx, HeadKey, storeRevision, data)
	if outcome == SwapDone {
		return nil
	}
	return errors.Join(errors.New("write not confirmed: run the repair again"), err)
}
