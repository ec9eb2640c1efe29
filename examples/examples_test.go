// Package examples_test checks the files of the examples.
package examples_test

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchdev"
)

var update = flag.Bool("update", false, "update the examples' files")

// TestExampleIntents compares the intents.json file of each example with the first
// configuration of its deployment.
func TestExampleIntents(t *testing.T) {
	for name, deployment := range map[string]hitchdev.Deployment{
		"kustakvariet": hitchdev.Kustakvariet(),
		"hanbit":       hitchdev.Hanbit(),
	} {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(name, "intents.json")
			want, err := json.MarshalIndent(deployment.Intents(), "", "  ")
			qt.Assert(t, err, qt.IsNil)
			if *update {
				qt.Assert(t, os.WriteFile(file, append(want, '\n'), 0o644), qt.IsNil)
			}
			got, err := os.ReadFile(file)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(got), qt.Equals, string(want)+"\n")
			var intents []hitchconfig.Intent
			qt.Assert(t, json.Unmarshal(got, &intents), qt.IsNil)
			qt.Assert(t, intents, qt.DeepEquals, deployment.Intents())
		})
	}
}
