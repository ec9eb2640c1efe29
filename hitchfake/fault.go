package hitchfake

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// FaultKind is the kind of a fault.
type FaultKind string

// The kinds of faults. docs/design/standins.md lists the kinds that each server
// supports.
const (
	// FaultHang accepts a request and stops responding while the connection stays
	// open: at once, after AfterTokens tokens of a stream, or AfterRun.
	FaultHang FaultKind = "Silent"
	// FaultDisconnect closes the connection: at once, after AfterTokens tokens of a
	// stream, or AfterRun.
	FaultDisconnect FaultKind = "Cut"
	// FaultSwapResponse responds with the attempt ID and body of another request.
	FaultSwapResponse FaultKind = "Crossed"
	// FaultDelayResponse does the work at once and delays the response by Millis.
	FaultDelayResponse FaultKind = "LateAnswer"
	// FaultSlow adds Millis to each step of work.
	FaultSlow FaultKind = "Slow"
	// FaultRefuse responds with 503 and does no work.
	FaultRefuse FaultKind = "Refuse"
	// FaultCold puts the server into cold start. Its load report shows it only if
	// Announced is set.
	FaultCold FaultKind = "Cold"
	// FaultDropCacheEvents drops cache events.
	FaultDropCacheEvents FaultKind = "Gap"
	// FaultUnavailable makes the key-value service respond with 503 and do no work. It
	// also closes watches.
	FaultUnavailable FaultKind = "Out"
	// FaultDropResponses executes a call of the key-value service and sends no
	// response. The connection is closed after Millis, or stays open if Millis is 0.
	FaultDropResponses FaultKind = "LoseAnswers"
	// FaultDelayWrite closes the connection at once and executes the call of the
	// key-value service Millis later.
	FaultDelayWrite FaultKind = "LateWrite"
)

var faultKinds = []FaultKind{
	FaultHang, FaultDisconnect, FaultSwapResponse, FaultDelayResponse, FaultSlow, FaultRefuse,
	FaultCold, FaultDropCacheEvents, FaultUnavailable, FaultDropResponses, FaultDelayWrite,
}

// Fault is a fault to inject and the requests to which it applies.
type Fault struct {
	Kind FaultKind
	// Path limits the fault to requests whose path has this prefix. Empty means all
	// requests.
	Path string
	// AfterTokens is the number of tokens sent before a FaultHang or FaultDisconnect
	// applies.
	AfterTokens int
	// AfterRun makes a FaultHang or FaultDisconnect apply after the work has been done
	// instead of before.
	AfterRun bool
	// Millis is a delay in milliseconds.
	Millis int
	// Times is the number of requests to which the fault applies. Zero means no
	// limit.
	Times int
	// Share is the fraction of requests to which the fault applies. Zero means all.
	Share float64
	// Announced makes the load report show a cold start.
	Announced bool
}

func (f Fault) delay() time.Duration { return time.Duration(f.Millis) * time.Millisecond }

// FaultList is the body of POST and GET /faults.
type FaultList struct {
	Faults []Fault
}

// Faults holds the active faults of a server. The zero value has none. Its methods
// are safe for concurrent use.
type Faults struct {
	// Seed is the seed by which the requests for a Share are selected.
	Seed uint64

	mu      sync.Mutex
	active  []Fault
	random  *rand.Rand
	changed chan struct{}
}

// Set replaces the active faults.
func (f *Faults) Set(faults ...Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = slices.Clone(faults)
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// changedChannel returns a channel that is closed by the next Set.
func (f *Faults) changedChannel() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.changed
}

// Active returns the active faults. A fault is removed after it has applied to
// Times requests.
func (f *Faults) Active() []Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.active)
}

// trigger returns the first fault of a kind that applies to a request to the path,
// and decrements its Times. It reports false if none applies.
func (f *Faults) trigger(kind FaultKind, path string) (Fault, bool) {
	return f.triggerIf(kind, path, func(Fault) bool { return true })
}

// triggerIf is trigger for the faults that match.
func (f *Faults) triggerIf(kind FaultKind, path string, match func(Fault) bool) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, fault := range f.active {
		if fault.Kind != kind || !strings.HasPrefix(path, fault.Path) || !match(fault) || !f.isSampled(fault.Share) {
			continue
		}
		if fault.Times == 1 {
			f.active = slices.Delete(f.active, i, i+1)
		} else if fault.Times > 1 {
			f.active[i].Times--
		}
		return fault, true
	}
	return Fault{}, false
}

// applyConnectionFault stalls or closes the connection if a FaultHang or
// FaultDisconnect applies, before or after the request's work. It ignores faults with
// AfterTokens, which apply within a stream.
func (f *Faults) applyConnectionFault(r *http.Request, afterRun bool) {
	isDue := func(fault Fault) bool { return fault.AfterRun == afterRun && fault.AfterTokens == 0 }
	if _, ok := f.triggerIf(FaultHang, r.URL.Path, isDue); ok {
		hangUntilClosed(r)
	}
	if _, ok := f.triggerIf(FaultDisconnect, r.URL.Path, isDue); ok {
		closeConnection()
	}
}

func (f *Faults) isSampled(share float64) bool {
	if share <= 0 || share >= 1 {
		return true
	}
	if f.random == nil {
		f.random = rand.New(rand.NewPCG(f.Seed, 0))
	}
	return f.random.Float64() < share
}

// find returns the first fault of a kind without decrementing its Times.
func (f *Faults) find(kind FaultKind) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.IndexFunc(f.active, func(fault Fault) bool { return fault.Kind == kind })
	if i < 0 {
		return Fault{}, false
	}
	return f.active[i], true
}

// register adds the endpoints for fault injection to an admin handler.
func (f *Faults) register(mux *http.ServeMux) {
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, FaultList{Faults: f.Active()})
	})
	mux.HandleFunc("DELETE /faults", func(w http.ResponseWriter, _ *http.Request) {
		f.Set()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var list FaultList
		err := readJSON(r, &list)
		for _, fault := range list.Faults {
			if err == nil && !slices.Contains(faultKinds, fault.Kind) {
				err = fmt.Errorf("unknown fault kind %q", fault.Kind)
			}
		}
		if err != nil {
			writeError(w, http.StatusBadRequest, err.Error())
			return
		}
		f.Set(list.Faults...)
		writeJSON(w, http.StatusOK, list)
	})
}
