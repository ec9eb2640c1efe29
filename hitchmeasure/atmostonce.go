package hitchmeasure

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"citronhitch.example/citronhitch/hitchclient"
	"citronhitch.example/citronhitch/hitchdev"
	"citronhitch.example/citronhitch/hitchfake"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// Sizes of the load of AtMostOnce.
const (
	bookingWorkers  = 24
	bookingTimeout  = 12 * time.Second
	bookingInterval = 100 * time.Millisecond
)

// bookingTally collects the results of bookings and compares them with the services'
// run records.
type bookingTally struct {
	mu         sync.Mutex
	bookings   int
	ran        int
	notRun     int
	unknown    int
	noResponse int
	mismatched int
	attempts   int
	latency    *hdrhistogram.Histogram
	// notRunAt has the keys that a response reported as not run, with the time of the
	// response. abandoned has those of them that weren't retried. succeededDigests are
	// the digests of the bodies of successful bookings.
	notRunAt         map[string]time.Time
	abandoned        map[string]bool
	succeededDigests []string
	reasons          map[hitchoutcome.Reason]int
}

// AtMostOnce makes bookings while routers are killed and stopped, the key-value
// service fails and services stop responding. Several faults can overlap. It compares
// every response with the services' run records. Value is the number of violations.
func AtMostOnce(ctx context.Context, s Settings) (r Result, err error) {
	s = s.WithDefaults()
	fleet, err := s.startFleet(ctx, s.deployment())
	if err != nil {
		return r, err
	}
	defer stopFleet(ctx, fleet)
	bookings := &bookingTally{
		latency:  hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		notRunAt: make(map[string]time.Time), abandoned: make(map[string]bool), reasons: make(map[hitchoutcome.Reason]int),
	}
	before := fleet.Store().Calls()
	injector := newFaultInjector(fleet, s.Seed)
	loadCtx, stopLoad := context.WithTimeout(ctx, time.Duration(s.Seconds)*time.Second)
	defer stopLoad()
	var group sync.WaitGroup
	group.Go(func() { injector.run(loadCtx) })
	for n := range bookingWorkers {
		group.Go(func() { bookings.runWorker(loadCtx, fleet, n, s) })
	}
	group.Wait()
	calls := fleet.Store().Calls()
	return bookings.result(fleet, injector, storeCalls(calls)-storeCalls(before)), nil
}

// runWorker makes bookings one at a time until ctx is done.
func (bt *bookingTally) runWorker(ctx context.Context, fleet *hitchdev.Fleet, worker int, s Settings) {
	for n := 0; ctx.Err() == nil; n++ {
		body := fmt.Appendf(nil, `{"Worker":%d,"Number":%d,"Seed":%d}`, worker, n, s.Seed)
		bt.book(context.WithoutCancel(ctx), fleet, worker%s.Organisations, body)
		sleepFor(ctx, bookingInterval)
	}
}

func (bt *bookingTally) book(ctx context.Context, fleet *hitchdev.Fleet, organisation int, body []byte) {
	client, d := fleet.Client(organisation), fleet.Deployment
	ctx, cancel := context.WithTimeout(ctx, bookingTimeout)
	defer cancel()
	client.OnNotRun = func(key string, isAbandoned bool) { bt.recordNotRun(fleet.KeyID(key), isAbandoned) }
	start := time.Now()
	booked, err := client.Book(ctx, string(d.ServiceRoute), d.ServicePrefix+"/slots", body)
	bt.addBooking(body, booked, err, time.Since(start))
}

// recordNotRun records that a response reported a key as not run.
func (bt *bookingTally) recordNotRun(key string, isAbandoned bool) {
	bt.mu.Lock()
	defer bt.mu.Unlock()
	bt.notRunAt[key] = time.Now()
	bt.abandoned[key] = bt.abandoned[key] || isAbandoned
}

// contradictsNotRun reports whether a run contradicts a response of not run: the key
// was abandoned, or the run was before the response.
func (bt *bookingTally) contradictsNotRun(run hitchfake.Run) bool {
	at, ok := bt.notRunAt[run.Key]
	return bt.abandoned[run.Key] || ok && run.At.Before(at)
}

func (bt *bookingTally) addBooking(body []byte, booked hitchclient.Booking, err error, took time.Duration) {
	bt.mu.Lock()
	defer bt.mu.Unlock()
	bt.bookings++
	bt.attempts += booked.Attempts
	_ = bt.latency.RecordValue(took.Microseconds())
	var problem *hitchclient.Problem
	switch {
	case err == nil:
		bt.addSuccess(body, booked)
	case errors.As(err, &problem) && problem.Outcome == hitchoutcome.NotRun:
		bt.notRun++
		bt.reasons[problem.Reason]++
	case errors.As(err, &problem):
		bt.unknown++
		bt.reasons[problem.Reason]++
	default:
		bt.noResponse++
	}
}

// addSuccess counts a successful response, or a mismatch if it belongs to another
// booking.
func (bt *bookingTally) addSuccess(body []byte, booked hitchclient.Booking) {
	var run hitchfake.Run
	if err := json.Unmarshal(booked.Body, &run); err != nil || run.Digest != hitchfake.Digest(body) {
		bt.mismatched++
		return
	}
	bt.ran++
	bt.succeededDigests = append(bt.succeededDigests, run.Digest)
}

// result compares the responses with the services' run records.
func (bt *bookingTally) result(fleet *hitchdev.Fleet, injector *faultInjector, calls int) Result {
	runs := make(map[string]int)
	falseNotRun, maxRuns := 0, 0
	for _, host := range fleet.Services() {
		for _, run := range host.Service.Runs() {
			runs[run.Digest]++
			maxRuns = max(maxRuns, runs[run.Digest])
			if bt.contradictsNotRun(run) {
				falseNotRun++
			}
		}
	}
	missingRuns := 0
	for _, digest := range bt.succeededDigests {
		if runs[digest] == 0 {
			missingRuns++
		}
	}
	r := Result{Measure: "AtMostOnce", Table: Table{Columns: []string{
		"Bookings", "Ran", "NotRun", "Unknown", "NoWord", "MostRuns", "FalseNotRun", "Lost", "Crossed", "Tries", "P50Ms", "P99Ms", "StoreCallsPerBooking",
	}}}
	r.Table = r.Table.With(bt.bookings, bt.ran, bt.notRun, bt.unknown, bt.noResponse, maxRuns, falseNotRun, missingRuns, bt.mismatched, bt.attempts,
		millisAt(bt.latency, percentileMedian), millisAt(bt.latency, percentileTail), float64(calls)/float64(max(bt.bookings, 1)))
	r.Value = float64(max(maxRuns-1, 0) + falseNotRun + missingRuns + bt.mismatched + bt.noResponse)
	r.Met = r.Value <= r.Bound && bt.bookings > 0 && bt.ran > 0
	r.Notes = append(injector.notes(), fmt.Sprintf("Reasons=%v", bt.reasons))
	return r
}

func sleepFor(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// storeCalls returns the number of calls to the key-value service. An open watch
// counts as one.
func storeCalls(c hitchfake.StoreCalls) int {
	return c.Range + c.Put + c.Txn + c.DeleteRange + c.LeaseGrant + c.LeaseKeepAlive + c.LeaseRevoke + c.Watch
}
