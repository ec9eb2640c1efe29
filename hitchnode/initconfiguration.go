package hitchnode

import (
	"context"
	"fmt"
	"time"

	"github.com/oklog/ulid/v2"

	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchstore"
)

// initOperator is the operator of the first configuration, as shown in the history.
const initOperator = "init"

// ConfigStore returns the configuration store in the key-value service at the given
// addresses.
func ConfigStore(addresses []string, writer string) hitchconfig.Store {
	return configStore(&hitchstore.Client{Endpoints: addresses, Writer: writer})
}

// InitConfiguration creates the first configuration of a fleet by planning and
// confirming each intent in turn. It does nothing if the fleet has a configuration.
func InitConfiguration(ctx context.Context, store hitchconfig.Store, keys hitchconfig.Keyring, intents []hitchconfig.Intent) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("initialize configuration: %w", err)
		}
	}()
	confirmer := hitchconfig.Confirmer{Store: store, Keys: keys, Now: time.Now}
	head, _, err := confirmer.ReadHead(ctx)
	if err != nil || head.Configuration.Revision > 0 {
		return err
	}
	for _, intent := range intents {
		input := hitchconfig.PlanInput{
			ID: ulid.Make().String(), Operator: initOperator, Intent: intent, Base: head.Configuration, Keys: keys,
		}
		plan, err := input.Plan(time.Now())
		if err != nil {
			return err
		}
		accepted, err := confirmer.Confirm(ctx, plan.Token, initOperator)
		if err != nil {
			return err
		}
		head = accepted.Head
	}
	return nil
}
