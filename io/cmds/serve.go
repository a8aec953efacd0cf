package cmds

import (
	"fmt"
	"net"

	"shallotgap/io/conf"
	"shallotgap/io/host"
	"shallotgap/io/logs"
	"shallotgap/io/serve"
)

// Serve is the command that runs one entry host.
type Serve struct {
	Settings string `arg:"" help:"Settings file (INI)."`
}

// Run serves until the process is told to stop.
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
	return serve.Run(env.Context, common, host.Config{Settings: settings, Callers: callers, Peers: peers})
}
