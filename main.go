// Command shallotgap serves a very large number of LoRA adapters over shared base models.
package main

import (
	"os"

	"shallotgap/io/cmds"
)

func main() { os.Exit(cmds.Run(os.Args[1:], os.Stdout, os.Stderr)) }
