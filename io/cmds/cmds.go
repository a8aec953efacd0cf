// Package cmds implements the shallotgap command line.
package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"shallotgap/io/conf"
	"shallotgap/io/texts"
)

// Version is the version that the program reports.
const Version = "0.1.0"

// CLI defines the commands, flags and arguments of the command line.
type CLI struct {
	Serve    Serve        `cmd:"" help:"Run one entry host."`
	Platform Platform     `cmd:"" help:"Run one host on the platform, with the settings that the environment names."`
	Check    Check        `cmd:"" help:"Check a settings file without starting."`
	Table    Table        `cmd:"" help:"Read and edit the table of rows."`
	Stop     Stop         `cmd:"" help:"Plan, withdraw and list planned stops."`
	Limits   Limits       `cmd:"" help:"List the request rates that endpoints ask for."`
	Poison   Poison       `cmd:"" help:"List and lift the parts of prompts that are blocked because engines crash with them."`
	Status   Status       `cmd:"" help:"Show hosts, leader, leases, endpoints, residency, loads waited for and stops."`
	Explain  Explain      `cmd:"" help:"Tell what happened to a request and why."`
	Replay   Replay       `cmd:"" help:"Replay a recorded trace of one host's decisions."`
	Report   Report       `cmd:"" help:"Show the service-level burn: budgets, burn rates and what spent them."`
	Version  PrintVersion `cmd:"" help:"Print the version."`
}

// Env holds the context and streams that a command runs with.
type Env struct {
	Context context.Context
	Reload  <-chan os.Signal // receives SIGHUP from the start of the process on
	In      io.Reader
	Out     io.Writer
	Err     io.Writer
}

// platformCommand is the command whose process reloads its settings at SIGHUP.
const platformCommand = "platform"

// Run parses the arguments, runs the command and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP) // before anything else: by default, the signal ends the process
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var cli CLI
	parser, err := kong.New(&cli, kong.Name("shallotgap"), kong.Description(texts.About), kong.Writers(out, errOut),
		kong.UsageOnError(), kong.Help(help))
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return int(Usage)
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "shallotgap: %v\n", err)
		return int(Usage)
	}
	if parsed.Command() != platformCommand {
		signal.Reset(syscall.SIGHUP) // commands of a terminal end with it
	}
	err = parsed.Run(&Env{Context: ctx, Reload: reload, In: os.Stdin, Out: out, Err: errOut})
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "shallotgap: %v\n", err)
	}
	return int(exitCode(err))
}

// help prints kong's help, followed by the command's examples.
func help(options kong.HelpOptions, ctx *kong.Context) error {
	if err := kong.DefaultHelpPrinter(options, ctx); err != nil {
		return err
	}
	name := ""
	if node := ctx.Selected(); node != nil {
		name = commandOf(node.Path())
	}
	_, err := fmt.Fprint(ctx.Stdout, texts.ExamplesOf(name))
	return err
}

// commandOf returns the name of a command, such as "table put", from its path in the kong model, which also contains the
// program name and arguments.
func commandOf(path string) string {
	var words []string
	for _, w := range strings.Fields(strings.TrimPrefix(path, "shallotgap")) {
		if !strings.HasPrefix(w, "<") && !strings.HasPrefix(w, "[") {
			words = append(words, w)
		}
	}
	return strings.Join(words, " ")
}

// Check is the command that validates a settings file.
type Check struct {
	Settings string `arg:"" help:"Settings file (INI)."`
}

// Run loads the settings file and reports the first error in it.
func (c *Check) Run(env *Env) error {
	if _, err := conf.Load(c.Settings); err != nil {
		return withCode(Usage, err)
	}
	_, err := fmt.Fprintf(env.Out, texts.SettingsOK, c.Settings)
	return err
}

// PrintVersion is the command that prints the version.
type PrintVersion struct{}

// Run prints the version.
func (PrintVersion) Run(env *Env) error {
	_, err := fmt.Fprintln(env.Out, "shallotgap", Version)
	return err
}
