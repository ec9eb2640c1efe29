package main

import (
	"context"
	"errors"
	"os"
	"strconv"
	"time"

	"citronhitch.example/citronhitch/hitchsoak"
)

// errViolation reports that a soak test found a violated guarantee.
var errViolation = errors.New("a service guarantee was violated")

// soakCommand returns the soak command, which runs instances as separate processes,
// injects faults and checks the service guarantees.
func (p *program) soakCommand() command {
	clause := p.app.Command("soak", "Run instances as separate processes in front of stand-ins, inject faults, and check the requests and responses of callers and endpoints.")
	seed := clause.Flag("first-seed", "Seed of the first soak.").Default("1").Uint64()
	count := clause.Flag("soaks", "Number of soaks, each with the next seed.").Default("1").Int()
	length := clause.Flag("soak-seconds", "Length of one soak, in seconds, at least 15.").Default("25").Int()
	processes := clause.Flag("processes", "Number of instances, from 2 to 100.").Default("4").Int()
	faults := clause.Flag("faults", "Set of faults: the basic ones, those of answers, or all.").Default(string(hitchsoak.BasicFaults)).Enum(hitchsoak.FaultSets()...)
	logs := clause.Flag("log-dir", "Directory for the logs of processes when a service guarantee is violated.").Default("").String()
	variant := clause.Flag("variant", "Variant of the soak: faults, versions of the endpoints' software side by side, parts of prompts at which endpoints crash, quotas of endpoints, whole requests at which endpoints crash, endpoints that don't bear to refuse many requests, orders to roll out good and bad versions, or endpoints that are processes, are paused and killed, and misbehave on kept connections.").Default(hitchsoak.VariantFaults).Enum(hitchsoak.Variants()...)
	return command{clause, func(ctx context.Context) error {
		if *processes < 2 || *processes > 100 {
			return &SettingError{Flag: "processes", Value: strconv.Itoa(*processes), Allowed: "2 to 100"}
		}
		if *length < 15 {
			return &SettingError{Flag: "soak-seconds", Value: strconv.Itoa(*length), Allowed: "at least 15"}
		}
		program, err := os.Executable()
		if err != nil {
			return err
		}
		isViolated := false
		for n := range *count {
			s := &hitchsoak.Soak{
				Seed: *seed + uint64(n), Program: program, Instances: *processes,
				Length: time.Duration(*length) * time.Second, LogDir: *logs, Faults: hitchsoak.FaultSet(*faults),
				Variant: *variant,
			}
			report, err := s.Run(ctx)
			if err = errors.Join(err, ctx.Err()); err != nil {
				return err
			}
			p.printSoakReport(report)
			isViolated = isViolated || len(report.Violations) > 0
		}
		if isViolated {
			return errViolation
		}
		return nil
	}}
}

// printSoakReport prints a report, and if a guarantee was violated the violations and
// the injected faults.
func (p *program) printSoakReport(r hitchsoak.Report) {
	p.printf("%s\n", r)
	for _, note := range r.Notes {
		p.printf("%s\n", note)
	}
	if len(r.Violations) == 0 {
		return
	}
	for _, v := range r.Violations {
		p.printf("%s\n", v)
	}
	for _, f := range r.Faults {
		p.printf("%s\n", f)
	}
}
