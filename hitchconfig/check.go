package hitchconfig

import (
	"fmt"
	"strings"

	"citronhitch.example/citronhitch/hitchfleet"
)

// FieldViolation is one invalid field of a configuration.
type FieldViolation struct {
	// Path is the path of the field, such as Routes[guide-llm].Versions[v2].Weight.
	Path   string
	Detail string
}

// CheckError lists all violations found in a configuration.
type CheckError struct {
	Violations []FieldViolation
}

// Error returns the violations, each with its path.
func (e *CheckError) Error() string {
	lines := make([]string, len(e.Violations))
	for i, v := range e.Violations {
		lines[i] = v.Path + ": " + v.Detail
	}
	return "hitchconfig: " + strings.Join(lines, "; ")
}

const (
	nameChars             = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._:/@+-"
	maxNameBytes          = 128
	maxPathBytes          = 256
	maxVersions           = 16
	maxAdapters           = 48
	maxMethods            = 8
	maxOrganisationRoutes = 64
	maxWeight             = 1_000_000
	maxPriority           = 1000
	maxMilliseconds       = 24 * 60 * 60 * 1000
)

// checker collects violations.
type checker struct {
	violations []FieldViolation
}

func (k *checker) require(ok bool, path, format string, args ...any) {
	if !ok {
		k.violations = append(k.violations, FieldViolation{Path: path, Detail: fmt.Sprintf(format, args...)})
	}
}

func (k *checker) requireRange(n, low, high int, path string) {
	k.require(n >= low && n <= high, path, "is %d, want %d to %d", n, low, high)
}

// requireMaxLength checks the length of a list. The limits keep each element small
// enough for the records of accepted changes.
func requireMaxLength[T any](k *checker, all []T, maxLength int, path string) {
	k.require(len(all) <= maxLength, path, "has %d elements, want at most %d", len(all), maxLength)
}

// checkNames checks that names are valid, sorted and unique.
func checkNames[T any](k *checker, all []T, path string, nameOf func(T) string) {
	k.require(all == nil || len(all) > 0, path, "is empty, want null")
	for i, element := range all {
		name := nameOf(element)
		at := fmt.Sprintf("%s[%s]", path, name)
		k.require(isValidName(name), at, "is not a valid name: want 1 to %d letters, digits or ._:/@+-", maxNameBytes)
		if i > 0 {
			previous := nameOf(all[i-1])
			k.require(previous != name, at, "is listed twice")
			k.require(previous <= name, at, "is listed after %s, want names in sorted order", previous)
		}
	}
}

// isValidName accepts ASCII letters, digits and a few punctuation characters, so
// that a name needs no escaping in JSON, in a path or on a command line.
func isValidName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && hasOnlyNameChars(name)
}

func hasOnlyNameChars(s string) bool {
	return strings.IndexFunc(s, func(r rune) bool { return !strings.ContainsRune(nameChars, r) }) < 0
}

// Check validates the whole configuration. It returns a *CheckError with all
// violations, or nil.
func (c Configuration) Check() error {
	var k checker
	k.require(c.Format == Format, "Format", "is %d, want %d", c.Format, Format)
	checkNames(&k, c.Routes, "Routes", Route.name)
	checkNames(&k, c.Organisations, "Organisations", Organisation.name)
	checkNames(&k, c.Operators, "Operators", Operator.name)
	checkNames(&k, c.ZonesOut, "ZonesOut", zoneName)
	checkNames(&k, c.Endpoints, "Endpoints", EndpointRule.name)
	for _, r := range c.Routes {
		k.checkRoute(r, fmt.Sprintf("Routes[%s]", r.ID))
	}
	k.checkPrefixes(c.Routes)
	for _, o := range c.Organisations {
		k.checkOrganisation(c, o, fmt.Sprintf("Organisations[%s]", o.ID))
	}
	for _, e := range c.Endpoints {
		k.require(!e.isEmpty(), fmt.Sprintf("Endpoints[%s]", e.ID), "sets no field")
		k.require(e.Role == "" || isValidName(e.Role), fmt.Sprintf("Endpoints[%s].Role", e.ID), "is not a valid name")
	}
	k.checkKeys(c)
	k.checkLimits(c.Limits)
	if len(k.violations) > 0 {
		return &CheckError{Violations: k.violations}
	}
	return nil
}

func (k *checker) checkRoute(r Route, path string) {
	k.requireRange(r.TimeoutMilliseconds, 1, maxMilliseconds, path+".TimeoutMilliseconds")
	k.requireRange(r.FirstByteMilliseconds, 0, r.TimeoutMilliseconds, path+".FirstByteMilliseconds")
	k.requireRange(r.SilenceMilliseconds, 0, r.TimeoutMilliseconds, path+".SilenceMilliseconds")
	switch r.Kind {
	case EngineRoute:
		k.checkEngineRoute(r, path)
	case ServiceRoute:
		k.checkServiceRoute(r, path)
	default:
		k.require(false, path+".Kind", "is %q, want %s or %s", r.Kind, EngineRoute, ServiceRoute)
	}
}

func (k *checker) checkEngineRoute(r Route, path string) {
	requireMaxLength(k, r.Versions, maxVersions, path+".Versions")
	requireMaxLength(k, r.Adapters, maxAdapters, path+".Adapters")
	checkNames(k, r.Versions, path+".Versions", ModelVersion.name)
	checkNames(k, r.Adapters, path+".Adapters", func(s string) string { return s })
	for _, v := range r.Versions {
		k.requireRange(v.Weight, 0, maxWeight, fmt.Sprintf("%s.Versions[%s].Weight", path, v.Name))
	}
	k.require(r.totalWeight() > 0, path+".Versions", "has no version with a weight above 0")
	s := r.Service
	k.require(s.PathPrefix == "" && s.IdempotentMethods == nil && s.Journal == "" && s.OutcomePath == "",
		path+".Service", "is set, but this is an Engine route")
}

func (k *checker) checkServiceRoute(r Route, path string) {
	k.require(r.Versions == nil, path+".Versions", "is set, but this is a Service route")
	k.require(r.Adapters == nil, path+".Adapters", "is set, but this is a Service route")
	s := r.Service
	path += ".Service"
	k.require(isValidPrefix(s.PathPrefix), path+".PathPrefix",
		"is %q, want a path that starts with / and doesn't end with /", s.PathPrefix)
	k.require(s.Journal == JournalRequired || s.Journal == JournalBestEffort, path+".Journal",
		"is %q, want %s or %s", s.Journal, JournalRequired, JournalBestEffort)
	requireMaxLength(k, s.IdempotentMethods, maxMethods, path+".IdempotentMethods")
	checkNames(k, s.IdempotentMethods, path+".IdempotentMethods", func(m string) string { return m })
	for _, m := range s.IdempotentMethods {
		k.require(strings.ToUpper(m) == m, path+".IdempotentMethods", "%q is not an upper-case HTTP method", m)
	}
	if s.OutcomePath != "" {
		k.require(strings.HasPrefix(s.OutcomePath, "/") && len(s.OutcomePath) <= maxPathBytes && strings.Contains(s.OutcomePath, "{key}"),
			path+".OutcomePath", "is %q, want a path with {key}", s.OutcomePath)
	}
}

func isValidPrefix(p string) bool {
	return strings.HasPrefix(p, "/") && len(p) > 1 && len(p) <= maxPathBytes && !strings.HasSuffix(p, "/") &&
		!strings.Contains(p, "//") && hasOnlyNameChars(p)
}

func (k *checker) checkPrefixes(routes []Route) {
	owners := make(map[string]hitchfleet.RouteID)
	for _, r := range routes {
		p := r.Service.PathPrefix
		if p == "" {
			continue
		}
		owner, taken := owners[p]
		k.require(!taken, fmt.Sprintf("Routes[%s].Service.PathPrefix", r.ID), "is %s, which route %s already uses", p, owner)
		owners[p] = r.ID
	}
}

func (k *checker) checkOrganisation(c Configuration, o Organisation, path string) {
	k.requireRange(o.ShareWeight, 1, maxWeight, path+".ShareWeight")
	k.requireRange(o.PriorityCeiling, 0, maxPriority, path+".PriorityCeiling")
	requireMaxLength(k, o.Routes, maxOrganisationRoutes, path+".Routes")
	requireMaxLength(k, o.Keys, maxKeys, path+".Keys")
	checkNames(k, o.Routes, path+".Routes", func(id hitchfleet.RouteID) string { return string(id) })
	for _, id := range o.Routes {
		_, ok := c.Route(id)
		k.require(ok, path+".Routes", "%s is not a known route", id)
	}
}

// checkKeys checks that no key belongs to more than one organisation or operator.
func (k *checker) checkKeys(c Configuration) {
	owners := make(map[KeyHash]string)
	add := func(path string, keys []APIKey) {
		k.require(keys == nil || len(keys) > 0, path, "is empty, want null")
		for _, key := range keys {
			owner, taken := owners[key.Hash]
			k.require(!taken, path, "key %s is also in %s", key.Hash, owner)
			k.require(key.NotAfter.Equal(key.NotAfter.UTC().Round(0)), path, "NotAfter of key %s is not in UTC", key.Hash)
			owners[key.Hash] = path
		}
	}
	for _, o := range c.Organisations {
		add(fmt.Sprintf("Organisations[%s].Keys", o.ID), o.Keys)
	}
	for _, o := range c.Operators {
		add(fmt.Sprintf("Operators[%s].Keys", o.Name), o.Keys)
	}
}

func (k *checker) checkLimits(l Limits) {
	all := []struct {
		path      string
		n         int
		low, high int
	}{
		{"LoadBoundPercent", l.LoadBoundPercent, 101, 1000},
		{"ColdRequests", l.ColdRequests, 1, 10_000},
		{"QueueLength", l.QueueLength, 1, 100_000},
		{"BodyBytes", l.BodyBytes, 1, 1 << 30},
		{"OutcomeRetentionSeconds", l.OutcomeRetentionSeconds, 60, 30 * 24 * 60 * 60},
		{"CutOffMilliseconds", l.CutOffMilliseconds, 500, 60_000},
		{"UnmarkedSeconds", l.UnmarkedSeconds, 5, 24 * 60 * 60},
		{"PlanSeconds", l.PlanSeconds, 10, 24 * 60 * 60},
		{"LoadsPerMinute", l.LoadsPerMinute, 1, 10_000},
	}
	for _, f := range all {
		if f.n != 0 {
			k.requireRange(f.n, f.low, f.high, "Limits."+f.path)
		}
	}
}
