// Command fakes runs a stand-in for an external service of shallotgap (a model engine, a plain service or the weight
// store) or measures shallotgap against such stand-ins.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"shallotgap/fakes/hunts"
	"shallotgap/fakes/loads"
	"shallotgap/fakes/probe"
	"shallotgap/fakes/stand"
)

// headerTimeout is the longest time that a caller may take to send the header of a request.
const headerTimeout = 5 * time.Second

// cli has the subcommands.
type cli struct {
	Engine   engine         `cmd:"" help:"Run a model engine."`
	Plain    plain          `cmd:"" help:"Run a plain service."`
	Store    store          `cmd:"" help:"Run the weight store."`
	Probe    probe.Command  `cmd:"" help:"Measure failure detection, elections, take-overs, edits, starts and idle hosts."`
	Path     loads.Path     `cmd:"" help:"Measure the added time of the path, side by side with direct requests."`
	Takeover loads.Takeover `cmd:"" help:"Time the gap after a killed owner, until a request is served again."`
	Rate     loads.Rate     `cmd:"" help:"Stream from an entry host and print what its process relays on how much of a core."`
	Hunts    hunts.Command  `cmd:"" help:"Check that hunts of the platform's bench are clean."`
	Replay   replayer       `cmd:"" help:"Replay a trace through the decision core in virtual time and print what it measures."`
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("fakes"))
	if err := ctx.Run(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "fakes:", err)
		os.Exit(1)
	}
}

// listener has the flag that all stand-ins share.
type listener struct {
	Listen string `default:"127.0.0.1:0" help:"Address to listen on."`
}

// serve serves a handler on the address of the flag and calls ready with the URL as soon as the port is open. With port 0
// the operating system chooses the port.
func (l listener) serve(handler http.Handler, ready func(url string)) error {
	socket, err := net.Listen("tcp", l.Listen)
	if err != nil {
		return err
	}
	ready("http://" + socket.Addr().String())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	return server.Serve(socket)
}

// engine is the command that runs a model engine.
type engine struct {
	listener
	stand.EngineConfig
	Entries []string `required:"" help:"Addresses of entry hosts."`
}

// Run serves the engine and announces it until the process ends.
func (c *engine) Run() error {
	ctx := context.Background()
	e := stand.NewEngine(ctx, c.EngineConfig)
	return c.serve(e.Handler(), func(url string) {
		go stand.Announce(ctx, c.Entries, func() stand.Announcement { return e.Announcement(url) })
	})
}

// plain is the command that runs a plain service.
type plain struct {
	listener
	stand.PlainConfig
	Entries []string `required:"" help:"Addresses of entry hosts."`
}

// Run serves the plain service and announces it until the process ends.
func (c *plain) Run() error {
	p := stand.NewPlain(c.PlainConfig)
	return c.serve(p.Handler(), func(url string) {
		go stand.Announce(context.Background(), c.Entries, func() stand.Announcement { return p.Announcement(url) })
	})
}

// store is the command that runs the weight store.
type store struct {
	listener
	stand.StoreConfig
}

// Run serves the weight store until the process ends.
func (c *store) Run() error {
	return c.serve(stand.NewStore(c.StoreConfig).Handler(), func(string) {})
}
