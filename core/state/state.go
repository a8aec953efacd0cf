// Package state is the replicated state machine: the operators' table, endpoint ownership, planned stops, claims.
package state

import (
	"shallotgap/core/claim"
	"shallotgap/core/drain"
	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/rows"
)

// Command is one log entry's content; exactly one field is set, besides Wall.
type Command struct {
	// Wall is the proposing leader's wall clock in Unix seconds, so that all replicas expire alike.
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
	// ReadClaim reads a claim in the order of the log, so that no former leader can answer.
	ReadClaim *claim.Name `json:"look,omitempty"`
}

// Depart forgets an endpoint instance.
type Depart = lease.Departure

// ForEntryHosts reports whether entry hosts without a data folder receive the command; claims stay with the voters.
func (c Command) ForEntryHosts() bool { return !c.Claims() }

// Claims reports whether the command reads or changes claims only.
func (c Command) Claims() bool {
	return c.Open != nil || c.Close != nil || c.Abandon != nil || c.ReadClaim != nil
}

// Result is what applying a command gave.
type Result struct {
	Index ident.Index   `json:"index"`
	Edit  *rows.Result  `json:"edit,omitempty"`
	Mark  *drain.Result `json:"mark,omitempty"`
	Claim *claim.Result `json:"claim,omitempty"`
	// Err is set when the command could not be proposed; it did not happen.
	Err string `json:"err,omitempty"`
}

// State is the replicated state as of Applied.
type State struct {
	Applied ident.Index
	Rows    *rows.Table
	Owners  *lease.Owners
	Stops   *drain.Stops
	Claims  *claim.Registry
}

// Changed reports whether the command changed the state that other hosts follow: an edit counts only when it was
// accepted here, not when a resent one got its first result again.
func (r Result) Changed() bool {
	return r.Edit == nil || (r.Edit.Verdict == rows.Accepted && r.Edit.Index == r.Index)
}

// New returns the empty state before the first entry.
func New() *State {
	return &State{Rows: rows.New(), Owners: lease.NewOwners(), Stops: drain.NewStops(), Claims: claim.New()}
}

// Apply runs the command of entry i. A lower index than the applied one changes nothing.
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
		s.Owners.Announce(*c.Announce)
	case c.Depart != nil:
		s.Owners.Depart(*c.Depart, c.Wall)
	case c.Assign != nil:
		s.Owners.Assign(i, *c.Assign)
	case c.Mark != nil:
		r := s.Stops.Mark(*c.Mark, c.Wall, s.Owners)
		res.Mark = &r
	case c.Progress != nil:
		s.Stops.Advance(i, *c.Progress, c.Wall, s.Owners)
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

// ApplyAccepted runs a command that had an effect at log position i, on a host without a log.
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

// Skip raises the applied index over entries that carry nothing for this host.
func (s *State) Skip(i ident.Index) { s.Applied = max(s.Applied, i) }

// Snapshot is the whole state in a form that can be stored and sent.
type Snapshot struct {
	Applied ident.Index    `json:"applied"`
	Rows    rows.Snapshot  `json:"rows"`
	Owners  []lease.Owned  `json:"owners"`
	Gone    []lease.Owned  `json:"gone,omitempty"`
	Stops   drain.Snapshot `json:"stops"`
	Claims  []claim.Record `json:"claims,omitempty"`
	// Clock is the latest wall-clock second (Unix) by which claims expired.
	Clock int64 `json:"clock,omitempty"`
}

// Snapshot returns a copy of the state; voters get all of it, other hosts neither claims nor the results of edits.
func (s *State) Snapshot(voter bool) Snapshot {
	snap := Snapshot{Applied: s.Applied, Rows: s.Rows.Snapshot(voter), Owners: s.Owners.List(), Gone: s.Owners.ListDeparted(), Stops: s.Stops.Snapshot()}
	if voter {
		snap.Claims = s.Claims.List()
		snap.Clock = s.Claims.Clock()
	}
	return snap
}

// Restore returns the state that s was taken from.
func Restore(s Snapshot) *State {
	claims := claim.Restore(s.Claims)
	claims.Expire(s.Clock)
	return &State{
		Applied: s.Applied,
		Rows:    rows.Restore(s.Rows),
		Owners:  lease.RestoreOwners(s.Owners, s.Gone),
		Stops:   drain.RestoreStops(s.Stops),
		Claims:  claims,
	}
}
