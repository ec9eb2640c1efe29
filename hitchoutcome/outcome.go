// Package hitchoutcome says what became of a request.
//
// Every refusal carries an Outcome and the time to come back. NotRun is a
// promise: no attempt of the request can have reached an endpoint. Only
// Evidence makes refusals for requests that were on their way, so the proof of
// the promise stands in this package alone.
//
//	var ev hitchoutcome.Evidence
//	if err := ev.Dispatching(); err != nil {
//		return err
//	}
//	// ... write the request ...
//	return ev.Refuse(hitchoutcome.ReasonEndpointLost, retryAt, "endpoint %s is lost", id)
package hitchoutcome

import "fmt"

// Outcome tells whether the work of a request was done.
type Outcome uint8

// The outcomes. The zero value is Unknown, as that claims the least.
const (
	// Unknown means that the work may have run, wholly, in part or not at all.
	Unknown Outcome = iota
	// NotRun means that no attempt can have reached an endpoint.
	NotRun
	// Ran means that an endpoint ran the work and its answer is known.
	Ran
)

var outcomeNames = [...]string{"Unknown", "NotRun", "Ran"}

// String returns the outcome's name as it stands in answers and logs.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return fmt.Sprintf("Outcome(%d)", uint8(o))
}

// MarshalText writes the outcome's name.
func (o Outcome) MarshalText() ([]byte, error) {
	return []byte(o.String()), nil
}

// UnmarshalText reads an outcome's name.
func (o *Outcome) UnmarshalText(text []byte) error {
	for i, name := range outcomeNames {
		if name == string(text) {
			*o = Outcome(i)
			return nil
		}
	}
	return fmt.Errorf("hitchoutcome: %q is no outcome", text)
}
