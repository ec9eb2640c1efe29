package main

import (
	"fmt"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"
)

// envPrefix is the prefix of the program's environment variables.
const envPrefix = "CITRONHITCH_"

// testVariables are environment variables that only tests read.
var testVariables = []string{envPrefix + "SEED"}

// SettingError reports that a setting has an invalid value.
type SettingError struct {
	Flag    string
	Value   string
	Allowed string
}

// Error returns the flag, its value and the allowed values, on one line.
func (e *SettingError) Error() string {
	return fmt.Sprintf("--%s is %q: want %s", e.Flag, e.Value, e.Allowed)
}

// checkUnknownVariables returns an error for an environment variable that has the
// program's prefix but that no flag reads, as it is probably misspelt.
func checkUnknownVariables(app *kingpin.Application, environ []string) error {
	known := slices.Clone(testVariables)
	model := app.Model()
	known = append(known, flagVariables(model.FlagGroupModel)...)
	for _, cmd := range flattenCommands(model.Commands) {
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

// flattenCommands returns the commands and all their subcommands.
func flattenCommands(commands []*kingpin.CmdModel) []*kingpin.CmdModel {
	var all []*kingpin.CmdModel
	for _, cmd := range commands {
		all = append(all, cmd)
		all = append(all, flattenCommands(cmd.Commands)...)
	}
	return all
}
