package hitchdigest

import (
	"slices"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchrecent"
)

// Unlisted tracks the instances that report to a hub although its view doesn't list
// them: those that have just started, and those that are stopping and still have
// requests in flight. They need digests like all others. The zero value is ready to
// use. Its methods are safe for concurrent use.
type Unlisted struct {
	mu      sync.Mutex
	reports map[hitchfleet.InstanceID]unlistedReport
}

// unlistedReport is the time of an instance's last report and the address that it came
// from.
type unlistedReport struct {
	at   time.Time
	addr string
}

// RecordReport records a report that came from an address.
func (u *Unlisted) RecordReport(now time.Time, id hitchfleet.InstanceID, addr string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.reports == nil {
		u.reports = make(map[hitchfleet.InstanceID]unlistedReport)
	}
	isOld := func(_ hitchfleet.InstanceID, r unlistedReport) bool { return now.Sub(r.at) >= reportTTL }
	if _, ok := u.reports[id]; ok || hitchrecent.HasRoom(u.reports, maxInstances, isOld) {
		u.reports[id] = unlistedReport{at: now, addr: addr}
	}
}

// Instances returns the instances that reported within reportTTL and aren't listed, with
// their IDs and datagram addresses only.
func (u *Unlisted) Instances(now time.Time, listed []hitchfleet.Instance) []hitchfleet.Instance {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []hitchfleet.Instance
	for id, report := range u.reports {
		isListed := slices.ContainsFunc(listed, func(i hitchfleet.Instance) bool { return i.ID == id })
		switch {
		case now.Sub(report.at) >= reportTTL || isListed:
			delete(u.reports, id)
		default:
			out = append(out, hitchfleet.Instance{ID: id, DatagramAddr: report.addr})
		}
	}
	return out
}
