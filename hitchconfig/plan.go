package hitchconfig

import (
	"fmt"
	"strings"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Plan says what an intent would do. Nothing of it takes effect before it is
// confirmed.
type Plan struct {
	Token   Token
	Changes []Change
	// Moves is the load that goes from one availability zone to another.
	Moves []Move
	// ColdStarts are the engines that would load a version or adapter.
	ColdStarts []ColdStart
	Warnings   []Warning
}

// ColdStart is an engine that would load something, and takes little work
// meanwhile.
type ColdStart struct {
	Endpoint hitchfleet.EndpointID
	Zone     hitchfleet.AvailabilityZone
	Route    hitchfleet.RouteID
	Before   string
	After    string
}

// Draft is what a plan is made from.
type Draft struct {
	// ID names the plan; it must be unique, such as a ULID.
	ID       string
	Operator string
	Intent   Intent
	Base     Configuration
	// Accepts are the latest accepts, which an Undo looks into.
	Accepts []Accept
	Fleet   FleetView
	Keys    Keyring
}

// Plan works out what the intent would do at a time. It fails with an
// *IntentError or a *CheckError if the intent can't be carried out.
//
//	plan, err := hitchconfig.Draft{ID: id, Operator: name, Intent: intent, Base: cfg, Keys: keys}.Plan(now)
//	fmt.Print(plan.Text())
func (d Draft) Plan(now time.Time) (p Plan, err error) {
	defer annotate(&err, "plan %s", d.Intent.Kind)
	intent, err := d.resolve()
	if err != nil {
		return Plan{}, err
	}
	after, err := intent.Apply(d.Base)
	if err != nil {
		return Plan{}, err
	}
	if _, err := intent.boundedInverse(d.Base); err != nil {
		return Plan{}, err
	}
	sum, err := after.Checksum()
	if err != nil {
		return Plan{}, err
	}
	limits := d.Base.Limits.WithDefaults()
	token := Token{
		ID: d.ID, Operator: d.Operator, Intent: intent, Base: d.Base.Revision, Result: sum,
		Deadline: now.Add(time.Duration(limits.PlanSeconds) * time.Second).UTC().Round(0),
	}
	p.Token, err = token.withProof(d.Keys)
	if err != nil {
		return Plan{}, err
	}
	p.Changes = Diff(d.Base, after)
	p.Moves = d.Fleet.moves(d.Base, after)
	p.ColdStarts = d.Fleet.coldStarts(d.Base, after)
	p.Warnings = d.Fleet.warnings(d.Base, after, p.ColdStarts)
	return p, nil
}

// resolve replaces an Undo by the inverse of the change that it names.
func (d Draft) resolve() (Intent, error) {
	if d.Intent.Kind != Undo {
		intent := d.Intent
		intent.Revision = 0
		return intent, nil
	}
	for _, a := range d.Accepts {
		if a.Revision == d.Intent.Revision {
			return d.undo(a)
		}
	}
	return Intent{}, d.Intent.refuse("revision %d is not in the history", d.Intent.Revision)
}

func (d Draft) undo(a Accept) (Intent, error) {
	sum, err := a.Intent.element(d.Base)
	if err != nil {
		return Intent{}, err
	}
	if sum != a.Element {
		return Intent{}, d.Intent.refuse("%s was changed again after revision %d", a.Intent.Subject(), a.Revision)
	}
	inverse := a.Inverse
	inverse.Revision = a.Revision
	return inverse, nil
}

// Text returns the plan for an operator to read.
func (p Plan) Text() string {
	var b strings.Builder
	t := p.Token
	fmt.Fprintf(&b, "plan %s: %s %s\n", t.ID, t.Intent.Kind, t.Intent.Subject())
	fmt.Fprintf(&b, "by %s on revision %d, to be confirmed before %s\n",
		t.Operator, t.Base, t.Deadline.Format(time.RFC3339))
	section(&b, "changes", p.Changes)
	section(&b, "load that moves", p.Moves)
	section(&b, "engines that start cold", p.ColdStarts)
	section(&b, "warnings", p.Warnings)
	return b.String()
}

// section writes a headed list, or says that there is nothing.
func section[T fmt.Stringer](b *strings.Builder, head string, all []T) {
	if len(all) == 0 {
		fmt.Fprintf(b, "%s: none\n", head)
		return
	}
	fmt.Fprintf(b, "%s:\n", head)
	for _, line := range all {
		fmt.Fprintf(b, "  %s\n", line)
	}
}

// String returns the cold start as a line of a plan.
func (s ColdStart) String() string {
	return fmt.Sprintf("%s in %s: %s %s -> %s", s.Endpoint, s.Zone, s.Route, s.Before, s.After)
}
