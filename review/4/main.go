//go:build review

// Case 4: one machine is cut off from the store for some seconds. Meanwhile a replica becomes cold,
// which changes its entry, and then leaves: its entry is removed. The machine learns of the removal from the
// other machines. Once the cut is over, the store's answer to its watch arrives, which was held up
// and says that the replica is ready.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	hitchstandin "citronhitch.example/citronhitch/platform/standin"
	"citronhitch.example/citronhitch/review/harness"
)

const (
	drainMs   = 2000 * time.Millisecond
	contactMs = 3000 * time.Millisecond
	cutFor    = 2900 * time.Millisecond
	// coldAfter is when in the cut the replica becomes cold, for coldS, and leaveAfter how much later
	// it leaves.
	coldAfter  = 300 * time.Millisecond
	leaveAfter = 700 * time.Millisecond
	coldS      = 3 * time.Second
	// serveFor is how long the leaving replica serves after its removal, and workTime how long a
	// booking takes.
	serveFor = 11 * time.Second
	workTime = 150 * time.Millisecond
	clients  = 6 // of each machine
)

func main() {
	code, err := run()
	if err != nil {
		fmt.Println("could not run:", err)
		code = 2
	}
	os.Exit(code)
}

// entry returns the entry of a replica that is ready and stays cold for a time. An entry of which
// nothing but its sequence would change isn't written again.
func entry(e *hitchstandin.Endpoint, cold time.Duration) []byte {
	b, _ := json.Marshal(map[string]any{
		"service": e.Service, "address": e.Addr, "zone": e.Zone, "version": "v1", "slots": 16, "state": "ready",
		"coldRemainingMs": cold.Milliseconds(), "sequence": sequence.Add(1), "born": born,
	})
	return b
}

var (
	sequence atomic.Int64
	born     = time.Now().UnixMilli()
)

type arrival struct {
	replica, attempt string
	at               time.Time
}

func run() (int, error) {
	trouble := os.Getenv("TROUBLE") != "0"
	record, err := harness.NewRecord(os.Args[2])
	if err != nil {
		return 2, err
	}
	defer record.Close()
	f, err := harness.Start(context.Background(), record, os.Args[1], 3, nil)
	if f != nil {
		defer f.Stop()
		defer func() { f.SaveLogs(os.Getenv("LOGS")) }()
	}
	if err != nil {
		return 2, err
	}
	f.Store.Put("op/config", hitchstandin.Config(1, []string{"key-0"}, hitchstandin.Variation{}))
	var mu sync.Mutex
	var arrivals []arrival
	var runLog hitchstandin.RunLog
	replicas, ends := make([]*hitchstandin.Endpoint, 4), make([]func(), 4)
	for n := range replicas {
		e := &hitchstandin.Endpoint{ID: fmt.Sprintf("i-%d", n), Service: "shop", Zone: harness.Zone(n), RunLog: &runLog}
		addr, end, err := f.ServeUntil("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if a := r.Header.Get("X-Attempt-Id"); a != "" {
				mu.Lock()
				arrivals = append(arrivals, arrival{e.ID, a, time.Now()})
				mu.Unlock()
				record.Printf("request %s reaches replica %s", a, e.ID)
				time.Sleep(workTime)
			}
			e.ServeHTTP(w, r)
		}))
		ends[n] = end
		if err != nil {
			return 2, err
		}
		e.Addr = addr
		replicas[n] = e
		f.Store.Put(e.Key(), entry(e, 0))
	}
	if err := f.StartInstances(); err != nil {
		return 2, err
	}
	time.Sleep(3 * time.Second)
	// Clients: each sends lookups to one instance.
	clientCtx, stopClients := context.WithCancel(context.Background())
	defer stopClients()
	var wg sync.WaitGroup
	var sentMu sync.Mutex
	type sent struct {
		instance int
		at       time.Time
	}
	sentBy, failed := map[string]sent{}, map[string]bool{}
	for n, i := range f.Instances {
		for c := range clients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{}}
				for k := 0; clientCtx.Err() == nil; k++ {
					id := fmt.Sprintf("%d%d%08x", n, c, k)
					r, _ := http.NewRequest(http.MethodPost, "http://"+i.Front()+"/booking/x", strings.NewReader("b"))
					r.Host = "soak.example"
					r.Header.Set("X-Attempt-Id", id)
					r.Header.Set("X-Time-Budget-Ms", "2000")
					r.Header.Set("Api-Key", "key-0")
					sentMu.Lock()
					sentBy[id] = sent{n, time.Now()}
					sentMu.Unlock()
					record.Printf("client sends %s to %s", id, i.Name)
					res, err := client.Do(r)
					if err != nil {
						record.Printf("client of %s: no answer: %v", id, err)
					} else {
						_, _ = io.Copy(io.Discard, res.Body)
						_ = res.Body.Close()
						record.Printf("client of %s: %d", id, res.StatusCode)
					}
					if err != nil || res.StatusCode != http.StatusOK {
						sentMu.Lock()
						failed[id] = true
						sentMu.Unlock()
					}
					time.Sleep(60 * time.Millisecond)
				}
			}()
		}
	}
	time.Sleep(2 * time.Second)
	hub := 0
	for n, i := range f.Instances {
		if i.IsHub() {
			hub = n
			break
		}
	}
	h := f.Instances[hub]
	record.Say("the machine that is cut off is %s (IsHub=%v)", h.Name, h.IsHub())
	cutAt := time.Now()
	if trouble {
		h.Store.Pause()
		record.Say("%s is cut off from the store", h.Name)
	}
	time.Sleep(coldAfter)
	f.Store.Put(replicas[0].Key(), entry(replicas[0], coldS))
	record.Say("replica i-0 becomes cold: its entry changes")
	time.Sleep(leaveAfter)
	f.Store.Delete(replicas[0].Key())
	removedAt := time.Now()
	record.Say("the entry of replica i-0 is removed; it serves for %s more", serveFor)
	time.Sleep(time.Until(cutAt.Add(cutFor)))
	if trouble {
		h.Store.Resume()
		record.Say("%s reaches the store again after %s", h.Name, time.Since(cutAt).Round(time.Millisecond))
	}
	healedAt := time.Now()
	time.Sleep(time.Until(removedAt.Add(serveFor)))
	ends[0]()
	record.Say("replica i-0 ends")
	time.Sleep(500 * time.Millisecond)
	stopClients()
	wg.Wait()
	inTouchAt := healedAt.Add(contactMs)
	late, lost := map[int]int{}, 0
	mu.Lock()
	for _, a := range arrivals {
		s := sentBy[a.attempt]
		if a.replica != "i-0" || a.at.Before(removedAt.Add(drainMs)) {
			continue
		}
		if s.instance == hub && s.at.Before(inTouchAt) {
			continue
		}
		late[s.instance]++
		if failed[a.attempt] {
			lost++
		}
	}
	mu.Unlock()
	total := 0
	for n, i := range f.Instances {
		record.Say("%s: %d requests reached i-0 later than drainMs after its removal, while in touch", i.Name, late[n])
		total += late[n]
	}
	record.Say("%d of these bookings had reached i-0 and have no answer", lost)
	if total > 0 {
		record.Say("DRAIN is broken")
		return 1, nil
	}
	record.Say("DRAIN held")
	return 0, nil
}
