package main

import (
	"fmt"
	"os"

	"shallotgap/core/world"
	"shallotgap/fakes/replay"
)

// replayer is the command that measures the serving decisions in virtual time.
type replayer struct {
	Profile string `default:"zahlwerk" enum:"zahlwerk,mungitura" help:"Deployment: zahlwerk or mungitura."`
	Seed    uint64 `default:"1" help:"Seed of the trace."`
	Faults  bool   `help:"Restart engines empty and fail loads."`
	Trace   string `help:"Read the arrivals from this file instead of generating them." type:"existingfile"`
	Save    string `help:"Write the arrivals to this file."`
}

// Run replays one trace and prints the results.
func (c *replayer) Run() error {
	p := replay.Profiles()[c.Profile]
	p.Faults = c.Faults
	trace, err := c.trace(p)
	if err != nil {
		return err
	}
	results := []replay.Result{replay.Baseline(p, c.Seed, trace), replay.System(p, world.Defaults(), c.Seed, trace)}
	replay.Print(os.Stdout, p, replay.BoundOf(p, trace), results)
	return nil
}

func (c *replayer) trace(p replay.Profile) ([]replay.Arrival, error) {
	if c.Trace != "" {
		return readTrace(c.Trace)
	}
	list := replay.Generate(p, c.Seed)
	if c.Save == "" {
		return list, nil
	}
	f, err := os.Create(c.Save)
	if err != nil {
		return nil, fmt.Errorf("save trace: %w", err)
	}
	defer func() { _ = f.Close() }()
	return list, replay.Save(f, list)
}

func readTrace(name string) ([]replay.Arrival, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("open trace: %w", err)
	}
	defer func() { _ = f.Close() }()
	return replay.Read(f)
}
