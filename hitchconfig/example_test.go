package hitchconfig_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"citronhitch.example/citronhitch/hitchconfig"
)

// Two operators create plans based on the same revision. The first to confirm wins;
// the other gets an error that names the change that was accepted first.
func Example() {
	now := time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)
	keys := hitchconfig.Keyring{Keys: []hitchconfig.FleetKey{{ID: "2026", Secret: []byte("from the settings")}}}
	values := make(map[string]hitchconfig.StoreValue)
	confirmer := hitchconfig.Confirmer{
		Keys: keys,
		Now:  func() time.Time { return now },
		Store: hitchconfig.Store{
			Get: func(_ context.Context, key string) (hitchconfig.StoreValue, error) { return values[key], nil },
			Swap: func(_ context.Context, key string, expectedRevision int64, data []byte) (hitchconfig.SwapOutcome, error) {
				if expectedRevision != values[key].Revision {
					return hitchconfig.SwapConflict, nil
				}
				values[key] = hitchconfig.StoreValue{Data: data, Revision: expectedRevision + 1}
				return hitchconfig.SwapDone, nil
			},
		},
	}
	plan := func(id, operator string, intent hitchconfig.Intent) hitchconfig.Token {
		p, err := hitchconfig.PlanInput{ID: id, Operator: operator, Intent: intent, Keys: keys}.Plan(now)
		if err != nil {
			panic(err)
		}
		return p.Token
	}
	first := plan("1", "maja", hitchconfig.Intent{Kind: hitchconfig.TakeZoneOut, Zone: "se-south-b"})
	second := plan("2", "olle", hitchconfig.Intent{Kind: hitchconfig.TakeZoneOut, Zone: "se-south-c"})

	result, err := confirmer.Confirm(context.Background(), first, "maja")
	fmt.Println(result.Change, err)
	_, err = confirmer.Confirm(context.Background(), second, "olle")
	var stale *hitchconfig.StaleError
	fmt.Println(errors.As(err, &stale), stale.Winner.Operator)
	// Output:
	// 1 2026-03-02T09:00:00Z maja: TakeZoneOut se-south-b <nil>
	// true maja
}

// A router starts serving after it has read the store, and refuses new requests once it
// had no contact to the store or a peer for CutOffMilliseconds.
func ExampleTracker() {
	now := time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)
	t := hitchconfig.Tracker{Self: "router-1"}
	t, _ = t.Update(hitchconfig.Message{Kind: hitchconfig.StoreRead, AsOf: now}, now)
	fmt.Println(t.State(), t.Refusal(now.Add(time.Second)))
	fmt.Println(t.Refusal(now.Add(4 * time.Second)))
	// Output:
	// Serving <nil>
	// Stale (NotRun): the router is cut off and may hold an old configuration
}
