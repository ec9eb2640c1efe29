package hitchclaim

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"
)

// benchKey returns a key that differs by n.
func benchKey(key Key, n int) Key {
	binary.BigEndian.PutUint64(key.Nonce[8:], uint64(n))
	return key
}

func BenchmarkBeginFinish(b *testing.B) {
	h := &Home{Self: homeA, Capacity: 1 << 30}
	call := callOf(b, 0, JournalRequired)
	answer := Result{Status: 201}
	b.ReportAllocs()
	for n := range b.N {
		call.Key = benchKey(call.Key, n)
		d := h.Begin(start, call)
		d = h.Journaled(start, d.Run, true)
		h.Finish(start, d.Run, answer)
	}
}

func BenchmarkReplay(b *testing.B) {
	h := &Home{Self: homeA}
	call := callOf(b, 0, JournalRequired)
	h.Finish(start, dispatched(b, h, call), ticket())
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			h.Begin(start, call)
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

// BenchmarkJournal runs one home's journal for ten minutes of bookings at an even
// rate, each of 300 ms, against a store that answers in 4 ms.
func BenchmarkJournal(b *testing.B) {
	for _, size := range []struct{ homes, perMinute int }{
		{3, 6}, {3, 600}, {36, 6}, {36, 60}, {36, 240}, {36, 1200}, {36, 6000}, {108, 240},
	} {
		b.Run(fmt.Sprintf("homes=%d/bookings=%d-per-minute", size.homes, size.perMinute), func(b *testing.B) {
			for b.Loop() {
				runLoad(size.homes, size.perMinute).report(b)
			}
		})
	}
}

// load is what a journal's run costs.
type load struct {
	store     *fakeStore
	bookings  int
	waited    time.Duration
	longest   time.Duration
	peakBytes int
}

const loadTime = 10 * time.Minute

func runLoad(homes, perMinute int) load {
	l := load{store: newFakeStore()}
	journal := &Journal{Self: HomeID{Instance: "router-117", Incarnation: NewIncarnation(start, 0)}}
	journal.SetHomes(homes)
	asked := make(map[Run]time.Time)
	var calls []StoreCommand
	var over []Record
	took := func(now time.Time, step JournalStep) {
		calls = append(calls, step.Commands...)
		for _, run := range step.Committed {
			l.waited += now.Sub(asked[run])
			l.longest = max(l.longest, now.Sub(asked[run]))
		}
	}
	spacing := time.Minute / time.Duration(perMinute)
	nextBooking := start
	for now := start; now.Before(start.Add(loadTime)); now = now.Add(4 * time.Millisecond) {
		for pending := calls; len(pending) > 0; pending = pending[1:] {
			calls = calls[1:]
			took(now, journal.Stored(now, l.store.apply(pending[0])))
		}
		for ; !now.Before(nextBooking); nextBooking = nextBooking.Add(spacing) {
			l.bookings++
			record := Record{
				Run:          Run{Key: KeyID{byte(l.bookings), byte(l.bookings >> 8), byte(l.bookings >> 16)}, Number: uint64(l.bookings)},
				Organisation: "aquarium-07", Route: "boxoffice-api", Deadline: now.Add(KeyLife),
			}
			asked[record.Run] = now
			over = append(over, record)
			took(now, journal.Put(now, record))
		}
		for len(over) > 0 && !now.Before(asked[over[0].Run].Add(300*time.Millisecond)) {
			took(now, journal.Put(now, over[0].WithResult(Result{Status: 201, Body: make([]byte, 64)})))
			over = over[1:]
		}
		took(now, journal.Tick(now))
	}
	for _, value := range l.store.values {
		l.peakBytes += len(value.Value)
	}
	return l
}

func (l load) report(b *testing.B) {
	seconds := loadTime.Seconds()
	b.ReportMetric(float64(l.store.writes)/float64(l.bookings), "writes/booking")
	b.ReportMetric(float64(l.store.writes)/seconds, "writes/s")
	b.ReportMetric(float64(l.store.bytes)/seconds, "bytes/s")
	b.ReportMetric(float64(l.peakBytes), "stored-bytes")
	b.ReportMetric(float64(l.waited.Milliseconds())/float64(l.bookings), "wait-ms")
	b.ReportMetric(float64(l.longest.Milliseconds()), "longest-ms")
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
