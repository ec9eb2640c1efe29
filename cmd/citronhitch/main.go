// Command citronhitch routes returning chats and service calls to back ends.
//
//	citronhitch serve --id=router-1 --zone=se-south-a ...
//	citronhitch dev --once
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
)

// Exit codes.
const (
	exitOK = iota
	exitFailed
	exitUsage
)

// version is the release of the program.
const version = "0.1.0"

// command is one subcommand. The program calls run after parsing its flags.
type command struct {
	clause *kingpin.CmdClause
	run    func(ctx context.Context) error
}

// program holds the state that all subcommands share.
type program struct {
	app      *kingpin.Application
	commands []command
	stdout   io.Writer
	stderr   io.Writer
	environ  []string
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	p := &program{stdout: os.Stdout, stderr: os.Stderr, environ: os.Environ()}
	os.Exit(p.main(ctx, os.Args[1:]))
}

// main parses the arguments, runs the selected command and returns the exit code.
func (p *program) main(ctx context.Context, args []string) int {
	p.build()
	selected, err := p.app.Parse(args)
	if err == nil {
		err = checkUnknownVariables(p.app, p.environ)
	}
	if err != nil {
		_, _ = fmt.Fprintf(p.stderr, "citronhitch: %v\n", err)
		return exitUsage
	}
	return p.exitCode(p.run(ctx, selected))
}

func (p *program) build() {
	p.app = kingpin.New("citronhitch", "A router fleet for returning chats. Each flag has an environment variable, shown in the help.")
	p.app.Version(version)
	p.app.UsageWriter(p.stdout)
	p.app.ErrorWriter(p.stderr)
	p.app.DefaultEnvars()
	p.commands = []command{
		p.serveCommand(),
		p.ingressCommand(),
		p.soakCommand(),
		p.initCommand(),
		p.devCommand(),
		p.measureCommand(),
		p.planCommand(),
		p.confirmCommand(),
		p.statusCommand(),
		p.historyCommand(),
		p.doubtsCommand(),
		p.resolveCommand(),
		p.reportCommand(),
		p.fakeCommand(),
		p.fakeEndpointCommand(),
	}
}

func (p *program) run(ctx context.Context, selected string) error {
	for _, c := range p.commands {
		if c.clause.FullCommand() == selected {
			return c.run(ctx)
		}
	}
	return fmt.Errorf("unknown command %q", selected)
}

// exitCode prints an error and returns the exit code for it.
func (p *program) exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintf(p.stderr, "citronhitch: %v\n", err)
	var setting *SettingError
	if errors.As(err, &setting) {
		return exitUsage
	}
	return exitFailed
}
