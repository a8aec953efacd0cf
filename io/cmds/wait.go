package cmds

import (
	"fmt"
	"time"

	"shallotgap/core/ident"
	"shallotgap/io/admin"
	"shallotgap/io/texts"
)

// applyPollInterval is the interval at which hosts are polled for their applied index.
const applyPollInterval = 50 * time.Millisecond

// WaitFlags holds the flags of commands that can wait until a change is in force on every host.
type WaitFlags struct {
	Wait      bool          `help:"Wait until the change is in force on every host; shows progress."`
	WaitLimit time.Duration `help:"Longest wait." default:"10s"`
}

// awaitApplied waits, if --wait is set, until every host has applied the log up to index. It prints a progress line each time
// the number of these hosts grows.
func (f WaitFlags) awaitApplied(env *Env, r Remote, index ident.Index) error {
	if !f.Wait || index == 0 {
		return nil
	}
	shown := -1 // number of hosts in the last progress line
	deadline := time.Now().Add(f.WaitLimit)
	for {
		list, err := queryHosts[admin.Status](env.Context, r, "/admin/status")
		if err != nil {
			return err
		}
		missing := hostsBehind(list, index)
		if n := len(list) - len(missing); n > shown {
			shown = n
			_, _ = fmt.Fprintf(env.Err, texts.ApplyProgress, n, len(list))
		}
		if len(missing) == 0 {
			return nil
		}
		if time.Now().After(deadline) {
			return withCode(NotInForce, fmt.Errorf(texts.NotInForce, index, missing, f.WaitLimit))
		}
		select {
		case <-env.Context.Done():
			return env.Context.Err()
		case <-time.After(applyPollInterval):
		}
	}
}

// hostsBehind returns the hosts that have not applied index or did not answer.
func hostsBehind(list []hostAnswer[admin.Status], index ident.Index) []ident.HostID {
	var names []ident.HostID
	for _, a := range list {
		if a.Err != "" || a.Answer.Applied < index {
			names = append(names, a.Host.Host)
		}
	}
	return names
}
