// Package hitchmeasure measures whether a fleet meets its guarantees. It runs real
// routers and stand-ins in one process, generates a load of chats and bookings, and
// compares the results with baselines in the same run.
//
//	result, err := hitchmeasure.Reuse(ctx, hitchmeasure.Settings{Seed: 1})
//	fmt.Print(result.Text())
package hitchmeasure

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/hashicorp/go-hclog"

	"citronhitch.example/citronhitch/hitchdev"
)

// Settings are the sizes of a measurement. Zero fields default to the sizes of the
// deployment hitchdev.Kustakvariet and to the constants below.
type Settings struct {
	Seed          uint64
	Routers       int
	Engines       int
	Zones         int
	Organisations int
	Chats         int
	// Seconds is how long the load lasts.
	Seconds int
	Log     hclog.Logger
}

// Defaults of Settings.
const (
	defaultSeed    = 20261203
	defaultChats   = 400
	defaultSeconds = 20
)

// WithDefaults returns a copy with the defaults in place of zero fields.
func (s Settings) WithDefaults() Settings {
	d := hitchdev.Kustakvariet()
	s.Seed = orDefault(s.Seed, defaultSeed)
	s.Routers = orDefault(s.Routers, d.Routers)
	s.Engines = orDefault(s.Engines, d.Engines)
	s.Zones = orDefault(s.Zones, len(d.Zones))
	s.Organisations = orDefault(s.Organisations, d.Organisations)
	s.Chats = orDefault(s.Chats, defaultChats)
	s.Seconds = orDefault(s.Seconds, defaultSeconds)
	return s
}

func orDefault[T int | uint64](v, otherwise T) T {
	if v == 0 {
		return otherwise
	}
	return v
}

// Result is the outcome of a measurement.
type Result struct {
	Measure string
	// Value is compared with Bound. Met reports whether the guarantee was met.
	Value float64
	Bound float64
	Met   bool
	Table Table
	// Notes are lines below the table.
	Notes []string
}

// Table holds the figures of a measurement.
type Table struct {
	Columns []string
	Rows    [][]string
}

// With returns the table with one more row.
func (t Table) With(cells ...any) Table {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = cellText(cell)
	}
	t.Rows = append(t.Rows[:len(t.Rows):len(t.Rows)], row)
	return t
}

func cellText(cell any) string {
	if f, ok := cell.(float64); ok {
		return fmt.Sprintf("%.3f", f)
	}
	return fmt.Sprint(cell)
}

// Text returns the table, the notes and, as the last line, the result in a form that
// programs can parse.
func (r Result) Text() string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.Join(r.Table.Columns, "\t"))
	for _, row := range r.Table.Rows {
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
	for _, note := range r.Notes {
		_, _ = fmt.Fprintln(&text, note)
	}
	_, _ = fmt.Fprintf(&text, "Measure=%s Value=%.4f Bound=%.4f Met=%t\n", r.Measure, r.Value, r.Bound, r.Met)
	return text.String()
}

// Measurement is a measurement with its name on the command line.
type Measurement struct {
	Name string
	Help string
	Run  func(ctx context.Context, s Settings) (Result, error)
}

// Measurements returns all measurements.
func Measurements() []Measurement {
	return []Measurement{
		{"reuse", "Cache reuse while engines are replaced, relative to an oracle that reads all caches and loads.", Reuse},
		{"skew", "Largest load of an engine relative to the mean load.", Skew},
		{"at-most-once", "Outcomes of bookings under faults of routers, services and the store, compared with the services' run records.", AtMostOnce},
		{"config", "Time from the acceptance of a change until it is active on all routers.", Config},
		{"zone-exit", "New requests in a zone after it is taken out of service, and failed requests meanwhile.", ZoneExit},
		{"cold-start", "Engines in cold start that fail by overload.", ColdStart},
		{"surge", "Latency of the other organisations while one sends ten times its share.", Surge},
		{"latency", "Time that a router adds to the first token and between tokens.", Latency},
		{"control", "Control traffic of a router at several fleet sizes.", Control},
		{"store-calls", "Growth of the calls to the key-value service with the fleet size.", StoreCalls},
		{"membership", "Time until all routers have detected a killed router, and a new one.", Membership},
		{"zone-loss", "Turns that fail when all routers and engines of a zone are killed at once.", ZoneLoss},
		{"rolling-restart", "Turns that fail while every router is replaced, one at a time.", RollingRestart},
	}
}

// startFleet starts a fleet for a measurement.
func (s Settings) startFleet(ctx context.Context, d hitchdev.Deployment) (*hitchdev.Fleet, error) {
	fleet := &hitchdev.Fleet{Deployment: d, Log: s.Log}
	return fleet, fleet.Start(ctx)
}

// deployment returns the deployment for a measurement's sizes.
func (s Settings) deployment() hitchdev.Deployment {
	d := hitchdev.Kustakvariet()
	d.Routers, d.Engines, d.Organisations = s.Routers, s.Engines, s.Organisations
	d = d.WithZones(s.Zones)
	return d
}
