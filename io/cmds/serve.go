package cmds

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"shallotgap/io/conf"
	"shallotgap/io/host"
	"shallotgap/io/logs"
	"shallotgap/io/serve"
)

// Serve is the command that runs one entry host.
type Serve struct {
	Settings string `arg:"" help:"Settings file (INI)."`
}

// Run serves until a stop signal arrives and the drain has ended.
func (s *Serve) Run(env *Env) error {
	settings, err := conf.Load(s.Settings)
	if err != nil {
		return err
	}
	common, err := logs.New(env.Err, string(settings.Name), settings.LogLevel)
	if err != nil {
		return fmt.Errorf("log level: %w", err)
	}
	self := settings.Self()
	callers, err := net.Listen("tcp", self.Listen)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	peers, err := net.Listen("tcp", self.Peer)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	ctx, stop := stopSignals(env.Context)
	return serve.Run(ctx, common, host.Config{Settings: settings, Callers: callers, Peers: peers, Stop: stop})
}

// stopSignals returns a channel that is closed on the first SIGINT or SIGTERM, which starts the drain, and a context that is
// cancelled on the second, which ends the process without waiting for the drain.
func stopSignals(parent context.Context) (context.Context, <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	stop := make(chan struct{})
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		close(stop)
		<-signals
		cancel()
	}()
	return ctx, stop
}
