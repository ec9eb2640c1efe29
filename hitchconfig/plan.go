package hitchconfig

import (
	"fmt"
	"strings"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Plan describes the effects of an intent. Nothing changes until it is confirmed.
type Plan struct {
	Token   Token
	Changes []Change
	// Moves is the load that would shift between availability zones.
	Moves []Move
	// ColdStarts are the engines that would have to load a version or adapter.
	ColdStarts []ColdStart
	Warnings   []Warning
}

// ColdStart is an engine that would have to load a version or adapter, and would take
// few requests until then.
type ColdStart struct {
	Endpoint hitchfleet.EndpointID
	Zone     hitchfleet.AvailabilityZone
	Route    hitchfleet.RouteID
	Before   string
	After    string
}

// PlanInput holds the inputs for a plan.
type PlanInput struct {
	// ID identifies the plan and must be unique, such as a ULID.
	ID       string
	Operator string
	Intent   Intent
	Base     Configuration
	// Accepts are accepted changes, among which an Undo finds the one to revert.
	Accepts []AcceptedChange
	Fleet   FleetView
	Keys    Keyring
}

// Plan computes the effects of the intent. The plan expires some time after now, see
// Limits.PlanSeconds. It fails with an *IntentError or a *CheckError if the intent can't
// be applied.
//
//	plan, err := hitchconfig.PlanInput{ID: id, Operator: name, Intent: intent, Base: cfg, Keys: keys}.Plan(now)
//	fmt.Print(plan.Text())
func (in PlanInput) Plan(now time.Time) (p Plan, err error) {
	defer wrapError(&err, "plan %s", in.Intent.Kind)
	intent, err := in.resolveIntent()
	if err != nil {
		return Plan{}, err
	}
	after, err := intent.Apply(in.Base)
	if err != nil {
		return Plan{}, err
	}
	if _, err := intent.inverseWithinLimits(in.Base); err != nil {
		return Plan{}, err
	}
	sum, err := after.Checksum()
	if err != nil {
		return Plan{}, err
	}
	limits := in.Base.Limits.WithDefaults()
	token := Token{
		ID: in.ID, Operator: in.Operator, Intent: intent, Base: in.Base.Revision, Result: sum,
		Deadline: now.Add(time.Duration(limits.PlanSeconds) * time.Second).UTC().Round(0),
	}
	p.Token, err = token.withProof(in.Keys)
	if err != nil {
		return Plan{}, err
	}
	p.Changes = Diff(in.Base, after)
	p.Moves = in.Fleet.moves(in.Base, after)
	p.ColdStarts = in.Fleet.coldStarts(in.Base, after)
	p.Warnings = in.Fleet.warnings(in.Base, after, p.ColdStarts)
	return p, nil
}

// resolveIntent replaces an Undo with the inverse of the change to revert.
func (in PlanInput) resolveIntent() (Intent, error) {
	if in.Intent.Kind != Undo {
		intent := in.Intent
		intent.Revision = 0
		return intent, nil
	}
	for _, a := range in.Accepts {
		if a.Revision == in.Intent.Revision {
			return in.undoIntent(a)
		}
	}
	return Intent{}, in.Intent.refuse("revision %d is not in the history", in.Intent.Revision)
}

func (in PlanInput) undoIntent(a AcceptedChange) (Intent, error) {
	sum, err := a.Intent.elementChecksum(in.Base)
	if err != nil {
		return Intent{}, err
	}
	if sum != a.Element {
		return Intent{}, in.Intent.refuse("%s was changed again after revision %d", a.Intent.Subject(), a.Revision)
	}
	inverse := a.Inverse
	inverse.Revision = a.Revision
	return inverse, nil
}

// Text returns the plan as text for an operator.
func (p Plan) Text() string {
	var b strings.Builder
	t := p.Token
	fmt.Fprintf(&b, "plan %s: %s %s\n", t.ID, t.Intent.Kind, t.Intent.Subject())
	fmt.Fprintf(&b, "by %s on revision %d, to be confirmed before %s\n",
		t.Operator, t.Base, t.Deadline.Format(time.RFC3339))
	writeSection(&b, "changes", p.Changes)
	writeSection(&b, "load that moves", p.Moves)
	writeSection(&b, "engines that start cold", p.ColdStarts)
	writeSection(&b, "warnings", p.Warnings)
	return b.String()
}

// writeSection writes a list with a title, or "none" if it is empty.
func writeSection[T fmt.Stringer](b *strings.Builder, title string, items []T) {
	if len(items) == 0 {
		fmt.Fprintf(b, "%s: none\n", title)
		return
	}
	fmt.Fprintf(b, "%s:\n", title)
	for _, item := range items {
		fmt.Fprintf(b, "  %s\n", item)
	}
}

// String returns the cold start as one line of a plan.
func (s ColdStart) String() string {
	return fmt.Sprintf("%s in %s: %s %s -> %s", s.Endpoint, s.Zone, s.Route, s.Before, s.After)
}
