//go:build review

// Case 2: a hub that stood still while large configurations came in quick succession goes on with
// the old one.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	hitchstandin "citronhitch.example/citronhitch/platform/standin"
	"citronhitch.example/citronhitch/review/harness"
)

// Times and sizes of the case, within the limits that claim.txt quotes.
const (
	freezeTime = 4 * time.Second       // node_freeze: for_s = 4.0
	changes    = 64                    // of the configuration, in the freeze
	changeGap  = 60 * time.Millisecond // config_storm: gap_s = 0.06, for_s = 4.0
	fillers    = 720                   // big_config, twice: count = 360
	contact    = 3 * time.Second       // contactMs
	apply      = 2 * time.Second       // configApplyMs
	judged     = 5 * time.Second       // how long requests are sent after that
	requestGap = 100 * time.Millisecond
	// rounds is how often it is tried, with another hub each time: whether the hub soon reads a
	// snapshot depends on how long the machine takes to read 8 MiB.
	rounds = 4
)

const key = "n2ctnfzs989anu6wsjnb"

// config returns a version of the configuration, whose bookings go to a service.
func config(version int, service string) []byte {
	type object = map[string]any
	route := func(name, prefix, service string, timeout int) object {
		return object{"name": name, "host": "soak.example", "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": timeout, "targetLatencyMs": 300,
			"priority": 1, "service": service, "maxAttempts": 1, "public": false, "sessionAffinity": false, "streamResume": false, "targetGapMs": 0}
	}
	routes := []object{route("booking", "/booking/", service, 3000)}
	for n := range fillers {
		routes = append(routes, route(fmt.Sprintf("r-2yhvz%03d", n), fmt.Sprintf("/lohu%03d/", n), "shop", 3000+version))
	}
	svc := func(name string) object {
		return object{"name": name, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false, "coldS": 0, "coldPerS": 0}
	}
	b, _ := json.Marshal(object{
		"version": version, "routes": routes, "services": []object{svc("shop"), svc("newshop")},
		"limits":  object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []object{{"name": "hule930", "apiKeys": []string{key}, "priority": 1}},
	})
	return b
}

func main() {
	os.Exit(run())
}

func run() int {
	record, err := harness.NewRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer record.Close()
	hasTrouble := os.Getenv("TROUBLE") != "0"
	fleet, err := harness.Start(context.Background(), record, os.Args[1], 4, nil)
	if fleet != nil {
		defer fleet.Stop()
		defer fleet.SaveLogs(os.Getenv("LOGS"))
	}
	if err != nil {
		record.Say("can't start: %v", err)
		return 2
	}
	var runs hitchstandin.RunLog
	for n, service := range []string{"shop", "newshop"} {
		e := &hitchstandin.Endpoint{ID: fmt.Sprintf("i-%d", n), Service: service, Zone: harness.Zone(n), Version: "v1", RunLog: &runs}
		if e.Addr, err = fleet.Serve("127.0.0.1:0", e); err != nil {
			record.Say("can't start: %v", err)
			return 2
		}
		fleet.Store.Put(e.Key(), e.Entry("ready"))
	}
	version := 7
	put := func(service string) time.Time {
		value := config(version, service)
		fleet.Store.Put("op/config", value)
		now := time.Now()
		record.Printf("operator: version %d confirmed, bookings go to %s, %d bytes", version, service, len(value))
		version += 3
		return now
	}
	put("shop")
	if err := fleet.StartInstances(); err != nil {
		record.Say("can't start: %v", err)
		return 2
	}
	time.Sleep(4 * time.Second)
	sent := 0
	send := func(i *harness.Instance) (status int, service string, sentAt time.Time) {
		sent++
		id := fmt.Sprintf("%016x", 0x1c41000000000000+sent)
		c, err := net.DialTimeout("tcp", i.Front(), time.Second)
		if err != nil {
			record.Printf("client: %s at %s: %v", id, i.Name, err)
			return 0, "", time.Now()
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(3 * time.Second))
		r, _ := http.NewRequest(http.MethodPost, "http://soak.example/booking/2f", nil)
		r.Header.Set("X-Attempt-Id", id)
		r.Header.Set("X-Time-Budget-Ms", "3000")
		r.Header.Set("Api-Key", key)
		sentAt = time.Now()
		status, _, _, err = harness.Exchange(c, bufio.NewReader(c), r)
		for _, x := range runs.Runs(id) {
			service = x.Service
		}
		record.Printf("client: %s at %s: status %d, run by %q, %v", id, i.Name, status, service, err)
		return status, service, sentAt
	}
	for _, i := range fleet.Instances {
		if status, service, _ := send(i); status != http.StatusOK || service != "shop" {
			record.Say("the deployment doesn't serve: status %d", status)
			return 2
		}
	}
	from, to := "shop", "newshop"
	for round := range rounds {
		var hub *harness.Instance
		for k := range fleet.Instances {
			if i := fleet.Instances[(k+round)%len(fleet.Instances)]; i.IsHub() {
				hub = i
				break
			}
		}
		if hub == nil {
			record.Say("no instance says that it is a hub")
			return 2
		}
		frozenAt := time.Now()
		if hasTrouble {
			hub.Signal(syscall.SIGSTOP)
			record.Printf("%s, a hub, stands still", hub.Name)
		}
		var confirmedAt time.Time
		for n := range changes {
			time.Sleep(changeGap)
			service := from
			if n == changes-1 {
				service = to
			}
			confirmedAt = put(service)
		}
		time.Sleep(time.Until(frozenAt.Add(freezeTime)))
		if hasTrouble {
			hub.Signal(syscall.SIGCONT)
			record.Printf("%s goes on", hub.Name)
		}
		begin := time.Now().Add(contact)
		if bound := confirmedAt.Add(apply); bound.After(begin) {
			begin = bound
		}
		time.Sleep(time.Until(begin))
		total, broken := 0, make(map[string]int)
		for end := time.Now().Add(judged); time.Now().Before(end); time.Sleep(requestGap) {
			for _, i := range fleet.Instances {
				if _, service, sentAt := send(i); service == from && sentAt.After(begin) {
					broken[i.Name]++
					record.Printf("broken: %s, %.1f s after the confirmation", i.Name, sentAt.Sub(confirmedAt).Seconds())
				}
				total++
			}
		}
		record.Say("round %d, hub %s, frozen: %v: of %d requests sent %v after the confirmation and %v after the freeze, run by the old service: %v", round+1, hub.Name, hasTrouble, total, apply, contact, broken)
		if len(broken) > 0 {
			return 1
		}
		from, to = to, from
		time.Sleep(contact)
	}
	return 0
}
