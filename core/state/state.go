// Package state is the replicated state machine of a deployment: the operators' table, endpoint ownership, planned stops
// and claims of requests that must run at most once.
package state

import (
	"shallotgap/core/claim"
	"shallotgap/core/drain"
	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/limit"
	"shallotgap/core/poison"
	"shallotgap/core/rows"
)

// Command is the content of one log entry; exactly one field besides Wall is set.
type Command struct {
	// Wall is the proposing leader's wall clock in Unix seconds; it makes all replicas expire records at the same entry.
	Wall     int64           `json:"wall,omitempty"`
	Edit     *rows.Edit      `json:"edit,omitempty"`
	Announce *lease.Endpoint `json:"announce,omitempty"`
	Depart   *Depart         `json:"depart,omitempty"`
	Assign   *lease.Assign   `json:"assign,omitempty"`
	Mark     *drain.Mark     `json:"mark,omitempty"`
	Progress *drain.Progress `json:"progress,omitempty"`
	Open     *claim.Open     `json:"open,omitempty"`
	Close    *claim.Close    `json:"close,omitempty"`
	Abandon  *claim.Abandon  `json:"abandon,omitempty"`
	// ReadClaim reads a claim as a log entry, so that a superseded leader cannot answer with outdated state.
	ReadClaim *claim.Name `json:"look,omitempty"`
	// Poison changes the suspected and blocked contents of requests.
	Poison *poison.Command `json:"poison,omitempty"`
	// Limits changes the limits that endpoints name in their answers.
	Limits *limit.Command `json:"limits,omitempty"`
}

// Depart removes an endpoint instance.
type Depart = lease.Departure

// ForEntryHosts reports whether entry hosts without a data folder receive the command; claims are kept by the voters only.
func (c Command) ForEntryHosts() bool { return !c.Claims() }

// Claims reports whether the command reads or changes claims.
func (c Command) Claims() bool {
	return c.Open != nil || c.Close != nil || c.Abandon != nil || c.ReadClaim != nil
}

// Result is the outcome of a command. The field for the command's type is set, if that type has a result.
type Result struct {
	Index ident.Index   `json:"index"`
	Edit  *rows.Result  `json:"edit,omitempty"`
	Mark  *drain.Result `json:"mark,omitempty"`
	Claim *claim.Result `json:"claim,omitempty"`
	// Err is set when the command could not be proposed and therefore had no effect.
	Err string `json:"err,omitempty"`
}

// State is the replicated state after the log entry Applied.
type State struct {
	Applied ident.Index
	Rows    *rows.Table
	Owners  *lease.Owners
	Stops   *drain.Stops
	Claims  *claim.Registry
	// Poison holds the contents of requests that are suspected to crash endpoints or are blocked for it.
	Poison *poison.Table
	// Limits holds the limits that endpoints ask for.
	Limits *limit.Table
}

// Changed reports whether the command may have changed the state, so that hosts without a data folder need it. A rejected
// edit changes nothing, nor does a resent edit that got the result of the first one.
func (r Result) Changed() bool {
	return r.Edit == nil || (r.Edit.Verdict == rows.Accepted && r.Edit.Index == r.Index)
}

// New returns the empty state before the first log entry.
func New() *State {
	return &State{Rows: rows.New(), Owners: lease.NewOwners(), Stops: drain.NewStops(), Claims: claim.New(), Poison: poison.NewTable(), Limits: limit.NewTable()}
}

// Apply applies the command of log entry i. An entry that is already applied changes nothing.
func (s *State) Apply(i ident.Index, c Command) Result {
	res := Result{Index: i}
	if i <= s.Applied {
		return res
	}
	s.Applied = i
	switch {
	case c.Edit != nil:
		r := s.Rows.Apply(i, *c.Edit)
		res.Edit = &r
	case c.Announce != nil:
		s.Owners.Announce(*c.Announce, c.Wall)
	case c.Depart != nil:
		s.Owners.Depart(*c.Depart, c.Wall)
	case c.Assign != nil:
		s.Owners.Assign(i, *c.Assign)
	case c.Mark != nil:
		r := s.Stops.Mark(*c.Mark, c.Wall, s.Owners)
		res.Mark = &r
	case c.Progress != nil:
		s.Stops.Advance(i, *c.Progress, c.Wall, s.Owners)
	case c.Poison != nil:
		s.Poison.Apply(*c.Poison)
	case c.Limits != nil:
		s.Limits.Apply(*c.Limits)
	default:
		s.applyClaim(c, &res)
	}
	return res
}

func (s *State) applyClaim(c Command, res *Result) {
	s.Claims.Expire(c.Wall)
	switch {
	case c.Open != nil:
		r := s.Claims.Open(*c.Open)
		res.Claim = &r
	case c.Close != nil:
		s.Claims.Close(*c.Close)
	case c.Abandon != nil:
		s.Claims.Abandon(*c.Abandon)
	case c.ReadClaim != nil:
		res.Claim = &claim.Result{}
		if r, ok := s.Claims.Get(*c.ReadClaim); ok {
			res.Claim.Record = &r
		}
	}
}

// ApplyAccepted applies the command of log entry i on a host without a log, which receives only commands with an effect.
func (s *State) ApplyAccepted(i ident.Index, c Command) {
	if c.Edit == nil {
		s.Apply(i, c)
		return
	}
	if i > s.Applied {
		s.Applied = i
		s.Rows.ApplyAccepted(i, *c.Edit)
	}
}

// Skip raises the applied index to i, past entries that have no command for this host.
func (s *State) Skip(i ident.Index) { s.Applied = max(s.Applied, i) }

// Snapshot is the state in the form in which it is stored and sent to other hosts.
type Snapshot struct {
	Applied  ident.Index    `json:"applied"`
	Rows     rows.Snapshot  `json:"rows"`
	Owners   []lease.Owned  `json:"owners"`
	Departed []lease.Owned  `json:"gone,omitempty"`
	Stops    drain.Snapshot `json:"stops"`
	Claims   []claim.Record `json:"claims,omitempty"`
	// Clock is the wall-clock second (Unix) up to which claims have been expired; expiry continues from this time.
	Clock  int64           `json:"clock,omitempty"`
	Poison poison.Snapshot `json:"poison,omitempty"`
	Limits limit.Snapshot  `json:"limits,omitempty"`
}

// Snapshot returns a copy of the state: all of it for a voter, without claims and results of edits for other hosts.
func (s *State) Snapshot(voter bool) Snapshot {
	snap := Snapshot{Applied: s.Applied, Rows: s.Rows.Snapshot(voter), Owners: s.Owners.List(), Departed: s.Owners.ListDeparted(), Stops: s.Stops.Snapshot(), Poison: s.Poison.Snapshot(), Limits: s.Limits.Snapshot()}
	if voter {
		snap.Claims = s.Claims.List()
		snap.Clock = s.Claims.Clock()
	}
	return snap
}

// Restore returns the state with the content of s.
func Restore(s Snapshot) *State {
	claims := claim.Restore(s.Claims)
	claims.Expire(s.Clock)
	return &State{
		Applied: s.Applied,
		Rows:    rows.Restore(s.Rows),
		Owners:  lease.RestoreOwners(s.Owners, s.Departed),
		Stops:   drain.RestoreStops(s.Stops),
		Claims:  claims,
		Poison:  poison.Restore(s.Poison),
		Limits:  limit.Restore(s.Limits),
	}
}
