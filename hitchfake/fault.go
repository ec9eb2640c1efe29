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

// FaultKind names a fault.
type FaultKind string

// The kinds of faults. Which stand-in knows which is in docs/design/standins.md.
const (
	// FaultSilent accepts a request and goes silent: at once, after AfterTokens
	// tokens of a stream, or AfterRun.
	FaultSilent FaultKind = "Silent"
	// FaultCut breaks the connection: at once, after AfterTokens tokens of a
	// stream, or AfterRun.
	FaultCut FaultKind = "Cut"
	// FaultCrossed answers with the attempt ID and body of another request.
	FaultCrossed FaultKind = "Crossed"
	// FaultLateAnswer does the work at once and holds the answer back for Millis.
	FaultLateAnswer FaultKind = "LateAnswer"
	// FaultSlow adds Millis to each step of work.
	FaultSlow FaultKind = "Slow"
	// FaultRefuse answers 503 and does no work.
	FaultRefuse FaultKind = "Refuse"
	// FaultCold makes the stand-in cold; it says so in its load report only if
	// Announced is set.
	FaultCold FaultKind = "Cold"
	// FaultGap drops cache events.
	FaultGap FaultKind = "Gap"
	// FaultOut makes the key-value service answer 503 without doing anything.
	FaultOut FaultKind = "Out"
	// FaultLoseAnswers does the work of the key-value service and never answers.
	FaultLoseAnswers FaultKind = "LoseAnswers"
	// FaultLateWrite breaks the connection and does the work of the key-value
	// service Millis later.
	FaultLateWrite FaultKind = "LateWrite"
)

var faultKinds = []FaultKind{
	FaultSilent, FaultCut, FaultCrossed, FaultLateAnswer, FaultSlow, FaultRefuse,
	FaultCold, FaultGap, FaultOut, FaultLoseAnswers, FaultLateWrite,
}

// Fault is one fault and the requests that it strikes.
type Fault struct {
	Kind FaultKind
	// Path limits the fault to requests whose path starts so. Empty means all.
	Path string
	// AfterTokens is the number of tokens that pass before a Silent or Cut.
	AfterTokens int
	// AfterRun lets a Silent or Cut of a service strike once the work has run.
	AfterRun bool
	// Millis is a delay in milliseconds.
	Millis int
	// Times is how many requests are struck. Zero means no limit.
	Times int
	// Share is the part of requests that are struck. Zero means all.
	Share float64
	// Announced lets a Cold stand-in say so in its load report.
	Announced bool
}

func (f Fault) delay() time.Duration { return time.Duration(f.Millis) * time.Millisecond }

// FaultList is the body of POST and GET /faults.
type FaultList struct {
	Faults []Fault
}

// Faults holds the faults that are switched on. The zero value has none. Its
// methods are safe for several goroutines.
type Faults struct {
	// Seed fixes which requests a Share strikes.
	Seed uint64

	mu      sync.Mutex
	active  []Fault
	random  *rand.Rand
	changed chan struct{}
}

// Set replaces the faults that are switched on.
func (f *Faults) Set(faults ...Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = slices.Clone(faults)
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// changes returns a channel that is closed at the next Set.
func (f *Faults) changes() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.changed
}

// Active returns the faults that are switched on. A fault that has struck its
// number of Times is no longer among them.
func (f *Faults) Active() []Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.active)
}

// strike says whether a fault of the kind hits a request to the path, and takes
// one of its Times.
func (f *Faults) strike(kind FaultKind, path string) (Fault, bool) {
	return f.strikeIf(kind, path, func(Fault) bool { return true })
}

// strikeIf is strike for the faults that match.
func (f *Faults) strikeIf(kind FaultKind, path string, match func(Fault) bool) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, fault := range f.active {
		if fault.Kind != kind || !strings.HasPrefix(path, fault.Path) || !match(fault) || !f.drawn(fault.Share) {
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

// breakOff goes silent or breaks the connection if a fault says so, before or
// after the request's work. Faults in the midst of a stream aren't meant.
func (f *Faults) breakOff(r *http.Request, afterRun bool) {
	due := func(fault Fault) bool { return fault.AfterRun == afterRun && fault.AfterTokens == 0 }
	if _, ok := f.strikeIf(FaultSilent, r.URL.Path, due); ok {
		silence(r)
	}
	if _, ok := f.strikeIf(FaultCut, r.URL.Path, due); ok {
		cut()
	}
}

func (f *Faults) drawn(share float64) bool {
	if share <= 0 || share >= 1 {
		return true
	}
	if f.random == nil {
		f.random = rand.New(rand.NewPCG(f.Seed, 0))
	}
	return f.random.Float64() < share
}

// first returns the first fault of a kind without taking one of its Times.
func (f *Faults) first(kind FaultKind) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.IndexFunc(f.active, func(fault Fault) bool { return fault.Kind == kind })
	if i < 0 {
		return Fault{}, false
	}
	return f.active[i], true
}

// register adds the operations on faults to an admin handler.
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
				err = fmt.Errorf("no fault has the kind %q", fault.Kind)
			}
		}
		if err != nil {
			writeProblem(w, http.StatusBadRequest, err.Error())
			return
		}
		f.Set(list.Faults...)
		writeJSON(w, http.StatusOK, list)
	})
}
