package hitchconfig

import (
	"fmt"
	"strings"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Fault is one thing that is wrong with a configuration.
type Fault struct {
	// Path names the place, such as Routes[guide-llm].Versions[v2].Weight.
	Path   string
	Detail string
}

// CheckError lists all that is wrong with a configuration.
type CheckError struct {
	Faults []Fault
}

// Error returns the faults, each with its path.
func (e *CheckError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.Path + ": " + f.Detail
	}
	return "hitchconfig: " + strings.Join(lines, "; ")
}

const (
	nameBytes       = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._:/@+-"
	maxNameBytes    = 128
	maxPathBytes    = 256
	maxVersions     = 16
	maxAdapters     = 48
	maxMethods      = 8
	maxRoutesOfOne  = 64
	maxWeight       = 1_000_000
	maxPriority     = 1000
	maxMilliseconds = 24 * 60 * 60 * 1000
)

// checker collects faults.
type checker struct {
	faults []Fault
}

func (k *checker) want(ok bool, path, format string, args ...any) {
	if !ok {
		k.faults = append(k.faults, Fault{Path: path, Detail: fmt.Sprintf(format, args...)})
	}
}

func (k *checker) within(n, low, high int, path string) {
	k.want(n >= low && n <= high, path, "is %d, want %d to %d", n, low, high)
}

// few checks a bound on the length of a list. The bounds keep each element
// small enough for the accept records.
func few[T any](k *checker, all []T, most int, path string) {
	k.want(len(all) <= most, path, "has %d elements, want at most %d", len(all), most)
}

// names checks that names are usable, sorted and unique.
func names[T any](k *checker, all []T, path string, nameOf func(T) string) {
	k.want(all == nil || len(all) > 0, path, "is empty, want null")
	for i, element := range all {
		name := nameOf(element)
		at := fmt.Sprintf("%s[%s]", path, name)
		k.want(isName(name), at, "is no name: want 1 to %d letters, digits or ._:/@+-", maxNameBytes)
		if i > 0 {
			before := nameOf(all[i-1])
			k.want(before != name, at, "stands twice")
			k.want(before <= name, at, "stands after %s, want sorted names", before)
		}
	}
}

// isName takes letters, digits and a few signs of ASCII, so that a name has the
// same bytes in JSON, in a path and on a command line.
func isName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && hasNameBytes(name)
}

func hasNameBytes(s string) bool {
	return strings.IndexFunc(s, func(r rune) bool { return !strings.ContainsRune(nameBytes, r) }) < 0
}

// Check checks the configuration as a whole. It returns a *CheckError with
// every fault, or nil.
func (c Configuration) Check() error {
	var k checker
	k.want(c.Format == Format, "Format", "is %d, want %d", c.Format, Format)
	names(&k, c.Routes, "Routes", Route.name)
	names(&k, c.Organisations, "Organisations", Organisation.name)
	names(&k, c.Operators, "Operators", Operator.name)
	names(&k, c.ZonesOut, "ZonesOut", zoneName)
	names(&k, c.Endpoints, "Endpoints", EndpointRule.name)
	for _, r := range c.Routes {
		k.route(r, fmt.Sprintf("Routes[%s]", r.ID))
	}
	k.prefixes(c.Routes)
	for _, o := range c.Organisations {
		k.organisation(c, o, fmt.Sprintf("Organisations[%s]", o.ID))
	}
	for _, e := range c.Endpoints {
		k.want(!e.isEmpty(), fmt.Sprintf("Endpoints[%s]", e.ID), "says nothing")
		k.want(e.Role == "" || isName(e.Role), fmt.Sprintf("Endpoints[%s].Role", e.ID), "is no name")
	}
	k.keys(c)
	k.limits(c.Limits)
	if len(k.faults) > 0 {
		return &CheckError{Faults: k.faults}
	}
	return nil
}

func (k *checker) route(r Route, path string) {
	k.within(r.TimeoutMilliseconds, 1, maxMilliseconds, path+".TimeoutMilliseconds")
	k.within(r.FirstByteMilliseconds, 0, r.TimeoutMilliseconds, path+".FirstByteMilliseconds")
	k.within(r.SilenceMilliseconds, 0, r.TimeoutMilliseconds, path+".SilenceMilliseconds")
	switch r.Kind {
	case EngineRoute:
		k.engine(r, path)
	case ServiceRoute:
		k.service(r, path)
	default:
		k.want(false, path+".Kind", "is %q, want %s or %s", r.Kind, EngineRoute, ServiceRoute)
	}
}

func (k *checker) engine(r Route, path string) {
	few(k, r.Versions, maxVersions, path+".Versions")
	few(k, r.Adapters, maxAdapters, path+".Adapters")
	names(k, r.Versions, path+".Versions", ModelVersion.name)
	names(k, r.Adapters, path+".Adapters", func(s string) string { return s })
	for _, v := range r.Versions {
		k.within(v.Weight, 0, maxWeight, fmt.Sprintf("%s.Versions[%s].Weight", path, v.Name))
	}
	k.want(r.totalWeight() > 0, path+".Versions", "has no version with a weight above 0")
	s := r.Service
	k.want(s.PathPrefix == "" && s.IdempotentMethods == nil && s.Journal == "" && s.OutcomePath == "",
		path+".Service", "is set, but the route is of engines")
}

func (k *checker) service(r Route, path string) {
	k.want(r.Versions == nil, path+".Versions", "is set, but the route is of services")
	k.want(r.Adapters == nil, path+".Adapters", "is set, but the route is of services")
	s := r.Service
	path += ".Service"
	k.want(isPrefix(s.PathPrefix), path+".PathPrefix",
		"is %q, want a path that starts with / and doesn't end with it", s.PathPrefix)
	k.want(s.Journal == JournalRequired || s.Journal == JournalBestEffort, path+".Journal",
		"is %q, want %s or %s", s.Journal, JournalRequired, JournalBestEffort)
	few(k, s.IdempotentMethods, maxMethods, path+".IdempotentMethods")
	names(k, s.IdempotentMethods, path+".IdempotentMethods", func(m string) string { return m })
	for _, m := range s.IdempotentMethods {
		k.want(strings.ToUpper(m) == m, path+".IdempotentMethods", "%q is no HTTP method in capitals", m)
	}
	if s.OutcomePath != "" {
		k.want(strings.HasPrefix(s.OutcomePath, "/") && len(s.OutcomePath) <= maxPathBytes && strings.Contains(s.OutcomePath, "{key}"),
			path+".OutcomePath", "is %q, want a path with {key}", s.OutcomePath)
	}
}

func isPrefix(p string) bool {
	return strings.HasPrefix(p, "/") && len(p) > 1 && len(p) <= maxPathBytes && !strings.HasSuffix(p, "/") &&
		!strings.Contains(p, "//") && hasNameBytes(p)
}

func (k *checker) prefixes(routes []Route) {
	owners := make(map[string]hitchfleet.RouteID)
	for _, r := range routes {
		p := r.Service.PathPrefix
		if p == "" {
			continue
		}
		owner, taken := owners[p]
		k.want(!taken, fmt.Sprintf("Routes[%s].Service.PathPrefix", r.ID), "is %s like that of %s", p, owner)
		owners[p] = r.ID
	}
}

func (k *checker) organisation(c Configuration, o Organisation, path string) {
	k.within(o.ShareWeight, 1, maxWeight, path+".ShareWeight")
	k.within(o.PriorityCeiling, 0, maxPriority, path+".PriorityCeiling")
	few(k, o.Routes, maxRoutesOfOne, path+".Routes")
	few(k, o.Keys, maxKeysAtOnce, path+".Keys")
	names(k, o.Routes, path+".Routes", func(id hitchfleet.RouteID) string { return string(id) })
	for _, id := range o.Routes {
		_, ok := c.Route(id)
		k.want(ok, path+".Routes", "%s is no route", id)
	}
}

// keys checks that each key belongs to one organisation or operator alone.
func (k *checker) keys(c Configuration) {
	owners := make(map[KeyHash]string)
	add := func(path string, keys []APIKey) {
		k.want(keys == nil || len(keys) > 0, path, "is empty, want null")
		for _, key := range keys {
			owner, taken := owners[key.Hash]
			k.want(!taken, path, "key %s stands in %s too", key.Hash, owner)
			k.want(key.NotAfter.Equal(key.NotAfter.UTC().Round(0)), path, "key %s ends at no UTC time", key.Hash)
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

func (k *checker) limits(l Limits) {
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
			k.within(f.n, f.low, f.high, "Limits."+f.path)
		}
	}
}
