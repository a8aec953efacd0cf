package cmds

import (
	"context"

	"shallotgap/io/logs"
	"shallotgap/io/site"
	"shallotgap/platform"
)

// Platform is the command that runs one host on the platform, with settings from the environment.
type Platform struct {
	LogLevel  string `default:"info" enum:"debug,info,warn,error" help:"Lowest level of log lines."`
	Metrics   string `help:"Port to serve metrics on, below /metrics."`
	BindLinks string `help:"Address to listen on for other hosts, if it differs from the one that they are told."`
}

// Run serves until a stop signal arrives and the drain has ended. SIGHUP reloads the settings.
func (p *Platform) Run(env *Env) error {
	c, err := platform.Settings()
	if err != nil {
		return withCode(Usage, err)
	}
	if p.Metrics != "" {
		c.Metrics = site.Listen("0.0.0.0:" + p.Metrics)
	}
	if p.BindLinks != "" {
		c.BindLinks = site.Listen(p.BindLinks)
	}
	common, err := logs.New(logs.NewBounded(env.Out, c.Name), c.Name, p.LogLevel)
	if err != nil {
		return withCode(Usage, err)
	}
	return site.Run(context.Background(), common, c, platform.Edge(), site.Signals{Stop: env.Context.Done(), Reload: env.Reload})
}
