package main

import (
	"context"
	"errors"

	"github.com/alecthomas/kingpin/v2"
	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchmeasure"
)

// errBoundNotMet reports that a measured value doesn't meet its bound.
var errBoundNotMet = errors.New("the bound isn't met")

// measureCommand returns the measure command, which measures one of the fleet's
// service guarantees.
func (p *program) measureCommand() command {
	var s hitchmeasure.Settings
	measurements := hitchmeasure.Measurements()
	names := lo.Map(measurements, func(measurement hitchmeasure.Measurement, _ int) string { return measurement.Name })
	help := ""
	for _, measurement := range measurements {
		help += measurement.Name + ": " + measurement.Help + " "
	}
	clause := p.app.Command("measure", "Measure a service guarantee with real routers and stand-ins in one process, against baselines in the same run.")
	name := clause.Arg("name", help).Required().Enum(names...)
	level := clause.Flag("log-level", "trace, debug, info, warn or error.").Default("error").Enum("trace", "debug", "info", "warn", "error")
	loadFlags(clause, &s)
	return command{clause, func(ctx context.Context) error {
		s.Log = p.logger(*level)
		measurement, _ := lo.Find(measurements, func(measurement hitchmeasure.Measurement) bool { return measurement.Name == *name })
		result, err := measurement.Run(ctx, s)
		if err != nil {
			return err
		}
		p.printf("%s", result.Text())
		if !result.Met {
			return errBoundNotMet
		}
		return nil
	}}
}

// loadFlags adds the flags that set the size of the fleet and the load.
func loadFlags(clause *kingpin.CmdClause, s *hitchmeasure.Settings) {
	clause.Flag("seed", "Seed of the load.").Default("20261203").Uint64Var(&s.Seed)
	clause.Flag("routers", "Number of routers; 0 means the default deployment's.").Default("0").IntVar(&s.Routers)
	clause.Flag("engines", "Number of engines; 0 means the default deployment's.").Default("0").IntVar(&s.Engines)
	clause.Flag("zones", "Number of availability zones; 0 means the default deployment's.").Default("0").IntVar(&s.Zones)
	clause.Flag("organisations", "Number of organisations; 0 means the default deployment's.").Default("0").IntVar(&s.Organisations)
	clause.Flag("chats", "Number of chats with several turns; 0 means the measurement's default.").Default("0").IntVar(&s.Chats)
	clause.Flag("duration", "Duration of the load, in seconds; 0 means the measurement's default.").Default("0").IntVar(&s.Seconds)
}
