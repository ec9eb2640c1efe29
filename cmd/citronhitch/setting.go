package main

import (
	"fmt"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"
)

// envPrefix starts the names of the program's environment variables.
const envPrefix = "CITRONHITCH_"

// testVariables are read by the tests, not by flags.
var testVariables = []string{envPrefix + "SEED"}

// SettingError says that a setting can't be used.
type SettingError struct {
	Flag    string
	Value   string
	Allowed string
}

// Error names the flag, its value and what is allowed, on one line.
func (e *SettingError) Error() string {
	return fmt.Sprintf("--%s is %q: want %s", e.Flag, e.Value, e.Allowed)
}

// unknownVariables refuses environment variables of the program that no flag
// reads, as they are most likely misspelt.
func unknownVariables(app *kingpin.Application, environ []string) error {
	known := slices.Clone(testVariables)
	model := app.Model()
	known = append(known, flagVariables(model.FlagGroupModel)...)
	for _, cmd := range flatten(model.Commands) {
		known = append(known, flagVariables(cmd.FlagGroupModel)...)
	}
	for _, entry := range environ {
		name, _, _ := strings.Cut(entry, "=")
		if strings.HasPrefix(name, envPrefix) && !slices.Contains(known, name) {
			return fmt.Errorf("the environment variable %s belongs to no flag", name)
		}
	}
	return nil
}

func flagVariables(flags *kingpin.FlagGroupModel) []string {
	var names []string
	for _, flag := range flags.Flags {
		if flag.Envar != "" {
			names = append(names, flag.Envar)
		}
	}
	return names
}

// flatten returns commands with their subcommands.
func flatten(commands []*kingpin.CmdModel) []*kingpin.CmdModel {
	var all []*kingpin.CmdModel
	for _, cmd := range commands {
		all = append(all, cmd)
		all = append(all, flatten(cmd.Commands)...)
	}
	return all
}
