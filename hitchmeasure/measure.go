// Package hitchmeasure measures what the fleet promises: it runs the real
// routers against the stand-ins in one process, drives them with chats and
// bookings, and compares with baselines in the same run.
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

// Settings size a measurement. Zero fields have the size of today.
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

// Sizes of a measurement whose settings are zero.
const (
	defaultSeed    = 20261203
	defaultChats   = 400
	defaultSeconds = 20
)

// WithDefaults returns a copy in which each field that is 0 has its default.
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
	// Value is compared with Bound; Met tells whether the promise was kept.
	Value float64
	Bound float64
	Met   bool
	Table Table
	// Notes are lines below the table.
	Notes []string
}

// Table is the figures of a measurement.
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

// Text returns the table, the notes and the last line, which programs read.
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

// Measurement is one measurement by its name on the command line.
type Measurement struct {
	Name string
	Help string
	Run  func(ctx context.Context, s Settings) (Result, error)
}

// Measurements returns all measurements.
func Measurements() []Measurement {
	return []Measurement{
		{"reuse", "Cache reuse through churn, against an all-knowing directory.", Reuse},
		{"skew", "Load of the engines over their mean.", Skew},
		{"at-most-once", "Bookings under kills, silence and store faults, against the services' records.", AtMostOnce},
		{"config", "Time from the accept of a change to its force on all routers.", Config},
		{"zone-exit", "New work in a zone after it is taken out, and service meanwhile.", ZoneExit},
		{"cold-start", "Engines in cold start that are given more than they bear.", ColdStart},
		{"surge", "Service of the others while one organisation sends ten times its share.", Surge},
		{"latency", "What a router adds to the first token and between tokens.", Latency},
		{"control", "Control traffic of a router at several sizes of the fleet.", Control},
		{"store-calls", "Growth of the key-value service's calls with the fleet.", StoreCalls},
		{"membership", "Time until a dead router is known to all, and a new one.", Membership},
		{"zone-loss", "Turns lost while all routers and engines of a zone end at once.", ZoneLoss},
		{"rolling-restart", "Turns cut while every router is replaced in turn.", RollingRestart},
	}
}

// startFleet starts the fleet of a measurement.
func (s Settings) startFleet(ctx context.Context, d hitchdev.Deployment) (*hitchdev.Fleet, error) {
	fleet := &hitchdev.Fleet{Deployment: d, Log: s.Log}
	return fleet, fleet.Start(ctx)
}

// deployment returns the deployment of a measurement.
func (s Settings) deployment() hitchdev.Deployment {
	d := hitchdev.Kustakvariet()
	d.Routers, d.Engines, d.Organisations = s.Routers, s.Engines, s.Organisations
	d = d.WithZones(s.Zones)
	return d
}
