package hitchclaim

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"
)

// keyWithNonce returns a copy of the key whose nonce contains n.
func keyWithNonce(key Key, n int) Key {
	binary.BigEndian.PutUint64(key.Nonce[8:], uint64(n))
	return key
}

func BenchmarkBeginFinish(b *testing.B) {
	h := &Home{Self: homeA, Capacity: 1 << 30}
	call := newCall(b, 0, JournalRequired)
	response := Result{Status: 201}
	b.ReportAllocs()
	for n := range b.N {
		call.Key = keyWithNonce(call.Key, n)
		d := h.BeginCall(start, call)
		d = h.AuthorizeDispatch(start, d.Run, true)
		h.FinishRun(start, d.Run, response)
	}
}

func BenchmarkReplay(b *testing.B) {
	h := &Home{Self: homeA}
	call := newCall(b, 0, JournalRequired)
	h.FinishRun(start, dispatchCall(b, h, call), ticketResult())
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			h.BeginCall(start, call)
		}
	})
}

func BenchmarkParse(b *testing.B) {
	minter := testMinter()
	text, _, _ := minter.Mint(start, homeA, "aquarium", "booking")
	b.ReportAllocs()
	for b.Loop() {
		_, _ = minter.Secrets.Parse(text)
	}
}

// BenchmarkJournal simulates ten minutes of one home's journal. Bookings arrive at an
// even rate and take 300 ms each, and the store responds in 4 ms.
func BenchmarkJournal(b *testing.B) {
	for _, size := range []struct{ homes, perMinute int }{
		{3, 6}, {3, 600}, {36, 6}, {36, 60}, {36, 240}, {36, 1200}, {36, 6000}, {108, 240},
	} {
		b.Run(fmt.Sprintf("homes=%d/bookings=%d-per-minute", size.homes, size.perMinute), func(b *testing.B) {
			for b.Loop() {
				simulateLoad(size.homes, size.perMinute).reportMetrics(b)
			}
		})
	}
}

// loadResult holds the costs measured by simulateLoad.
type loadResult struct {
	store       *fakeStore
	bookings    int
	totalWait   time.Duration
	longestWait time.Duration
	peakBytes   int
}

const loadDuration = 10 * time.Minute

func simulateLoad(homes, perMinute int) loadResult {
	result := loadResult{store: newFakeStore()}
	journal := &Journal{Self: HomeID{Instance: "router-117", Incarnation: NewIncarnation(start, 0)}}
	journal.SetHomes(homes)
	queuedAt := make(map[Run]time.Time)
	var commands []StoreCommand
	var running []Record
	handleStep := func(now time.Time, step JournalStep) {
		commands = append(commands, step.Commands...)
		for _, run := range step.Committed {
			result.totalWait += now.Sub(queuedAt[run])
			result.longestWait = max(result.longestWait, now.Sub(queuedAt[run]))
		}
	}
	spacing := time.Minute / time.Duration(perMinute)
	nextBooking := start
	for now := start; now.Before(start.Add(loadDuration)); now = now.Add(4 * time.Millisecond) {
		for pending := commands; len(pending) > 0; pending = pending[1:] {
			commands = commands[1:]
			handleStep(now, journal.HandleStoreResponse(now, result.store.apply(pending[0])))
		}
		for ; !now.Before(nextBooking); nextBooking = nextBooking.Add(spacing) {
			result.bookings++
			record := Record{
				Run:          Run{Key: KeyID{byte(result.bookings), byte(result.bookings >> 8), byte(result.bookings >> 16)}, Number: uint64(result.bookings)},
				Organisation: "aquarium-07", Route: "boxoffice-api", Deadline: now.Add(KeyTTL),
			}
			queuedAt[record.Run] = now
			running = append(running, record)
			handleStep(now, journal.PutRecord(now, record))
		}
		for len(running) > 0 && !now.Before(queuedAt[running[0].Run].Add(300*time.Millisecond)) {
			handleStep(now, journal.PutRecord(now, running[0].WithResult(Result{Status: 201, Body: make([]byte, 64)})))
			running = running[1:]
		}
		handleStep(now, journal.Tick(now))
	}
	for _, value := range result.store.values {
		result.peakBytes += len(value.Value)
	}
	return result
}

func (r loadResult) reportMetrics(b *testing.B) {
	seconds := loadDuration.Seconds()
	b.ReportMetric(float64(r.store.writes)/float64(r.bookings), "writes/booking")
	b.ReportMetric(float64(r.store.writes)/seconds, "writes/s")
	b.ReportMetric(float64(r.store.bytesWritten)/seconds, "bytes/s")
	b.ReportMetric(float64(r.peakBytes), "stored-bytes")
	b.ReportMetric(float64(r.totalWait.Milliseconds())/float64(r.bookings), "wait-ms")
	b.ReportMetric(float64(r.longestWait.Milliseconds()), "longest-ms")
}

func BenchmarkSegmentEncode(b *testing.B) {
	for _, records := range []int{16, 64, 512} {
		b.Run(fmt.Sprint("records=", records), func(b *testing.B) {
			s := Segment{Home: homeA}
			for n := range records {
				s.Records = append(s.Records, Record{
					Run: Run{Key: KeyID{byte(n)}, Number: uint64(n)}, Organisation: "aquarium-07", Route: "boxoffice-api", Deadline: start,
				})
			}
			b.ReportAllocs()
			for b.Loop() {
				b.ReportMetric(float64(len(s.Encode())), "value-bytes")
			}
		})
	}
}
