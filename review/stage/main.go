//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	recordsFile = "record.txt"
)

// cases are the scripted cases by name; trouble is false for the run without the disruption.
var cases = map[string]func(s *site, trouble bool) error{}

// tools are stand-ins that run as processes of their own.
var tools = map[string]func(args []string) error{}

func main() {
	if len(os.Args) > 1 && tools[os.Args[1]] != nil {
		if err := tools[os.Args[1]](os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitNotRun)
		}
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	r, err := newRecord(filepath.Join(folder, recordsFile))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	s, err := newSite(r, 2)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	if err := s.start(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if err := cases[name](s, os.Getenv("TROUBLE") != "0"); err != nil {
		r.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return r.verdict()
}
