package hitchnode

import (
	"context"
	"fmt"
	"time"

	"github.com/oklog/ulid/v2"

	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchstore"
)

// seedOperator is who made the first configuration, in its history.
const seedOperator = "init"

// ConfigStore returns the configuration's part of the key-value service.
func ConfigStore(addresses []string, writer string) hitchconfig.Store {
	return configStore(&hitchstore.Client{Endpoints: addresses, Writer: writer})
}

// Seed makes the first configuration of a fleet by planning and confirming each
// intent in turn. A fleet that has a configuration is left as it is.
func Seed(ctx context.Context, store hitchconfig.Store, keys hitchconfig.Keyring, intents []hitchconfig.Intent) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("seed configuration: %w", err)
		}
	}()
	confirmer := hitchconfig.Confirmer{Store: store, Keys: keys, Now: time.Now}
	head, _, err := confirmer.ReadHead(ctx)
	if err != nil || head.Configuration.Revision > 0 {
		return err
	}
	for _, intent := range intents {
		draft := hitchconfig.PlanInput{
			ID: ulid.Make().String(), Operator: seedOperator, Intent: intent, Base: head.Configuration, Keys: keys,
		}
		plan, err := draft.Plan(time.Now())
		if err != nil {
			return err
		}
		accepted, err := confirmer.Confirm(ctx, plan.Token, seedOperator)
		if err != nil {
			return err
		}
		head = accepted.Head
	}
	return nil
}
