// Package hitchoutcome tracks whether the work of a request has run.
//
// Every refusal has an Outcome and the earliest time for a retry. NotRun is a
// guarantee that no endpoint has run the request or will run it. Only
// DispatchTracker creates refusals for requests that may have been dispatched, so
// that this package alone is responsible for the guarantee.
//
//	var tracker hitchoutcome.DispatchTracker
//	if err := tracker.BeginDispatch(); err != nil {
//		return err
//	}
//	// ... write the request ...
//	return tracker.Refuse(hitchoutcome.ReasonEndpointLost, retryAt, "endpoint %s is lost", id)
package hitchoutcome

import "fmt"

// Outcome is whether the work of a request has run.
type Outcome uint8

// The outcomes. The zero value is Unknown, which guarantees nothing.
const (
	// Unknown means that the work may have run completely, partly or not at all.
	Unknown Outcome = iota
	// NotRun means that the work hasn't run and won't: no attempt can have reached an
	// endpoint, or those that did were refused without being run.
	NotRun
	// Ran means that an endpoint ran the work and its response is known.
	Ran
)

var outcomeNames = [...]string{"Unknown", "NotRun", "Ran"}

// String returns the outcome's name as used in responses and logs.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return fmt.Sprintf("Outcome(%d)", uint8(o))
}

// MarshalText returns the outcome's name.
func (o Outcome) MarshalText() ([]byte, error) {
	return []byte(o.String()), nil
}

// UnmarshalText parses an outcome's name.
func (o *Outcome) UnmarshalText(text []byte) error {
	for i, name := range outcomeNames {
		if name == string(text) {
			*o = Outcome(i)
			return nil
		}
	}
	return fmt.Errorf("hitchoutcome: invalid outcome %q", text)
}
