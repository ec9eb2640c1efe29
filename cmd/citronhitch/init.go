package main

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"time"

	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchnode"
)

// initLimit bounds the first configuration of a fleet.
const initLimit = 30 * time.Second

// initCommand makes the first configuration of a fleet, as nobody can be an
// operator before it.
func (p *program) initCommand() command {
	clause := p.app.Command("init", "Make the first configuration of a fleet from a list of intents in JSON. A fleet that has one is left as it is.")
	stores := clause.Flag("store", "Base address of the key-value service; may be repeated.").Required().Strings()
	keys := clause.Flag("fleet-key", "Key that proves where configurations come from, as NAME=SECRET; may be repeated.").Required().Strings()
	file := clause.Arg("file", "File with the intents; - means standard input.").Default("-").String()
	return command{clause, func(ctx context.Context) error {
		if err := wantURLs("store", *stores); err != nil {
			return err
		}
		ring, err := fleetKeyring(*keys)
		if err != nil {
			return err
		}
		intents, err := readIntents(*file)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, initLimit)
		defer cancel()
		store := hitchnode.ConfigStore(*stores, "init")
		if err := hitchnode.Seed(ctx, store, ring, intents); err != nil {
			return err
		}
		head, _, err := hitchconfig.Confirmer{Store: store, Keys: ring, Now: time.Now}.ReadHead(ctx)
		if err != nil {
			return err
		}
		p.printf("Revision=%d Routes=%d Organisations=%d\n", head.Configuration.Revision, len(head.Configuration.Routes), len(head.Configuration.Organisations))
		return nil
	}}
}

func readIntents(file string) (intents []hitchconfig.Intent, err error) {
	var in io.Reader = os.Stdin
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, &SettingError{"file", file, "a file that can be read: " + err.Error()}
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	if err := json.NewDecoder(in).Decode(&intents); err != nil {
		return nil, &SettingError{"file", file, "a list of intents in JSON: " + err.Error()}
	}
	return intents, nil
}
