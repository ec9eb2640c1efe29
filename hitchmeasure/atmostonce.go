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
	bookingWorkers = 24
	bookingLimit   = 12 * time.Second
	bookingPause   = 100 * time.Millisecond
)

// bookingTally checks what became of bookings against the services' records.
type bookingTally struct {
	mu       sync.Mutex
	bookings int
	ran      int
	notRun   int
	unknown  int
	noWord   int
	crossed  int
	tries    int
	latency  *hdrhistogram.Histogram
	// notRun are the keys that an answer called not run, with the time, and
	// abandoned those that were not presented again. ranDigests are the bodies
	// whose booking was answered as run.
	notRunAt   map[string]time.Time
	abandoned  map[string]bool
	ranDigests []string
	reasons    map[hitchoutcome.Reason]int
}

// AtMostOnce makes bookings while routers are killed and stopped, the key-value
// service fails and services go silent, two at a time, and checks every answer
// against the services' own records. Value is the number of broken promises.
func AtMostOnce(ctx context.Context, s Settings) (r Result, err error) {
	s = s.WithDefaults()
	fleet, err := s.startFleet(ctx, s.deployment())
	if err != nil {
		return r, err
	}
	defer stopFleet(ctx, fleet)
	y := &bookingTally{
		latency:  hdrhistogram.New(histogramLeast, histogramMost, histogramDigits),
		notRunAt: make(map[string]time.Time), abandoned: make(map[string]bool), reasons: make(map[hitchoutcome.Reason]int),
	}
	before := fleet.Store().Calls()
	faults := newChaos(fleet, s.Seed)
	chaosCtx, stopChaos := context.WithTimeout(ctx, time.Duration(s.Seconds)*time.Second)
	defer stopChaos()
	var group sync.WaitGroup
	group.Go(func() { faults.run(chaosCtx) })
	for n := range bookingWorkers {
		group.Go(func() { y.bookUntil(chaosCtx, fleet, n, s) })
	}
	group.Wait()
	calls := fleet.Store().Calls()
	return y.result(fleet, faults, storeCalls(calls)-storeCalls(before)), nil
}

// bookUntil makes one booking after the other until ctx is done.
func (y *bookingTally) bookUntil(ctx context.Context, fleet *hitchdev.Fleet, worker int, s Settings) {
	for n := 0; ctx.Err() == nil; n++ {
		body := fmt.Appendf(nil, `{"Worker":%d,"Number":%d,"Seed":%d}`, worker, n, s.Seed)
		y.book(context.WithoutCancel(ctx), fleet, worker%s.Organisations, body)
		pauseFor(ctx, bookingPause)
	}
}

func (y *bookingTally) book(ctx context.Context, fleet *hitchdev.Fleet, organisation int, body []byte) {
	client, d := fleet.Client(organisation), fleet.Deployment
	ctx, cancel := context.WithTimeout(ctx, bookingLimit)
	defer cancel()
	client.OnNotRun = func(key string, isAbandoned bool) { y.sawNotRun(fleet.KeyID(key), isAbandoned) }
	start := time.Now()
	booked, err := client.Book(ctx, string(d.ServiceRoute), d.ServicePrefix+"/slots", body)
	y.add(body, booked, err, time.Since(start))
}

// sawNotRun notes that an answer called a key not run.
func (y *bookingTally) sawNotRun(key string, isAbandoned bool) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.notRunAt[key] = time.Now()
	y.abandoned[key] = y.abandoned[key] || isAbandoned
}

// isFalse tells whether a run belies an answer that said not run.
func (y *bookingTally) isFalse(run hitchfake.Run) bool {
	at, ok := y.notRunAt[run.Key]
	return y.abandoned[run.Key] || ok && run.At.Before(at)
}

func (y *bookingTally) add(body []byte, booked hitchclient.Booking, err error, took time.Duration) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.bookings++
	y.tries += booked.Attempts
	_ = y.latency.RecordValue(took.Microseconds())
	var problem *hitchclient.Problem
	switch {
	case err == nil:
		y.addRan(body, booked)
	case errors.As(err, &problem) && problem.Outcome == hitchoutcome.NotRun:
		y.notRun++
		y.reasons[problem.Reason]++
	case errors.As(err, &problem):
		y.unknown++
		y.reasons[problem.Reason]++
	default:
		y.noWord++
	}
}

// addRan checks that the answer is the one to this booking.
func (y *bookingTally) addRan(body []byte, booked hitchclient.Booking) {
	var run hitchfake.Run
	if err := json.Unmarshal(booked.Body, &run); err != nil || run.Digest != hitchfake.Digest(body) {
		y.crossed++
		return
	}
	y.ran++
	y.ranDigests = append(y.ranDigests, run.Digest)
}

// result compares the answers with the services' records.
func (y *bookingTally) result(fleet *hitchdev.Fleet, faults *chaos, calls int) Result {
	runs := make(map[string]int)
	falseNotRun, most := 0, 0
	for _, host := range fleet.Services() {
		for _, run := range host.Service.Runs() {
			runs[run.Digest]++
			most = max(most, runs[run.Digest])
			if y.isFalse(run) {
				falseNotRun++
			}
		}
	}
	lost := 0
	for _, digest := range y.ranDigests {
		if runs[digest] == 0 {
			lost++
		}
	}
	r := Result{Measure: "AtMostOnce", Table: Table{Columns: []string{
		"Bookings", "Ran", "NotRun", "Unknown", "NoWord", "MostRuns", "FalseNotRun", "Lost", "Crossed", "Tries", "P50Ms", "P99Ms", "StoreCallsPerBooking",
	}}}
	r.Table = r.Table.With(y.bookings, y.ran, y.notRun, y.unknown, y.noWord, most, falseNotRun, lost, y.crossed, y.tries,
		millisAt(y.latency, percentileMedian), millisAt(y.latency, percentileTail), float64(calls)/float64(max(y.bookings, 1)))
	r.Value = float64(max(most-1, 0) + falseNotRun + lost + y.crossed + y.noWord)
	r.Met = r.Value <= r.Bound && y.bookings > 0 && y.ran > 0
	r.Notes = append(faults.notes(), fmt.Sprintf("Reasons=%v", y.reasons))
	return r
}

func pauseFor(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// storeCalls sums the calls of the key-value service. A waiting watch is one.
func storeCalls(c hitchfake.StoreCalls) int {
	return c.Range + c.Put + c.Txn + c.DeleteRange + c.LeaseGrant + c.LeaseKeepAlive + c.LeaseRevoke + c.Watch
}
