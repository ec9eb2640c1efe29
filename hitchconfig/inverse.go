package hitchconfig

import "encoding/json"

// Inverse returns the intent that reverts the change: applied to the result of
// Apply(base), it restores base except for the revision number.
func (i Intent) Inverse(base Configuration) (Intent, error) {
	switch i.Kind {
	case TakeZoneOut:
		return Intent{Kind: ReturnZone, Zone: i.Zone}, nil
	case ReturnZone:
		return Intent{Kind: TakeZoneOut, Zone: i.Zone}, nil
	case AddRoute:
		return Intent{Kind: RemoveRoute, Route: i.NewRoute.ID}, nil
	case RemoveRoute, ChangeRoute, AddModelVersion, SetVersionWeights:
		return i.inverseRoute(base)
	case AddOrganisation:
		return Intent{Kind: RemoveOrganisation, Organisation: i.NewOrganisation.ID}, nil
	case RemoveOrganisation, ChangeOrganisation, RotateKey:
		return i.inverseOrganisation(base)
	case SetOperator, RemoveOperator:
		return i.inverseOperator(base)
	case DrainEndpoint:
		return Intent{Kind: ReturnEndpoint, Endpoint: i.Endpoint}, nil
	case ReturnEndpoint:
		return Intent{Kind: DrainEndpoint, Endpoint: i.Endpoint}, nil
	case SetEndpointFencing:
		return Intent{Kind: SetEndpointFencing, Endpoint: i.Endpoint, ChecksFencing: !i.ChecksFencing}, nil
	case SetEndpointRole:
		return Intent{Kind: SetEndpointRole, Endpoint: i.Endpoint, Role: base.Endpoint(i.Endpoint).Role}, nil
	case SetLimits:
		return Intent{Kind: SetLimits, NewLimits: &base.Limits}, nil
	default:
		return Intent{}, i.refuse("has no inverse")
	}
}

// inverseWithinLimits returns the inverse. It fails if the inverse or the intent is too
// large for the history.
func (i Intent) inverseWithinLimits(base Configuration) (Intent, error) {
	inverse, err := i.Inverse(base)
	if err != nil {
		return Intent{}, err
	}
	for _, intent := range []Intent{i, inverse} {
		data, err := json.Marshal(intent)
		if err != nil {
			return Intent{}, err
		}
		if len(data) > maxIntentBytes {
			return Intent{}, i.refuse("%s: %d bytes, want at most %d", intent.Kind, len(data), maxIntentBytes)
		}
	}
	return inverse, nil
}

func (i Intent) inverseRoute(base Configuration) (Intent, error) {
	id := i.Route
	if i.NewRoute != nil {
		id = i.NewRoute.ID
	}
	before, ok := base.Route(id)
	if !ok {
		return Intent{}, i.refuse("route %s: %s", id, notFoundDetail)
	}
	if i.Kind == RemoveRoute {
		return Intent{Kind: AddRoute, NewRoute: &before}, nil
	}
	return Intent{Kind: ChangeRoute, NewRoute: &before}, nil
}

func (i Intent) inverseOrganisation(base Configuration) (Intent, error) {
	id := i.Organisation
	if i.NewOrganisation != nil {
		id = i.NewOrganisation.ID
	}
	before, ok := base.Organisation(id)
	if !ok {
		return Intent{}, i.refuse("organisation %s: %s", id, notFoundDetail)
	}
	if i.Kind == RemoveOrganisation {
		return Intent{Kind: AddOrganisation, NewOrganisation: &before}, nil
	}
	return Intent{Kind: ChangeOrganisation, NewOrganisation: &before}, nil
}

func (i Intent) inverseOperator(base Configuration) (Intent, error) {
	name := i.Operator
	if i.NewOperator != nil {
		name = i.NewOperator.Name
	}
	before, ok := base.Operator(name)
	if !ok {
		return Intent{Kind: RemoveOperator, Operator: name}, nil
	}
	return Intent{Kind: SetOperator, NewOperator: &before}, nil
}

// elementChecksum returns the checksum of the element that the intent changes, as of
// the given configuration. An Undo compares it, so that it never reverts a later change
// of the same element.
func (i Intent) elementChecksum(c Configuration) (sum Checksum, err error) {
	var value any
	switch i.Kind {
	case TakeZoneOut, ReturnZone:
		value = c.IsZoneOut(i.Zone)
	case AddRoute, ChangeRoute:
		value, _ = c.Route(i.NewRoute.ID)
	case RemoveRoute, AddModelVersion, SetVersionWeights:
		value, _ = c.Route(i.Route)
	case AddOrganisation, ChangeOrganisation:
		value, _ = c.Organisation(i.NewOrganisation.ID)
	case RemoveOrganisation, RotateKey:
		value, _ = c.Organisation(i.Organisation)
	case SetOperator:
		value, _ = c.Operator(i.NewOperator.Name)
	case RemoveOperator:
		value, _ = c.Operator(i.Operator)
	case SetLimits:
		value = c.Limits
	default:
		value = c.Endpoint(i.Endpoint)
	}
	data, err := json.Marshal(value)
	if err != nil {
		return "", err
	}
	return checksumOf(data), nil
}
