package hitchnode

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchconn"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchforward"
	"citronhitch.example/citronhitch/hitchorder"
)

// Timeouts and limits of calls to engines.
const (
	observeTimeout         = 2 * time.Second
	maxEngineResponseBytes = 1 << 20
	defaultOrderRetryDelay = 10 * time.Second
)

// DeadlineHeader is the header of an order with the time when its sender gives up.
const DeadlineHeader = "X-Deadline"

// engineClient calls engines by the platform's protocol. The zero value opens a connection for each
// call: responses don't name their call, and bytes that belong to none may arrive on a kept one.
type engineClient struct {
	http http.Client
}

// unkeptConns opens a connection for each call.
var unkeptConns = newUnkeptConns()

func newUnkeptConns() hitchconn.Transport {
	t := hitchforward.NewTransport()
	t.DisableKeepAlives = true
	return t
}

// do makes a call.
func (c *engineClient) do(r *http.Request) (*http.Response, error) {
	client := c.http
	if client.Transport == nil {
		client.Transport = unkeptConns
	}
	return client.Do(r)
}

// engineReport is the part of an engine's load report that lists the versions,
// adapters and role that it has.
type engineReport struct {
	// Versions is nil if the engine doesn't report it.
	Versions []engineVersion
	Adapters []string
	Role     string
	Slots    int
}

type engineVersion struct {
	Name  string
	Ready bool
}

// engineOrder is an order in the encoding that engines read.
type engineOrder struct {
	Kind          string
	FencingNumber uint64
	Model         string
	Version       string
	Adapter       string
	Role          string
}

// engineRejection is the response of an engine that rejects an order for its outdated
// fencing number.
type engineRejection struct {
	Newest uint64
}

// orderResult is the result of an order. If the engine rejected the order as outdated,
// highestNumber is the highest fencing number that it has received.
type orderResult struct {
	hitchorder.Result
	highestNumber uint64
	status        int
	err           error
}

// String formats the result for logs.
func (r orderResult) String() string {
	if r.err != nil {
		return r.err.Error()
	}
	return strconv.Itoa(r.status)
}

// observe requests an engine's state; ok is false if the engine doesn't report it.
func (c *engineClient) observe(ctx context.Context, e hitchfleet.Endpoint, now time.Time) (o hitchorder.Observed, ok bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(e.URL, "/")+"/v1/load", nil)
	if err != nil {
		return o, false, err
	}
	response, err := c.do(r)
	if err != nil {
		return o, false, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return o, false, fmt.Errorf("status %d", response.StatusCode)
	}
	var report engineReport
	if err := json.NewDecoder(io.LimitReader(response.Body, maxEngineResponseBytes)).Decode(&report); err != nil || report.Versions == nil {
		return o, false, err
	}
	return hitchorder.Observed{
		Endpoint: e.ID, Adapters: report.Adapters, Role: report.Role, Slots: report.Slots, AsOf: now,
		Versions: lo.Map(report.Versions, func(v engineVersion, _ int) hitchorder.HeldVersion {
			return hitchorder.HeldVersion{Name: v.Name, Ready: v.Ready}
		}),
	}, true, nil
}

// orderBody converts an order to the encoding that engines read. role is the engine's
// current role.
func orderBody(o hitchorder.Order, role string) engineOrder {
	body := engineOrder{FencingNumber: o.Number, Model: string(o.Route)}
	switch o.Kind {
	case hitchorder.LoadVersion:
		body.Kind, body.Version = "Load", o.Name
	case hitchorder.UnloadVersion:
		body.Kind, body.Version = "Unload", o.Name
	case hitchorder.LoadAdapter:
		body.Kind, body.Adapter = "Load", o.Name
	case hitchorder.UnloadAdapter:
		body.Kind, body.Adapter = "Unload", o.Name
	case hitchorder.ChangeRole:
		body.Kind, body.Role = "Role", o.Name
	case hitchorder.SetNumber:
		body.Kind, body.Role = "Role", role
	}
	return body
}

// send sends an order, and gives up at its deadline.
func (c *engineClient) send(ctx context.Context, o hitchorder.Order, role string) (result orderResult) {
	result.Order = o
	ctx, cancel := context.WithDeadline(ctx, o.Deadline)
	defer cancel()
	data, err := json.Marshal(orderBody(o, role))
	if err != nil {
		result.err = err
		return result
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(o.URL, "/")+"/v1/orders", bytes.NewReader(data))
	if err != nil {
		result.err = err
		return result
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(DeadlineHeader, o.Deadline.UTC().Format(time.RFC3339Nano))
	response, err := c.do(r)
	if err != nil {
		result.err = err
		return result
	}
	defer func() { _ = response.Body.Close() }()
	return result.withResponse(response, time.Now())
}

// withResponse returns the result with the status and body of the engine's response.
func (r orderResult) withResponse(response *http.Response, now time.Time) orderResult {
	r.status = response.StatusCode
	switch {
	case r.status == http.StatusOK:
		r.Kind = hitchorder.OrderAccepted
	case r.status == http.StatusConflict:
		var body engineRejection
		r.err = json.NewDecoder(io.LimitReader(response.Body, maxEngineResponseBytes)).Decode(&body)
		r.Kind, r.highestNumber = hitchorder.OrderFenced, body.Newest
	case r.status == http.StatusTooManyRequests, r.status == http.StatusServiceUnavailable:
		r.Kind, r.RetryAt = hitchorder.OrderDeferred, now.Add(defaultOrderRetryDelay)
		if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
			r.RetryAt = now.Add(time.Duration(seconds) * time.Second)
		}
	case r.status < http.StatusInternalServerError:
		r.Kind = hitchorder.OrderRefused
	}
	return r
}
