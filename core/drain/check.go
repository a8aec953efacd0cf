package drain

import (
	"fmt"
	"math"
	"slices"

	"shallotgap/core/ident"
	"shallotgap/core/lease"
)

// Member is an entry host as the leader sees it when it appends a command to the log.
type Member struct {
	Host   ident.HostID   `json:"host"`
	Domain ident.DomainID `json:"domain"`
	Voter  bool           `json:"voter,omitempty"`
	// Down is true for a host without a lease.
	Down bool `json:"down,omitempty"`
}

// RefusedError is the reason why a planned stop is rejected.
type RefusedError struct {
	Stop   StopID
	Reason string
}

func (e *RefusedError) Error() string { return fmt.Sprintf("stop %s: %s", e.Stop, e.Reason) }

// refusal returns a RefusedError for a stop.
func refusal(s Stop, format string, args ...any) error {
	return &RefusedError{Stop: s.ID(), Reason: fmt.Sprintf(format, args...)}
}

// hostsOf returns the entry hosts that a stop covers.
func hostsOf(s Stop, members []Member) []ident.HostID {
	var list []ident.HostID
	for _, m := range members {
		if (s.Target == Host && s.Name == string(m.Host)) || (s.Target == Domain && s.Name == string(m.Domain)) {
			list = append(list, m.Host)
		}
	}
	return list
}

// CheckStart returns why the drain of a planned stop can't start at the wall-clock second wall, or nil.
func (s *Stops) CheckStart(stop Stop, members []Member, wall int64, owners *lease.Owners) error {
	return s.check(stop, members, wall, owners)
}

// check rejects a stop that, together with the stops that overlap it in time, leaves no majority of the voters, no entry host, or
// no replica of a service. It runs when the command is applied, so that of two concurrent commands the second one is checked
// against the first.
func (s *Stops) check(stop Stop, members []Member, wall int64, owners *lease.Owners) error {
	concurrent := s.overlapping(stop, wall)
	covered := 0
	for _, e := range owners.All() {
		if stop.CoversEndpoint(e.Endpoint) {
			covered++
		}
	}
	if covered == 0 && len(stop.Hosts) == 0 {
		return refusal(stop, "there is no such %s", stop.Target)
	}
	if len(stop.Hosts) > 0 {
		if err := checkMembers(stop, concurrent, members, wall); err != nil {
			return err
		}
	}
	return checkReplicas(stop, concurrent, owners)
}

// checkMembers rejects a stop that leaves no majority of the voters or no entry host. A host that is down now counts as
// lost only if the stop is due.
func checkMembers(stop Stop, concurrent []Stop, members []Member, wall int64) error {
	due := stop.At <= wall
	voters, votersLeft, hostsLeft := 0, 0, 0
	for _, m := range members {
		remaining := !(due && m.Down) && !slices.ContainsFunc(concurrent, func(o Stop) bool { return o.CoversHost(m.Host) })
		if remaining {
			hostsLeft++
		}
		if !m.Voter {
			continue
		}
		voters++
		if remaining {
			votersLeft++
		}
	}
	if votersLeft <= voters/2 {
		return refusal(stop, "only %d of %d voters would be left, which is no majority", votersLeft, voters)
	}
	if hostsLeft == 0 {
		return refusal(stop, "no entry host would be left")
	}
	return nil
}

// replicaSet identifies endpoints that can replace each other.
type replicaSet struct {
	kind    lease.Kind
	service ident.Service
}

// checkReplicas rejects a stop that covers the last replica of a service.
func checkReplicas(stop Stop, concurrent []Stop, owners *lease.Owners) error {
	remaining := map[replicaSet]int{}
	for _, e := range owners.All() {
		covered := e.Leaving || slices.ContainsFunc(concurrent, func(o Stop) bool { return o.CoversEndpoint(e.Endpoint) })
		if !covered {
			remaining[replicaSet{e.Kind, e.Service}]++
		}
	}
	for _, e := range owners.All() {
		if stop.CoversEndpoint(e.Endpoint) && remaining[replicaSet{e.Kind, e.Service}] == 0 {
			return refusal(stop, "%s is the last replica of %s %s", e.ID, e.Kind, e.Service)
		}
	}
	return nil
}

// overlapping returns the stop itself and all other stops that overlap it in time.
func (s *Stops) overlapping(stop Stop, wall int64) []Stop {
	list := []Stop{stop}
	for id, o := range s.stops.All() {
		if id == stop.ID() {
			continue
		}
		if begin(o, wall) < end(stop, wall) && begin(stop, wall) < end(o, wall) {
			list = append(list, o)
		}
	}
	return list
}

// begin returns the second from which a stop's targets are unavailable; 0 for a stop whose drain has started.
func begin(s Stop, wall int64) int64 {
	if s.Phase != Planned {
		return 0
	}
	return max(s.At, wall)
}

// end returns the planned end of a stop. A stop that is past its planned end lasts until it is withdrawn.
func end(s Stop, wall int64) int64 {
	if s.Until == 0 || s.Until <= wall {
		return math.MaxInt64
	}
	return s.Until
}
