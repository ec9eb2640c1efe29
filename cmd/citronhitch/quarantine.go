package main

import (
	"github.com/alecthomas/kingpin/v2"

	"citronhitch.example/citronhitch/hitchquarantine"
)

// Limits of the settings of the quarantine.
const (
	maxQuarantineCrashes = 6
	maxQuarantineSeconds = 3600
)

// quarantineSettings are the flags that set when requests are refused, as endpoints crash at
// them.
type quarantineSettings struct {
	crashes int
	seconds int
}

func (s *quarantineSettings) addFlags(clause *kingpin.CmdClause) {
	clause.Flag("quarantine-crashes", "Number of crashes of endpoints after which requests with a part in common are refused; 0 refuses none.").Default("3").IntVar(&s.crashes)
	clause.Flag("quarantine-seconds", "How long such requests are refused before one is tried again, in seconds; doubles with each crash in a trial.").Default("60").IntVar(&s.seconds)
}

// validate returns the limits, or a *SettingError for the first invalid flag.
func (s *quarantineSettings) validate() (limits hitchquarantine.Limits, err error) {
	if err := checkRange("quarantine-crashes", s.crashes, 0, maxQuarantineCrashes); err != nil {
		return limits, err
	}
	if err := checkRange("quarantine-seconds", s.seconds, 1, maxQuarantineSeconds); err != nil {
		return limits, err
	}
	return hitchquarantine.Limits{IsOff: s.crashes == 0, Crashes: s.crashes, QuarantineSeconds: s.seconds}, nil
}
