package cmds

import (
	"fmt"
	"time"

	"shallotgap/core/ident"
	"shallotgap/io/admin"
	"shallotgap/io/texts"
)

// spreadEvery is the interval between two looks at the hosts while a change spreads.
const spreadEvery = 50 * time.Millisecond

// Spread are the flags of commands that can wait until a change is in force everywhere.
type Spread struct {
	Wait      bool          `help:"Wait until the change is in force on every host; shows progress."`
	WaitLimit time.Duration `help:"Longest wait." default:"10s"`
}

// await waits until every host has applied index, and writes a progress line whenever the number of hosts grows.
func (s Spread) await(env *Env, r Remote, index ident.Index) error {
	if !s.Wait || index == 0 {
		return nil
	}
	shown := -1
	end := time.Now().Add(s.WaitLimit)
	for {
		list, err := askAll[admin.Status](env.Context, r, "/admin/status")
		if err != nil {
			return err
		}
		missing := behind(list, index)
		if n := len(list) - len(missing); n > shown {
			shown = n
			_, _ = fmt.Fprintf(env.Err, texts.ApplyProgress, n, len(list))
		}
		if len(missing) == 0 {
			return nil
		}
		if time.Now().After(end) {
			return coded(NotInForce, fmt.Errorf(texts.NotInForce, index, missing, s.WaitLimit))
		}
		select {
		case <-env.Context.Done():
			return env.Context.Err()
		case <-time.After(spreadEvery):
		}
	}
}

// behind returns the hosts that have not applied index, or gave no answer.
func behind(list []asked[admin.Status], index ident.Index) []ident.HostID {
	var names []ident.HostID
	for _, a := range list {
		if a.Err != "" || a.Answer.Applied < index {
			names = append(names, a.Host.Host)
		}
	}
	return names
}
