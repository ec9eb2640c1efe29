//go:build review

// Case 3: the operator takes the only tenant out of the config. Its list of tenants is empty then, so
// that no key is known. Requests with the dropped key, with a key that no config held, and without a
// key are sent to each machine; none may run.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"citronhitch.example/citronhitch/platform/standin"
	"citronhitch.example/citronhitch/review/harness"
)

const (
	heldKey  = "kustakvariet-key-1"
	neverKey = "key-that-no-config-ever-held"
	// configApply is the bound configApplyMs.
	configApply = 2 * time.Second
)

type m = map[string]any

// config returns the operator's config. tenants is left as it is: an empty list stays in the config.
func config(version, timeoutMs int, tenants []m) []byte {
	b, _ := json.Marshal(m{
		"version": version,
		"routes": []m{
			{"name": "ticket-booking", "host": "tickets.example", "pathPrefix": "/booking/", "kind": "non_idempotent", "service": "boxoffice-api", "timeoutMs": timeoutMs, "targetLatencyMs": 150, "maxAttempts": 1},
			{"name": "slot-lookup", "host": "tickets.example", "pathPrefix": "/lookup/", "kind": "idempotent", "service": "boxoffice-api", "timeoutMs": timeoutMs, "targetLatencyMs": 150, "maxAttempts": 2},
		},
		"services": []m{{"name": "boxoffice-api", "maxConnections": 110}},
		"limits":   m{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},
		"tenants":  tenants,
	})
	return b
}

func main() {
	os.Exit(run())
}

type caller struct {
	fleet   *harness.Fleet
	log     *hitchstandin.RunLog
	counter int
}

// send sends a request with a key to an instance, and returns the status and whether it has run.
func (c *caller) send(i *harness.Instance, path, key string) (status int, hasRun bool, err error) {
	c.counter++
	id := fmt.Sprintf("%016x", c.counter)
	nc, err := net.DialTimeout("tcp", i.Front(), time.Second)
	if err != nil {
		return 0, false, err
	}
	defer func() { _ = nc.Close() }()
	_ = nc.SetDeadline(time.Now().Add(3 * time.Second))
	r, _ := http.NewRequest(http.MethodGet, "http://tickets.example"+path+id, nil)
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Time-Budget-Ms", "1000")
	if key != "" {
		r.Header.Set("Api-Key", key)
	}
	status, _, body, err := harness.Exchange(nc, bufio.NewReader(nc), r)
	runs := c.log.Runs(id)
	c.fleet.Record.Printf("sent to %s: %s key %q: answered %d, error %v, %d bytes %.40q; runs %+v", i.Name, path+id, key, status, err, len(body), body, runs)
	return status, len(runs) > 0, err
}

func run() int {
	isTrouble := os.Getenv("TROUBLE") != "0"
	record, err := harness.NewRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer record.Close()
	fleet, err := harness.Start(context.Background(), record, os.Args[1], 3, nil)
	if err != nil {
		record.Say("can't run: %v", err)
		return 2
	}
	defer fleet.Stop()
	log := &hitchstandin.RunLog{}
	for k := range 3 {
		e := &hitchstandin.Endpoint{ID: fmt.Sprintf("i-%d", k), Service: "boxoffice-api", Zone: harness.Zone(k), Version: "v1", RunLog: log}
		if e.Addr, err = fleet.Serve("127.0.0.1:0", e); err != nil {
			record.Say("can't run: %v", err)
			return 2
		}
		fleet.Store.Put(e.Key(), e.Entry("ready"))
	}
	tenants := []m{{"name": "kustakvariet", "apiKeys": []string{heldKey}}}
	fleet.Store.Put("op/config", config(3, 1000, tenants))
	if err := fleet.StartInstances(); err != nil {
		record.Say("can't run: %v", err)
		return 2
	}
	c := &caller{fleet: fleet, log: log}
	for _, i := range fleet.Instances {
		for key, want := range map[string]int{heldKey: 200, neverKey: 401, "": 401} {
			if status, _, err := c.send(i, "/lookup/", key); status != want {
				record.Say("can't run: before the change, key %q at %s: status %d, error %v", key, i.Name, status, err)
				return 2
			}
		}
	}
	if isTrouble {
		record.Say("the operator writes version 8: the only tenant is taken out, tenants is []")
		fleet.Store.Put("op/config", config(8, 1000, []m{}))
	} else {
		record.Say("the operator writes version 8: another timeout, the tenant stays")
		fleet.Store.Put("op/config", config(8, 900, tenants))
	}
	time.Sleep(configApply + time.Second)
	ran := make(map[string]int)
	for range 5 {
		for _, i := range fleet.Instances {
			for _, path := range []string{"/lookup/", "/booking/"} {
				for _, key := range []string{heldKey, neverKey, ""} {
					_, hasRun, err := c.send(i, path, key)
					if err != nil {
						record.Say("can't run: %v", err)
						return 2
					}
					if hasRun {
						ran[key]++
					}
				}
			}
		}
	}
	record.Say("of 30 requests each, have run: %d with the dropped key, %d with a key that no config held, %d without a key", ran[heldKey], ran[neverKey], ran[""])
	allowed := 0
	if !isTrouble {
		allowed = 30
	}
	if ran[neverKey] > 0 || ran[""] > 0 || ran[heldKey] > allowed {
		record.Say("ROUTE is broken: requests have run whose key no config ever held")
		return 1
	}
	if ran[heldKey] < allowed {
		record.Say("can't run: proper requests weren't served")
		return 2
	}
	record.Say("the rule held")
	return 0
}
