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

// initTimeout limits the time to create the first configuration of a fleet.
const initTimeout = 30 * time.Second

// initCommand returns the init command, which creates the first configuration of a
// fleet. It needs no operator key, because operators are part of the configuration.
func (p *program) initCommand() command {
	clause := p.app.Command("init", "Create the first configuration of a fleet from a list of intents in JSON. An existing configuration is left unchanged.")
	stores := clause.Flag("store", "Base address of the key-value service; may be repeated.").Required().Strings()
	keys := clause.Flag("fleet-key", "Key that authenticates configurations, as NAME=SECRET; may be repeated.").Required().Strings()
	file := clause.Arg("file", "File with the intents; - means standard input.").Default("-").String()
	return command{clause, func(ctx context.Context) error {
		if err := checkURLs("store", *stores); err != nil {
			return err
		}
		keyring, err := parseFleetKeys(*keys)
		if err != nil {
			return err
		}
		intents, err := readIntents(*file)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, initTimeout)
		defer cancel()
		store := hitchnode.ConfigStore(*stores, "init")
		if err := hitchnode.InitConfiguration(ctx, store, keyring, intents); err != nil {
			return err
		}
		head, _, err := hitchconfig.Confirmer{Store: store, Keys: keyring, Now: time.Now}.ReadHead(ctx)
		if err != nil {
			return err
		}
		p.printf("Revision=%d Routes=%d Organisations=%d\n", head.Configuration.Revision, len(head.Configuration.Routes), len(head.Configuration.Organisations))
		return nil
	}}
}

func readIntents(file string) (intents []hitchconfig.Intent, err error) {
	var input io.Reader = os.Stdin
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, &SettingError{"file", file, "a readable file: " + err.Error()}
		}
		defer func() { _ = f.Close() }()
		input = f
	}
	if err := json.NewDecoder(input).Decode(&intents); err != nil {
		return nil, &SettingError{"file", file, "a list of intents in JSON: " + err.Error()}
	}
	return intents, nil
}
