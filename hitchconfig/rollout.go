package hitchconfig

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Rollout counts how many routers have a revision in force. It is an immutable
// value; the zero value knows of no router.
//
//	rollout = rollout.With(hitchconfig.Report{Instance: peer, Revision: 7, Ready: true, At: now})
//	progress := rollout.Progress(7, live)
type Rollout struct {
	reports []Report // sorted by instance
}

// Report is what a router said of itself.
type Report struct {
	Instance hitchfleet.InstanceID
	Revision uint64
	Ready    bool
	At       time.Time
}

// Progress says how far a revision has come.
type Progress struct {
	Revision uint64
	// InForce is how many of Live have the revision or a later one.
	InForce int
	Live    int
	// Refusing is how many of the others take no new work, so that they can't
	// act on an older revision.
	Refusing int
	// Missing are the live routers that may act on an older revision.
	Missing []hitchfleet.InstanceID
}

// Done tells whether no live router may act on an older revision.
func (p Progress) Done() bool { return p.Live > 0 && len(p.Missing) == 0 }

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

// With returns a copy with a router's report, unless a later one is known.
func (r Rollout) With(report Report) Rollout {
	old, ok := find(r.reports, string(report.Instance), Report.name)
	if !ok || !report.At.Before(old.At) {
		r.reports = put(r.reports, report, Report.name)
	}
	return r
}

// Progress returns how far a revision has come on the live routers. A router
// that leaves the live list is forgotten by Only.
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

// Only returns a copy without the reports of routers that aren't live, so that
// its size follows the fleet's.
func (r Rollout) Only(live []hitchfleet.InstanceID) Rollout {
	r.reports = slices.DeleteFunc(slices.Clone(r.reports), func(report Report) bool {
		return !slices.Contains(live, report.Instance)
	})
	return r
}

func (r Report) name() string { return string(r.Instance) }
