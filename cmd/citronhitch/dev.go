package main

import (
	"context"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"

	"citronhitch.example/citronhitch/hitchdev"
)

// stopTimeout limits the time of a graceful shutdown.
const stopTimeout = 60 * time.Second

// devCommand returns the dev command, which runs a whole deployment in one process.
func (p *program) devCommand() command {
	clause := p.app.Command("dev", "Run a whole deployment with stand-ins in one process, on loopback.")
	once := clause.Flag("once", "Run one complete session, print a line for each step, and exit.").Bool()
	name := clause.Flag("settings", "The deployment: kustakvariet or hanbit.").Default("kustakvariet").Enum("kustakvariet", "hanbit")
	level := clause.Flag("log-level", "trace, debug, info, warn or error.").Default("warn").Enum("trace", "debug", "info", "warn", "error")
	return command{clause, func(ctx context.Context) error {
		deployment, _ := hitchdev.DeploymentByName(*name)
		fleet := &hitchdev.Fleet{Deployment: deployment, Log: p.logger(*level)}
		if *once {
			return p.runDevSession(ctx, fleet)
		}
		return p.runDev(ctx, fleet)
	}}
}

// runDev runs a deployment until ctx is done, and then stops it gracefully.
func (p *program) runDev(ctx context.Context, fleet *hitchdev.Fleet) error {
	if err := fleet.Start(ctx); err != nil {
		return err
	}
	p.printFleet(fleet)
	<-ctx.Done()
	p.printf("Stopping=%s\n", fleet.Deployment.Name)
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	return fleet.Stop(stopCtx)
}

func (p *program) printFleet(fleet *hitchdev.Fleet) {
	for _, node := range fleet.Routers() {
		p.printf("Router=%s Zone=%s Address=%s\n", node.Instance().ID, node.Instance().Zone, node.Addr())
	}
	d := fleet.Deployment
	p.printf("CallerKey=%s OperatorKey=%s\n", d.APIKey(0), d.OperatorKey())
	p.printf("Try: curl -N -H 'Authorization: Bearer %s' -H 'X-Chat-Id: chat-1' "+
		"-d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"When are the rays fed?\"}]}' "+
		"http://%s/v1/chat/completions\n", d.APIKey(0), d.EngineRoute, fleet.Addresses()[0])
	p.printf("Stop with an interrupt.\n")
}

func (p *program) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(p.stdout, format, args...)
}

// logger returns a logger that writes one line of key=value pairs per event.
func (p *program) logger(level string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name: "citronhitch", Level: hclog.LevelFromString(level), Output: p.stderr, TimeFormat: time.RFC3339Nano,
	})
}
