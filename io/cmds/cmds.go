// Package cmds is the command line.
package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"shallotgap/io/conf"
)

// Version is the version that the program reports.
const Version = "0.1.0"

// CLI is the whole command line.
type CLI struct {
	Serve   Serve   `cmd:"" help:"Run one entry host."`
	Check   Check   `cmd:"" help:"Check a settings file without starting."`
	Table   Table   `cmd:"" help:"Read and edit the table of rows."`
	Stop    Stop    `cmd:"" help:"Plan, withdraw and list planned stops."`
	Status  Status  `cmd:"" help:"Show what one host knows of the system."`
	Explain Explain `cmd:"" help:"Tell what happened to a request and why."`
	Replay  Replay  `cmd:"" help:"Replay a recorded trace of one host's decisions."`
	Version Print   `cmd:"" help:"Print the version."`
}

// Env is what every command gets.
type Env struct {
	Context context.Context
	Out     io.Writer
	Err     io.Writer
}

// Run parses the arguments, runs the command and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var cli CLI
	parser, err := kong.New(&cli, kong.Name("shallotgap"), kong.Description("Serves very many LoRA adapters over shared base models."), kong.Writers(out, errOut))
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return 2
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "shallotgap: %v\n", err)
		return 2
	}
	if err := parsed.Run(&Env{Context: ctx, Out: out, Err: errOut}); err != nil {
		_, _ = fmt.Fprintf(errOut, "shallotgap: %v\n", err)
		return 1
	}
	return 0
}

// Check is the command that checks a settings file.
type Check struct {
	Settings string `arg:"" help:"Settings file (INI)."`
}

// Run checks the settings.
func (c *Check) Run(env *Env) error {
	if _, err := conf.Load(c.Settings); err != nil {
		return err
	}
	_, err := fmt.Fprintf(env.Out, "%s: ok\n", c.Settings)
	return err
}

// Print is the command that prints the version.
type Print struct{}

// Run prints the version.
func (Print) Run(env *Env) error {
	_, err := fmt.Fprintln(env.Out, "shallotgap", Version)
	return err
}
