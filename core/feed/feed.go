// Package feed brings the public part of the replicated state to the hosts that hold no log.
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

// Update brings a host from index From to index To, by commands or by a snapshot.
type Update struct {
	From     ident.Index      `json:"from"`
	To       ident.Index      `json:"to"`
	Commands []IndexedCommand `json:"commands,omitempty"`
	Snapshot *state.Snapshot  `json:"snapshot,omitempty"`
}

// MaxRecent is the number of commands kept for deltas; a host further behind gets a snapshot.
const MaxRecent = 4096

// Recent keeps the latest public commands on a voter.
type Recent struct {
	// start is the index after which all public commands are kept.
	start    ident.Index
	commands []IndexedCommand
}

// NewRecent returns an empty list for a state that has applied start.
func NewRecent(start ident.Index) *Recent { return &Recent{start: start} }

// Add keeps a command that was applied, if other hosts have to follow it.
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

// Since returns the update that brings a host from its applied index to that of s.
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

// Apply brings s forward. An update that does not join on to the applied index changes nothing.
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
