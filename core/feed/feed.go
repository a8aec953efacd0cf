// Package feed replicates the public part of the state from the voters to hosts without a log of their own.
package feed

import (
	"shallotgap/core/ident"
	"shallotgap/core/state"
)

// IndexedCommand is a command with its log index.
type IndexedCommand struct {
	Index   ident.Index   `json:"index"`
	Command state.Command `json:"command"`
}

// Update brings the state of a host from index From to index To, by commands or by a snapshot.
type Update struct {
	From     ident.Index      `json:"from"`
	To       ident.Index      `json:"to"`
	Commands []IndexedCommand `json:"commands,omitempty"`
	Snapshot *state.Snapshot  `json:"snapshot,omitempty"`
}

// MaxRecent is the number of commands that a voter keeps for updates. A host that lags further behind gets a snapshot.
const MaxRecent = 4096

// Recent holds the latest public commands on a voter: those that entry hosts apply to their state.
type Recent struct {
	// start is the index after which commands holds all public commands.
	start    ident.Index
	commands []IndexedCommand
}

// NewRecent returns an empty list for a state that has applied the log up to index start.
func NewRecent(start ident.Index) *Recent { return &Recent{start: start} }

// Add appends an applied command, if the command is public and changed the state.
func (r *Recent) Add(i ident.Index, c state.Command, res state.Result) {
	if !c.ForEntryHosts() || !res.Changed() {
		return
	}
	r.commands = append(r.commands, IndexedCommand{Index: i, Command: c})
	if len(r.commands) > MaxRecent {
		r.start = r.commands[0].Index
		r.commands = r.commands[1:]
	}
}

// Since returns the update that brings a host from index from to the applied index of s.
func (r *Recent) Since(from ident.Index, s *state.State) Update {
	u := Update{From: from, To: s.Applied}
	if from < r.start {
		snap := s.Snapshot(false)
		u.Snapshot = &snap
		return u
	}
	for n := len(r.commands) - 1; n >= 0 && r.commands[n].Index > from; n-- {
		u.Commands = r.commands[n:]
	}
	return u
}

// Apply returns the state after an update. It ignores an update that ends at or before the applied index of s, and an update by
// commands that starts after that index, as it would leave a gap.
func Apply(s *state.State, u Update) *state.State {
	if u.To <= s.Applied {
		return s
	}
	if u.Snapshot != nil {
		return state.Restore(*u.Snapshot)
	}
	if u.From > s.Applied {
		return s
	}
	for _, c := range u.Commands {
		s.ApplyAccepted(c.Index, c.Command)
	}
	s.Skip(u.To)
	return s
}
