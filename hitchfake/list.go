package hitchfake

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// ListSettings is the body of POST /settings.
type ListSettings struct {
	// LagMillis is the age of the served list.
	LagMillis int
	// Duplicate makes every instance and endpoint appear twice.
	Duplicate bool
	// Missing has the IDs of instances and endpoints that are left out.
	Missing []string
}

// List is a fake of the platform's instance list.
//
//	var list hitchfake.List
//	list.Put(hitchfleet.InstanceList{Instances: instances, Endpoints: endpoints})
//	server := httptest.NewServer(list.Handler())
type List struct {
	Faults Faults

	mu          sync.Mutex
	settings    ListSettings
	listHistory history[hitchfleet.InstanceList]
}

// Put replaces the list. It is served after the lag.
func (l *List) Put(list hitchfleet.InstanceList) {
	l.mu.Lock()
	defer l.mu.Unlock()
	list.AsOf = time.Now()
	l.listHistory.add(list.AsOf, list)
}

// Configure replaces the settings.
func (l *List) Configure(settings ListSettings) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settings = settings
}

// Handler returns the handler of GET /instances.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, r *http.Request) {
		l.Faults.applyConnectionFault(r, false)
		if _, ok := l.Faults.trigger(FaultRefuse, r.URL.Path); ok {
			writeError(w, http.StatusServiceUnavailable, "refused")
			return
		}
		writeJSON(w, http.StatusOK, l.report(time.Now()))
	})
	return mux
}

// Admin returns the handler for fault injection, PUT /instances and
// POST /settings.
func (l *List) Admin() http.Handler {
	mux := http.NewServeMux()
	l.Faults.register(mux)
	mux.HandleFunc("PUT /instances", func(w http.ResponseWriter, r *http.Request) {
		var list hitchfleet.InstanceList
		if err := readJSON(r, &list); err != nil {
			writeError(w, http.StatusBadRequest, err.Error())
			return
		}
		l.Put(list)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /settings", func(w http.ResponseWriter, r *http.Request) {
		var settings ListSettings
		if err := readJSON(r, &settings); err != nil {
			writeError(w, http.StatusBadRequest, err.Error())
			return
		}
		l.Configure(settings)
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// report returns the list to serve, with the lag and the errors of the settings.
func (l *List) report(now time.Time) hitchfleet.InstanceList {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.listHistory.at(now.Add(-millis(l.settings.LagMillis, 0)))
	missing := l.settings.Missing
	list.Instances = slices.DeleteFunc(slices.Clone(list.Instances), func(i hitchfleet.Instance) bool {
		return slices.Contains(missing, string(i.ID))
	})
	list.Endpoints = slices.DeleteFunc(slices.Clone(list.Endpoints), func(e hitchfleet.Endpoint) bool {
		return slices.Contains(missing, string(e.ID))
	})
	if l.settings.Duplicate {
		list.Instances = slices.Repeat(list.Instances, 2)
		list.Endpoints = slices.Repeat(list.Endpoints, 2)
	}
	return list
}
