package hitchconfig

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Rollout tracks which revision is active on each router. It is an immutable value;
// the zero value has no reports.
//
//	rollout = rollout.WithReport(hitchconfig.Report{Instance: peer, Revision: 7, Ready: true, At: now})
//	progress := rollout.Progress(7, live)
type Rollout struct {
	reports []Report // sorted by instance
}

// Report is a router's report of its active revision.
type Report struct {
	Instance hitchfleet.InstanceID
	Revision uint64
	Ready    bool
	At       time.Time
}

// Progress is the rollout progress of a revision.
type Progress struct {
	Revision uint64
	// InForce is the number of live routers with this revision or a later one.
	InForce int
	Live    int
	// Refusing is the number of other live routers that refuse new requests, so that
	// they can't serve with an older revision.
	Refusing int
	// Missing are the live routers that may still serve with an older revision.
	Missing []hitchfleet.InstanceID
}

// IsComplete reports whether no live router may still serve with an older revision.
func (p Progress) IsComplete() bool { return p.Live > 0 && len(p.Missing) == 0 }

// String returns the progress in one line.
func (p Progress) String() string {
	s := fmt.Sprintf("revision %d in force on %d of %d routers", p.Revision, p.InForce, p.Live)
	if p.Refusing > 0 {
		s += fmt.Sprintf(", %d refuse new work", p.Refusing)
	}
	if len(p.Missing) > 0 {
		s += fmt.Sprintf(", missing: %v", p.Missing)
	}
	return s
}

// WithReport returns a copy with a router's report, unless it has a later one already.
func (r Rollout) WithReport(report Report) Rollout {
	old, ok := find(r.reports, string(report.Instance), Report.name)
	if !ok || !report.At.Before(old.At) {
		r.reports = put(r.reports, report, Report.name)
	}
	return r
}

// Progress returns the progress of a revision on the live routers. It ignores reports
// of other routers; OnlyLive removes them.
func (r Rollout) Progress(revision uint64, live []hitchfleet.InstanceID) Progress {
	p := Progress{Revision: revision, Live: len(live)}
	for _, id := range live {
		report, ok := find(r.reports, string(id), Report.name)
		switch {
		case ok && report.Revision >= revision:
			p.InForce++
		case ok && !report.Ready:
			p.Refusing++
		default:
			p.Missing = append(p.Missing, id)
		}
	}
	slices.SortFunc(p.Missing, cmp.Compare[hitchfleet.InstanceID])
	return p
}

// OnlyLive returns a copy without the reports of routers that aren't live, so that its
// size is bounded by the size of the fleet.
func (r Rollout) OnlyLive(live []hitchfleet.InstanceID) Rollout {
	r.reports = slices.DeleteFunc(slices.Clone(r.reports), func(report Report) bool {
		return !slices.Contains(live, report.Instance)
	})
	return r
}

func (r Report) name() string { return string(r.Instance) }
