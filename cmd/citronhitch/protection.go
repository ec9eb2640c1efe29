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

// protectionSettings are the flags that set which requests endpoints are protected from.
type protectionSettings struct {
	crashes      int
	seconds      int
	ignoreQuotas bool
}

func (s *protectionSettings) addFlags(clause *kingpin.CmdClause) {
	clause.Flag("quarantine-crashes", "Number of crashes of endpoints after which a request that comes again, or those with a part in common, are refused; 0 refuses none.").Default("3").IntVar(&s.crashes)
	clause.Flag("quarantine-seconds", "How long such requests are refused before one is tried again, in seconds; doubles with each crash in a trial.").Default("60").IntVar(&s.seconds)
	clause.Flag("ignore-quotas", "Send endpoints more requests than they say they take, a second or while they are brittle, as operators may need if one names too few.").BoolVar(&s.ignoreQuotas)
}

// validate returns the limits of the quarantine, or a *SettingError for the first invalid flag.
func (s *protectionSettings) validate() (limits hitchquarantine.Limits, err error) {
	if err := checkRange("quarantine-crashes", s.crashes, 0, maxQuarantineCrashes); err != nil {
		return limits, err
	}
	if err := checkRange("quarantine-seconds", s.seconds, 1, maxQuarantineSeconds); err != nil {
		return limits, err
	}
	return hitchquarantine.Limits{IsOff: s.crashes == 0, Crashes: s.crashes, QuarantineSeconds: s.seconds}, nil
}
