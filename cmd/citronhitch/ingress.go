package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"citronhitch.example/citronhitch/hitchedge"
	"citronhitch.example/citronhitch/hitchquarantine"
)

// Limits of the settings of the ingress command.
const (
	maxQuarantineCrashes = 6
	maxQuarantineSeconds = 3600
)

// ingressSettings are the flags of the ingress command.
type ingressSettings struct {
	path              string
	quarantineCrashes int
	quarantineSeconds int
}

func (s *ingressSettings) addFlags(clause *kingpin.CmdClause) {
	clause.Flag("config", "Path of the settings file that the platform writes.").Required().Envar("CITRONHITCH_CONFIG").StringVar(&s.path)
	clause.Flag("quarantine-crashes", "Number of crashes of endpoints after which requests with a part in common are refused; 0 refuses none.").Default("3").IntVar(&s.quarantineCrashes)
	clause.Flag("quarantine-seconds", "How long such requests are refused before one is tried again, in seconds; doubles with each crash in a trial.").Default("60").IntVar(&s.quarantineSeconds)
}

// validate returns the options of the instance, or a *SettingError for the first invalid
// flag.
func (s *ingressSettings) validate() (options hitchedge.Options, err error) {
	if err := checkRange("quarantine-crashes", s.quarantineCrashes, 0, maxQuarantineCrashes); err != nil {
		return options, err
	}
	if err := checkRange("quarantine-seconds", s.quarantineSeconds, 1, maxQuarantineSeconds); err != nil {
		return options, err
	}
	options.Quarantine = hitchquarantine.Limits{
		IsOff: s.quarantineCrashes == 0, Crashes: s.quarantineCrashes, QuarantineSeconds: s.quarantineSeconds,
	}
	return options, nil
}

// ingressCommand returns the ingress command, which serves callers on the users'
// platform.
func (p *program) ingressCommand() command {
	clause := p.app.Command("ingress", "Serve callers on the users' platform, whose store keeps the configuration and the endpoints.")
	var s ingressSettings
	s.addFlags(clause)
	return command{clause, func(ctx context.Context) error {
		options, err := s.validate()
		if err != nil {
			return err
		}
		return hitchedge.Run(ctx, s.path, options, p.stdout)
	}}
}
