package hitchconfig

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// IntentKind is the kind of change that an operator wants.
type IntentKind string

// The kinds of intents. Each changes one element of the configuration. The comments
// list the fields of Intent that each kind uses.
const (
	TakeZoneOut        IntentKind = "TakeZoneOut"        // Zone
	ReturnZone         IntentKind = "ReturnZone"         // Zone
	AddRoute           IntentKind = "AddRoute"           // NewRoute
	ChangeRoute        IntentKind = "ChangeRoute"        // NewRoute
	RemoveRoute        IntentKind = "RemoveRoute"        // Route
	AddModelVersion    IntentKind = "AddModelVersion"    // Route, Versions
	SetVersionWeights  IntentKind = "SetVersionWeights"  // Route, Versions
	AddOrganisation    IntentKind = "AddOrganisation"    // NewOrganisation
	ChangeOrganisation IntentKind = "ChangeOrganisation" // NewOrganisation
	RemoveOrganisation IntentKind = "RemoveOrganisation" // Organisation
	RotateKey          IntentKind = "RotateKey"          // Organisation, Rotation
	SetOperator        IntentKind = "SetOperator"        // NewOperator
	RemoveOperator     IntentKind = "RemoveOperator"     // Operator
	DrainEndpoint      IntentKind = "DrainEndpoint"      // Endpoint
	ReturnEndpoint     IntentKind = "ReturnEndpoint"     // Endpoint
	SetEndpointFencing IntentKind = "SetEndpointFencing" // Endpoint, ChecksFencing
	SetEndpointRole    IntentKind = "SetEndpointRole"    // Endpoint, Role
	SetLimits          IntentKind = "SetLimits"          // NewLimits
	Undo               IntentKind = "Undo"               // Revision
)

const (
	maxKeys        = 8
	notFoundDetail = "not found"
)

// Intent is a change that an operator wants. Kind determines which of the other
// fields are used; the unused ones stay zero.
//
//	intent := hitchconfig.Intent{Kind: hitchconfig.TakeZoneOut, Zone: "se-south-b"}
//	next, err := intent.Apply(cfg)
type Intent struct {
	Kind            IntentKind
	Zone            hitchfleet.AvailabilityZone
	Route           hitchfleet.RouteID
	Organisation    hitchfleet.OrganisationID
	Operator        string
	Endpoint        hitchfleet.EndpointID
	ChecksFencing   bool
	Role            string
	Versions        []ModelVersion
	Rotation        Rotation
	NewRoute        *Route
	NewOrganisation *Organisation
	NewOperator     *Operator
	NewLimits       *Limits
	// Revision is the revision that an Undo reverts. In a plan, the Undo is replaced
	// by the inverse change, and Revision still names the reverted revision.
	Revision uint64
}

// Rotation adds a new API key and sets the expiry of the existing keys.
type Rotation struct {
	Add      KeyHash
	OldUntil time.Time
}

// IntentError is the reason why an intent can't be applied.
type IntentError struct {
	Kind   IntentKind
	Detail string
}

// Error returns the kind of the intent and the reason.
func (e *IntentError) Error() string { return fmt.Sprintf("hitchconfig: %s: %s", e.Kind, e.Detail) }

func (i Intent) refuse(format string, args ...any) error {
	return &IntentError{Kind: i.Kind, Detail: fmt.Sprintf(format, args...)}
}

// Apply returns the next revision: the configuration with the change. It fails
// with an *IntentError if the intent can't be applied, and with a *CheckError if
// the resulting configuration is invalid. It is deterministic, so that every router
// that applies an intent to a revision gets the same encoding.
func (i Intent) Apply(c Configuration) (next Configuration, err error) {
	switch i.Kind {
	case TakeZoneOut, ReturnZone:
		next, err = i.applyZone(c)
	case AddRoute, ChangeRoute, RemoveRoute:
		next, err = i.applyRoute(c)
	case AddModelVersion, SetVersionWeights:
		next, err = i.applyVersions(c)
	case AddOrganisation, ChangeOrganisation, RemoveOrganisation, RotateKey:
		next, err = i.applyOrganisation(c)
	case SetOperator, RemoveOperator:
		next, err = i.applyOperator(c)
	case DrainEndpoint, ReturnEndpoint, SetEndpointFencing, SetEndpointRole:
		next, err = i.applyEndpoint(c)
	case SetLimits:
		next, err = i.applyLimits(c)
	default:
		err = i.refuse("not an intent that can be applied")
	}
	if err != nil {
		return Configuration{}, err
	}
	next = next.WithRevision(c.Revision + 1)
	if err := next.Check(); err != nil {
		return Configuration{}, err
	}
	return next, nil
}

func (i Intent) applyZone(c Configuration) (Configuration, error) {
	takeOut := i.Kind == TakeZoneOut
	if c.IsZoneOut(i.Zone) == takeOut {
		return c, i.refuse("availability zone %s is already in this state", i.Zone)
	}
	if takeOut {
		return c.WithZoneOut(i.Zone), nil
	}
	return c.WithoutZoneOut(i.Zone), nil
}

func (i Intent) applyRoute(c Configuration) (Configuration, error) {
	if i.Kind == RemoveRoute {
		if _, ok := c.Route(i.Route); !ok {
			return c, i.refuse("route %s: %s", i.Route, notFoundDetail)
		}
		return c.WithoutRoute(i.Route), nil
	}
	if i.NewRoute == nil {
		return c, i.refuse("NewRoute is missing")
	}
	_, exists := c.Route(i.NewRoute.ID)
	if exists == (i.Kind == AddRoute) {
		return c, i.refuse("route %s exists: %t", i.NewRoute.ID, exists)
	}
	return c.WithRoute(*i.NewRoute), nil
}

func (i Intent) applyVersions(c Configuration) (Configuration, error) {
	r, ok := c.Route(i.Route)
	if !ok {
		return c, i.refuse("route %s: %s", i.Route, notFoundDetail)
	}
	if len(i.Versions) == 0 {
		return c, i.refuse("Versions is missing")
	}
	for _, v := range i.Versions {
		_, exists := find(r.Versions, v.Name, ModelVersion.name)
		if exists == (i.Kind == AddModelVersion) {
			return c, i.refuse("version %s of route %s exists: %t", v.Name, i.Route, exists)
		}
		r = r.WithVersion(v)
	}
	return c.WithRoute(r), nil
}

func (i Intent) applyOrganisation(c Configuration) (Configuration, error) {
	if i.Kind == AddOrganisation || i.Kind == ChangeOrganisation {
		if i.NewOrganisation == nil {
			return c, i.refuse("NewOrganisation is missing")
		}
		_, exists := c.Organisation(i.NewOrganisation.ID)
		if exists == (i.Kind == AddOrganisation) {
			return c, i.refuse("organisation %s exists: %t", i.NewOrganisation.ID, exists)
		}
		return c.WithOrganisation(*i.NewOrganisation), nil
	}
	o, ok := c.Organisation(i.Organisation)
	if !ok {
		return c, i.refuse("organisation %s: %s", i.Organisation, notFoundDetail)
	}
	if i.Kind == RemoveOrganisation {
		return c.WithoutOrganisation(i.Organisation), nil
	}
	return c.WithOrganisation(o.WithKeys(i.Rotation.rotate(o.Keys))), nil
}

// rotate adds the new key and sets the expiry of the old ones. If there are too many
// old keys, those that expire first are removed.
func (r Rotation) rotate(keys []APIKey) []APIKey {
	keys = slices.Clone(keys)
	for n, key := range keys {
		if key.NotAfter.IsZero() || key.NotAfter.After(r.OldUntil) {
			keys[n].NotAfter = r.OldUntil
		}
	}
	slices.SortStableFunc(keys, func(a, b APIKey) int { return b.NotAfter.Compare(a.NotAfter) })
	keys = keys[:min(len(keys), maxKeys-1)]
	return append([]APIKey{{Hash: r.Add}}, keys...)
}

func (i Intent) applyOperator(c Configuration) (Configuration, error) {
	if i.Kind == SetOperator {
		if i.NewOperator == nil {
			return c, i.refuse("NewOperator is missing")
		}
		return c.WithOperator(*i.NewOperator), nil
	}
	if _, ok := c.Operator(i.Operator); !ok {
		return c, i.refuse("operator %s: %s", i.Operator, notFoundDetail)
	}
	return c.WithoutOperator(i.Operator), nil
}

func (i Intent) applyEndpoint(c Configuration) (Configuration, error) {
	if i.Endpoint == "" {
		return c, i.refuse("Endpoint is missing")
	}
	before := c.Endpoint(i.Endpoint)
	rule := before
	switch i.Kind {
	case DrainEndpoint:
		rule.Drained = true
	case ReturnEndpoint:
		rule.Drained = false
	case SetEndpointRole:
		rule.Role = i.Role
	default:
		rule.ChecksFencing = i.ChecksFencing
	}
	if rule == before {
		return c, i.refuse("endpoint %s already has this setting", i.Endpoint)
	}
	return c.WithEndpoint(rule), nil
}

func (i Intent) applyLimits(c Configuration) (Configuration, error) {
	if i.NewLimits == nil {
		return c, i.refuse("NewLimits is missing")
	}
	return c.WithLimits(*i.NewLimits), nil
}

// Subject returns the name of the element that the intent changes.
func (i Intent) Subject() string {
	switch {
	case i.NewRoute != nil:
		return string(i.NewRoute.ID)
	case i.NewOrganisation != nil:
		return string(i.NewOrganisation.ID)
	case i.NewOperator != nil:
		return i.NewOperator.Name
	case i.NewLimits != nil:
		return "limits"
	case i.Kind == Undo:
		return fmt.Sprint("revision ", i.Revision)
	}
	return cmp.Or(string(i.Zone), string(i.Route), string(i.Organisation), i.Operator, string(i.Endpoint))
}
