package probe

import (
	"fmt"
	"io"
	"os"
)

// Command is the subcommand that runs one of the measurements.
type Command struct {
	What string `arg:"" enum:"detect,times,start,edits,idle" help:"What to measure: detect, times (both in virtual time), start, edits or idle."`
	// Folder is where measurements on a real disk create their data folders.
	Folder string `type:"path" help:"Folder for data folders; a temporary one by default."`
}

// Run runs the chosen measurement and prints its results to standard output.
func (c *Command) Run() error { return c.measure(os.Stdout) }

func (c *Command) measure(out io.Writer) error {
	folder, err := os.MkdirTemp(c.Folder, "probe")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	switch c.What {
	case "detect":
		return Detect(out)
	case "times":
		return Times(out)
	case "start":
		return Start(out, folder)
	case "edits":
		return Edits(out, folder)
	case "idle":
		return Idle(out, folder)
	default:
		return fmt.Errorf("unknown measurement %s", c.What)
	}
}
