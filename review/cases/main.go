//go:build review

// Command cases plays the review's cases against the processes of the deploy file.
//
//	cases CASE PROGRAM RECORD
//
// It exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could not run. With TROUBLE=0 in the environment it plays the
// case without its disruption.
package main

import (
	"fmt"
	"os"
)

// verdict is the result of a case.
type verdict int

const (
	held verdict = iota
	broken
)

// couldNotRun is the exit status of a case that could not run.
const couldNotRun = 2

var cases = map[string]func(d *deployment, trouble bool) (verdict, error){
	"lost-leave":  lostLeave,
	"same-name":   sameName,
	"same-model":  sameModel,
	"over-weight": overWeight,
	"revived":     revived,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases CASE PROGRAM RECORD")
		return couldNotRun
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer rec.close()
	d, err := newDeployment(rec, os.Args[2])
	if d != nil {
		defer d.close()
		go d.closeOnSignal()
	}
	if err != nil {
		rec.say("could not run: %v", err)
		return couldNotRun
	}
	v, err := cases[os.Args[1]](d, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.say("could not run: %v", err)
		return couldNotRun
	}
	if v == broken {
		rec.say("the rule was broken")
		return 1
	}
	rec.say("the rule held")
	return 0
}
