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

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchorder"
)

// Limits of calls to engines.
const (
	observeLimit        = 2 * time.Second
	maxEngineBytes      = 1 << 20
	defaultOrderRetryAt = 10 * time.Second
)

// DeadlineHeader tells an engine when the sender of an order gives up.
const DeadlineHeader = "X-Deadline"

// engineClient speaks to engines as the platform does.
type engineClient struct {
	http http.Client
}

// engineReport is the part of an engine's load report that tells what it holds.
type engineReport struct {
	// Versions is nil if the engine doesn't tell.
	Versions []engineVersion
	Adapters []string
	Role     string
	Slots    int
}

type engineVersion struct {
	Name  string
	Ready bool
}

// engineOrder is an order as engines read it.
type engineOrder struct {
	Kind          string
	FencingNumber uint64
	Model         string
	Version       string
	Adapter       string
	Role          string
}

// engineAnswer is an engine's answer to an order that it refuses for its number.
type engineAnswer struct {
	Newest uint64
}

// orderAnswer is what became of an order. newest is the number that fenced it.
type orderAnswer struct {
	hitchorder.Result
	newest uint64
	status int
	err    error
}

// String returns the answer as a line of a log.
func (a orderAnswer) String() string {
	if a.err != nil {
		return a.err.Error()
	}
	return strconv.Itoa(a.status)
}

// observe asks an engine what it holds; ok is false if it doesn't tell.
func (c *engineClient) observe(ctx context.Context, e hitchfleet.Endpoint, now time.Time) (o hitchorder.Observed, ok bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, observeLimit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(e.URL, "/")+"/v1/load", nil)
	if err != nil {
		return o, false, err
	}
	answer, err := c.http.Do(r)
	if err != nil {
		return o, false, err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return o, false, fmt.Errorf("status %d", answer.StatusCode)
	}
	var report engineReport
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxEngineBytes)).Decode(&report); err != nil || report.Versions == nil {
		return o, false, err
	}
	return hitchorder.Observed{
		Endpoint: e.ID, Adapters: report.Adapters, Role: report.Role, Slots: report.Slots, AsOf: now,
		Versions: lo.Map(report.Versions, func(v engineVersion, _ int) hitchorder.HeldVersion {
			return hitchorder.HeldVersion{Name: v.Name, Ready: v.Ready}
		}),
	}, true, nil
}

// orderBody returns an order as engines read it. role is the engine's own.
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

// send sends an order and gives up at its deadline.
func (c *engineClient) send(ctx context.Context, o hitchorder.Order, role string) (a orderAnswer) {
	a.Order = o
	ctx, cancel := context.WithDeadline(ctx, o.Deadline)
	defer cancel()
	data, err := json.Marshal(orderBody(o, role))
	if err != nil {
		a.err = err
		return a
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(o.URL, "/")+"/v1/orders", bytes.NewReader(data))
	if err != nil {
		a.err = err
		return a
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(DeadlineHeader, o.Deadline.UTC().Format(time.RFC3339Nano))
	answer, err := c.http.Do(r)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = answer.Body.Close() }()
	return a.read(answer, time.Now())
}

// read takes the engine's answer.
func (a orderAnswer) read(answer *http.Response, now time.Time) orderAnswer {
	a.status = answer.StatusCode
	switch {
	case a.status == http.StatusOK:
		a.Kind = hitchorder.OrderAccepted
	case a.status == http.StatusConflict:
		var body engineAnswer
		a.err = json.NewDecoder(io.LimitReader(answer.Body, maxEngineBytes)).Decode(&body)
		a.Kind, a.newest = hitchorder.OrderFenced, body.Newest
	case a.status == http.StatusTooManyRequests, a.status == http.StatusServiceUnavailable:
		a.Kind, a.RetryAt = hitchorder.OrderDeferred, now.Add(defaultOrderRetryAt)
		if seconds, err := strconv.Atoi(answer.Header.Get("Retry-After")); err == nil {
			a.RetryAt = now.Add(time.Duration(seconds) * time.Second)
		}
	case a.status < http.StatusInternalServerError:
		a.Kind = hitchorder.OrderRefused
	}
	return a
}
