package hitchroute

import (
	"cmp"
	"slices"
	"strings"
)

// Limits bounds the requests of callers.
type Limits struct {
	HeaderBytes        int
	BodyBytes          int
	HeaderMilliseconds int
	IdleMilliseconds   int
}

// Config is one version of the operator's configuration.
type Config struct {
	// Version is the version number that the operator assigned.
	Version       int64
	Limits        Limits
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	// HasOrganisations is set if the configuration lists its organisations, even if there are none: then a
	// request needs the key of one of them.
	HasOrganisations bool
}

// Table is an index of one version of the configuration. The zero value has no
// routes.
type Table struct {
	cfg Config

	byHost    map[string][]*Route // longest prefix first
	byService map[ServiceID]*Service
	byAPIKey  map[string]*Organisation
}

// NewTable returns the table of a configuration. The caller must not change cfg
// afterwards.
func NewTable(cfg Config) *Table {
	t := &Table{
		cfg:       cfg,
		byHost:    make(map[string][]*Route),
		byService: make(map[ServiceID]*Service, len(cfg.Services)),
		byAPIKey:  make(map[string]*Organisation),
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	for i := range cfg.Services {
		t.byService[cfg.Services[i].ID] = &cfg.Services[i]
	}
	for i := range cfg.Organisations {
		for _, key := range cfg.Organisations[i].Keys {
			if key != "" { // a request without a key has the empty one
				t.byAPIKey[key] = &cfg.Organisations[i]
			}
		}
	}
	return t
}

// Route returns the route of the host that has the longest matching path prefix.
func (t *Table) Route(host, path string) (*Route, bool) {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// Organisation returns the organisation that an API key belongs to.
func (t *Table) Organisation(apiKey string) (*Organisation, bool) {
	o, ok := t.byAPIKey[apiKey]
	return o, ok
}

// RequiresAPIKey reports whether requests on the route need an API key.
func (t *Table) RequiresAPIKey(r *Route) bool {
	// An instance of an older version sends no HasOrganisations.
	return !r.IsPublic && (t.cfg.HasOrganisations || len(t.cfg.Organisations) > 0)
}

// Service returns the configuration of a service. An unknown service has no
// limits.
func (t *Table) Service(id ServiceID) Service {
	if s, ok := t.byService[id]; ok {
		return *s
	}
	return Service{ID: id}
}

// Len returns the number of routes.
func (t *Table) Len() int { return len(t.cfg.Routes) }

// Config returns the configuration. The caller must not change it.
func (t *Table) Config() Config { return t.cfg }

// Version returns the version number that the operator assigned.
func (t *Table) Version() int64 { return t.cfg.Version }

// Limits returns the limits on callers' requests.
func (t *Table) Limits() Limits { return t.cfg.Limits }
