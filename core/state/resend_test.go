package state_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/claim"
	"shallotgap/core/drain"
	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/rows"
	"shallotgap/core/state"
)

func edit(id ident.EditID, from ident.RowVersion, version ident.Version) state.Command {
	return state.Command{Edit: &rows.Edit{ID: id, Key: "w/a", From: from, Row: &rows.Row{Workspace: "w", Adapter: "a", Version: version, Weight: 1}}}
}

func mark(id ident.EditID, withdraw bool) state.Command {
	return state.Command{Mark: &drain.Mark{ID: id, Target: drain.Host, Name: "e1", Withdraw: withdraw}}
}

func announce(instance ident.Incarnation) state.Command {
	return state.Command{Announce: &lease.Endpoint{ID: "p", Kind: lease.Plain, Instance: instance}}
}

func assign(to ident.HostID, from ident.Fence) state.Command {
	return state.Command{Assign: &lease.Assign{Endpoint: "p", Owner: to, From: from}}
}

func depart(instance ident.Incarnation, fence ident.Fence) state.Command {
	return state.Command{Depart: &state.Depart{Endpoint: "p", Instance: instance, Fence: fence}}
}

func open(request uint64) state.Command {
	return state.Command{Open: &claim.Open{Name: claim.Name{Workspace: "w", Key: "k"}, Request: ident.RequestID{Seq: request}, Expires: 100}}
}

func closed(request uint64, s claim.State) state.Command {
	return state.Command{Close: &claim.Close{Name: claim.Name{Workspace: "w", Key: "k"}, Request: ident.RequestID{Seq: request}, State: s}}
}

// Hosts resend commands that got no reply, so a resent command may be applied after later commands. It must not undo these.
func TestDelayedRepetitionChangesNothing(t *testing.T) {
	cases := map[string][]state.Command{ // the last command is the delayed resend
		"edit":                                {edit("1", 0, "v1"), edit("2", 1, "v2"), edit("1", 0, "v1")},
		"edit after its row's deletion":       {edit("1", 0, "v1"), {Edit: &rows.Edit{ID: "2", Key: "w/a", From: 1}}, edit("1", 0, "v1")},
		"mark after its withdrawal":           {mark("1", false), mark("2", true), mark("1", false)},
		"withdrawal after a new mark":         {mark("1", false), mark("2", true), mark("3", false), mark("2", true)},
		"announcement by an earlier instance": {announce(1), announce(2), announce(1)},
		"departure after a return":            {announce(1), assign("e1", 0), depart(1, 2), announce(1), assign("e2", 2), depart(1, 2)},
		"departure of an earlier instance":    {announce(1), announce(2), depart(1, 0)},
		"assignment":                          {announce(1), assign("e1", 0), assign("e2", 2), assign("e1", 0)},
		"claim after its release":             {open(1), closed(1, claim.Released), open(2), closed(1, claim.Released)},
		"outcome":                             {open(1), closed(1, claim.Done), closed(1, claim.InDoubt)},
	}
	for name, commands := range cases {
		for _, restored := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				s := state.New()
				last := len(commands) - 1
				for i, c := range commands[:last] {
					s.Apply(ident.Index(i+1), c)
				}
				if restored {
					s = state.Restore(s.Snapshot(true))
				}
				before := s.Snapshot(true)
				s.Apply(ident.Index(last+1), commands[last])
				after := s.Snapshot(true)
				after.Applied = before.Applied
				assert.DeepEqual(t, after, before)
			})
		}
	}
}

// A resent command gets the result of its first application, also from a state that was restored from a snapshot.
func TestRepetitionReturnsFirstResult(t *testing.T) {
	for name, commands := range map[string][]state.Command{
		"edit":     {edit("1", 0, "v1"), edit("2", 1, "v2")},
		"conflict": {edit("1", 0, "v1"), edit("2", 0, "v2"), edit("3", 1, "v3")},
		"mark":     {mark("1", false), mark("2", true)},
	} {
		t.Run(name, func(t *testing.T) {
			s := state.New()
			var first []state.Result
			for i, c := range commands {
				first = append(first, s.Apply(ident.Index(i+1), c))
			}
			s = state.Restore(s.Snapshot(true))
			for i, c := range commands {
				res := s.Apply(ident.Index(i+10), c)
				assert.DeepEqual(t, res.Edit, first[i].Edit)
				assert.DeepEqual(t, res.Mark, first[i].Mark)
				assert.Assert(t, res.Mark != nil || !res.Changed())
			}
		})
	}
}

// An endpoint that departs and returns keeps its owner, which may not have learned of the departure and may still serve.
func TestReturnedEndpointKeepsItsOwner(t *testing.T) {
	s := state.New()
	for i, c := range []state.Command{announce(1), assign("e1", 0), depart(1, 2), announce(2)} {
		s.Apply(ident.Index(i+1), c)
		s = state.Restore(s.Snapshot(true))
	}
	e, _ := s.Owners.Get("p")
	assert.Equal(t, e.Owner, ident.HostID("e1"))
	assert.Equal(t, e.Fence, ident.Fence(2))
}
