package main

import (
	"context"

	"citronhitch.example/citronhitch/hitchedge"
)

// ingressCommand returns the ingress command, which serves callers on the users'
// platform.
func (p *program) ingressCommand() command {
	clause := p.app.Command("ingress", "Serve callers on the users' platform, whose store keeps the configuration and the endpoints.")
	settings := clause.Flag("config", "Path of the settings file that the platform writes.").Required().Envar("CITRONHITCH_CONFIG").String()
	var protection protectionSettings
	protection.addFlags(clause)
	keepsOwnPath := clause.Flag("keep-own-path", "Send requests to endpoints only from this instance itself, also while it reaches none of them and others do.").Bool()
	return command{clause, func(ctx context.Context) error {
		limits, err := protection.validate()
		if err != nil {
			return err
		}
		options := hitchedge.Options{Quarantine: limits, IgnoreQuotas: protection.ignoreQuotas, KeepsOwnPath: *keepsOwnPath}
		return hitchedge.Run(ctx, *settings, options, p.stdout)
	}}
}
