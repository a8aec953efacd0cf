package main

import (
	"fmt"
	"os"

	"shallotgap/core/world"
	"shallotgap/fakes/replay"
)

// replayer is the command that replays a trace of requests in virtual time to measure the serving decisions.
type replayer struct {
	Profile string `default:"zahlwerk" enum:"zahlwerk,mungitura" help:"Deployment: zahlwerk or mungitura."`
	Seed    uint64 `default:"1" help:"Seed of the trace."`
	Faults  bool   `help:"Restart engines empty and fail loads."`
	Trace   string `help:"Read the arrivals from this file instead of generating them." type:"existingfile"`
	Save    string `help:"Write the arrivals to this file."`
}

// Run replays one trace with the baseline policy and with the decision core, and prints both results.
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

// trace returns the arrivals from the trace file, or else generates them and, if Save is set, saves
// them.
func (c *replayer) trace(p replay.Profile) ([]replay.Arrival, error) {
	if c.Trace != "" {
		return readTrace(c.Trace)
	}
	arrivals := replay.Generate(p, c.Seed)
	if c.Save == "" {
		return arrivals, nil
	}
	f, err := os.Create(c.Save)
	if err != nil {
		return nil, fmt.Errorf("save trace: %w", err)
	}
	defer func() { _ = f.Close() }()
	return arrivals, replay.Save(f, arrivals)
}

// readTrace reads a trace file.
func readTrace(name string) ([]replay.Arrival, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("open trace: %w", err)
	}
	defer func() { _ = f.Close() }()
	return replay.Read(f)
}
