package main

import (
	"context"
	"errors"

	"github.com/alecthomas/kingpin/v2"
	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchmeasure"
)

// errNotMet says that a measured promise was not kept.
var errNotMet = errors.New("the bound isn't met")

// measureCommand measures one of the fleet's promises.
func (p *program) measureCommand() command {
	var s hitchmeasure.Settings
	all := hitchmeasure.Measurements()
	names := lo.Map(all, func(m hitchmeasure.Measurement, _ int) string { return m.Name })
	help := ""
	for _, m := range all {
		help += m.Name + ": " + m.Help + " "
	}
	clause := p.app.Command("measure", "Measure a promise with real routers and stand-ins in one process, against baselines in the same run.")
	name := clause.Arg("name", help).Required().Enum(names...)
	level := clause.Flag("log-level", "trace, debug, info, warn or error.").Default("error").Enum("trace", "debug", "info", "warn", "error")
	sizes(clause, &s)
	return command{clause, func(ctx context.Context) error {
		s.Log = p.logger(*level)
		measurement, _ := lo.Find(all, func(m hitchmeasure.Measurement) bool { return m.Name == *name })
		result, err := measurement.Run(ctx, s)
		if err != nil {
			return err
		}
		p.printf("%s", result.Text())
		if !result.Met {
			return errNotMet
		}
		return nil
	}}
}

func sizes(clause *kingpin.CmdClause, s *hitchmeasure.Settings) {
	clause.Flag("seed", "Seed of the load.").Default("20261203").Uint64Var(&s.Seed)
	clause.Flag("routers", "Number of routers; 0 means today's.").Default("0").IntVar(&s.Routers)
	clause.Flag("engines", "Number of engines; 0 means today's.").Default("0").IntVar(&s.Engines)
	clause.Flag("zones", "Number of availability zones; 0 means today's.").Default("0").IntVar(&s.Zones)
	clause.Flag("organisations", "Number of organisations; 0 means today's.").Default("0").IntVar(&s.Organisations)
	clause.Flag("chats", "Number of chats that return; 0 means the measurement's own.").Default("0").IntVar(&s.Chats)
	clause.Flag("duration", "How long the load lasts, in seconds; 0 means the measurement's own.").Default("0").IntVar(&s.Seconds)
}
