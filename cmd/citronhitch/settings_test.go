package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kingpin/v2"
	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchpeer"
)

// settingsPage documents the flags. TestSettingsPage generates the part below
// settingsMark.
const (
	settingsPage = "../../docs/SETTINGS.md"
	settingsMark = "<!-- The rest is written by go test ./cmd/citronhitch -run TestSettingsPage -update -->\n"
)

// TestSettingsPage compares the page with the flags of the program, or updates the page
// if -update is set.
func TestSettingsPage(t *testing.T) {
	file := filepath.FromSlash(settingsPage)
	page, err := os.ReadFile(file)
	qt.Assert(t, err, qt.IsNil)
	head, _, ok := strings.Cut(string(page), settingsMark)
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("the page has no mark"))
	want := head + settingsMark + settingsText(t)
	if *update {
		qt.Assert(t, os.WriteFile(file, []byte(want), 0o644), qt.IsNil)
		return
	}
	qt.Assert(t, string(page), qt.Equals, want)
}

// settingsModel returns the program's flags with their environment variables.
func settingsModel(t *testing.T) *kingpin.ApplicationModel {
	p := &program{stdout: io.Discard, stderr: io.Discard}
	p.build()
	// kingpin sets the names of the variables when it parses a command line.
	_, err := p.app.ParseContext([]string{"status"})
	qt.Assert(t, err, qt.IsNil)
	return p.app.Model()
}

func settingsText(t *testing.T) string {
	model := settingsModel(t)
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "\n## Every command\n\n%s", flagTable(t, model.Flags, nil))
	for _, cmd := range flattenCommands(model.Commands) {
		if cmd.Name == "help" {
			continue
		}
		allowed := allowedValues
		if cmd.Name == "serve" || cmd.Name == "init" {
			allowed = allowedServeValues
		}
		_, _ = fmt.Fprintf(&text, "\n## %s\n\n%s\n\n%s", cmd.Name, cmd.Help, argList(cmd.Args))
		_, _ = text.WriteString(flagTable(t, cmd.Flags, allowed))
	}
	return text.String()
}

func argList(args []*kingpin.ArgModel) string {
	var text strings.Builder
	for _, arg := range args {
		_, _ = fmt.Fprintf(&text, "Argument `%s`: %s\n\n", arg.Name, strings.TrimSpace(arg.Help))
	}
	return text.String()
}

func flagTable(t *testing.T, flags []*kingpin.FlagModel, allowed func(*testing.T, *kingpin.FlagModel) string) string {
	if allowed == nil {
		allowed = allowedValues
	}
	var text strings.Builder
	_, _ = text.WriteString("| flag | environment variable | unit | default | allowed | meaning |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, flag := range flags {
		if flag.Hidden {
			continue
		}
		_, _ = fmt.Fprintf(&text, "| `--%s` | `%s` | %s | %s | %s | %s |\n",
			flag.Name, flag.Envar, flagUnit(flag), flagDefault(flag), allowed(t, flag), flag.Help)
	}
	return text.String()
}

// units maps patterns of help texts to units. The first match applies.
var units = []struct{ pattern, unit string }{
	{"tokens a second", "tokens a second"},
	{"in milliseconds", "milliseconds"},
	{"in seconds", "seconds"},
	{"Number of|The most|How many", "count"},
}

func flagUnit(flag *kingpin.FlagModel) string {
	for _, u := range units {
		if regexp.MustCompile(u.pattern).MatchString(flag.Help) {
			return u.unit
		}
	}
	return "none"
}

func flagDefault(flag *kingpin.FlagModel) string {
	switch {
	case flag.Required:
		return "required"
	case len(flag.Default) > 0:
		return "`" + strings.Join(flag.Default, " ") + "`"
	case flag.IsBoolFlag():
		return "`false`"
	default:
		return "not set"
	}
}

// typeByParseError maps the function named in a flag's parse error to the flag's type.
var typeByParseError = map[string]string{
	"ParseUint":  "a whole number from 0",
	"ParseFloat": "a number",
}

// allowedValues describes the values that a flag accepts, derived from the error for an
// invalid value.
func allowedValues(_ *testing.T, flag *kingpin.FlagModel) string {
	if flag.IsBoolFlag() {
		return "`true` or `false`"
	}
	err := flag.Value.Set("?")
	if fmt.Sprintf("%T", flag.Value) == "*kingpin.intValue" {
		// kingpin parses whole numbers with ParseFloat.
		return "a whole number"
	}
	if err == nil {
		return "text"
	}
	if found := regexp.MustCompile(`must be one of (\S+),`).FindStringSubmatch(err.Error()); found != nil {
		return "`" + strings.ReplaceAll(found[1], ",", "`, `") + "`"
	}
	for name, text := range typeByParseError {
		if strings.Contains(err.Error(), name) {
			return text
		}
	}
	return err.Error()
}

// allowedServeValues describes the values that a flag of serve accepts, derived from
// the errors of the command's validation. init shares these checks.
func allowedServeValues(t *testing.T, flag *kingpin.FlagModel) string {
	for _, invalid := range []string{"-1", "a /"} {
		var setting *SettingError
		err := checkServe(t, flag.Name, invalid)
		if errors.As(err, &setting) && setting.Flag == flag.Name {
			allowed, _, _ := strings.Cut(setting.Allowed, ": ")
			return allowed
		}
	}
	if strings.HasPrefix(flag.Help, "PEM text") {
		return "PEM text"
	}
	return allowedValues(t, flag)
}

// checkServe validates a set of valid serve flags in which one is replaced.
func checkServe(t *testing.T, name, value string) error {
	var authority hitchpeer.DevCertificates
	keys, err := authority.Issue("router-0", time.Now())
	qt.Assert(t, err, qt.IsNil)
	args := []string{
		"serve", "--id=router-0", "--region=r", "--zone=z", "--store=http://127.0.0.1:1", "--list=http://127.0.0.1:1",
		"--peer-certificate=" + keys.Certificate, "--peer-key=" + keys.PrivateKey, "--peer-authority=" + keys.Authorities,
		"--booking-secret=" + bookingSecret, "--fleet-key=" + fleetKey,
	}
	args = slices.DeleteFunc(args, func(arg string) bool { return strings.HasPrefix(arg, "--"+name+"=") })
	var s serveSettings
	app := kingpin.New("citronhitch", "").Terminate(nil)
	s.addFlags(app.Command("serve", ""))
	if _, err := app.Parse(append(args, "--"+name+"="+value)); err != nil {
		return err
	}
	_, err = s.validate()
	return err
}

func TestSettingsPageUnits(t *testing.T) {
	for _, cmd := range flattenCommands(settingsModel(t).Commands) {
		for _, flag := range cmd.Flags {
			isTime := regexp.MustCompile(`-(ms|seconds)$`).MatchString(flag.Name)
			unit := flagUnit(flag)
			qt.Check(t, !isTime || strings.HasSuffix(unit, "seconds"), qt.IsTrue, qt.Commentf("%s --%s: unit %q", cmd.Name, flag.Name, unit))
		}
	}
}
