package drain

import (
	"fmt"
	"math"
	"slices"

	"shallotgap/core/ident"
	"shallotgap/core/lease"
)

// Member is an entry host as the leader knows it when it appends a command.
type Member struct {
	Host   ident.HostID   `json:"host"`
	Domain ident.DomainID `json:"domain"`
	Voter  bool           `json:"voter,omitempty"`
	// Down is true for a host without a lease.
	Down bool `json:"down,omitempty"`
}

// RefusedError tells why a stop cannot be: it would take away what the system needs.
type RefusedError struct {
	Stop   StopID
	Reason string
}

// Error returns "stop ID: reason".
func (e *RefusedError) Error() string { return fmt.Sprintf("stop %s: %s", e.Stop, e.Reason) }

func refused(s Stop, format string, args ...any) error {
	return &RefusedError{Stop: s.ID(), Reason: fmt.Sprintf(format, args...)}
}

func hostsOf(s Stop, members []Member) []ident.HostID {
	var list []ident.HostID
	for _, m := range members {
		if (s.Target == Host && s.Name == string(m.Host)) || (s.Target == Domain && s.Name == string(m.Domain)) {
			list = append(list, m.Host)
		}
	}
	return list
}

// CheckStart returns why the drain of a planned stop could not start now, or nil.
func (s *Stops) CheckStart(stop Stop, members []Member, wall int64, owners *lease.Owners) error {
	return s.check(stop, members, wall, owners)
}

// check refuses a stop that, together with those at the same time, breaks the majority of the voters, takes the
// last entry host, or takes the last replica of a service. It runs where the log is applied, so that of two stops
// at once the second one sees the first.
func (s *Stops) check(stop Stop, members []Member, wall int64, owners *lease.Owners) error {
	together := s.overlapping(stop, wall)
	taken := 0
	for _, e := range owners.All() {
		if stop.CoversEndpoint(e.Endpoint) {
			taken++
		}
	}
	if taken == 0 && len(stop.Hosts) == 0 {
		return refused(stop, "there is no such %s", stop.Target)
	}
	if len(stop.Hosts) > 0 {
		if err := checkMembers(stop, together, members, wall); err != nil {
			return err
		}
	}
	return checkReplicas(stop, together, owners)
}

// checkMembers counts the hosts that are left; those that are down now count as lost when the stop is due.
func checkMembers(stop Stop, together []Stop, members []Member, wall int64) error {
	due := stop.At <= wall
	voters, votersLeft, hostsLeft := 0, 0, 0
	for _, m := range members {
		left := !(due && m.Down) && !slices.ContainsFunc(together, func(o Stop) bool { return o.CoversHost(m.Host) })
		if left {
			hostsLeft++
		}
		if !m.Voter {
			continue
		}
		voters++
		if left {
			votersLeft++
		}
	}
	if votersLeft <= voters/2 {
		return refused(stop, "only %d of %d voters would be left, which is no majority", votersLeft, voters)
	}
	if hostsLeft == 0 {
		return refused(stop, "no entry host would be left")
	}
	return nil
}

// replicaSet names the replicas that can stand in for one another.
type replicaSet struct {
	kind    lease.Kind
	service ident.Service
}

func checkReplicas(stop Stop, together []Stop, owners *lease.Owners) error {
	left := map[replicaSet]int{}
	for _, e := range owners.All() {
		taken := e.Leaving || slices.ContainsFunc(together, func(o Stop) bool { return o.CoversEndpoint(e.Endpoint) })
		if !taken {
			left[replicaSet{e.Kind, e.Service}]++
		}
	}
	for _, e := range owners.All() {
		if stop.CoversEndpoint(e.Endpoint) && left[replicaSet{e.Kind, e.Service}] == 0 {
			return refused(stop, "%s is the last replica of %s %s", e.ID, e.Kind, e.Service)
		}
	}
	return nil
}

// overlapping returns the stop itself and all other stops that stand at the same time.
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

func begin(s Stop, wall int64) int64 {
	if s.Phase != Planned {
		return 0
	}
	return max(s.At, wall)
}

// end is the planned end; a stop that stands past its end is over only once it is withdrawn.
func end(s Stop, wall int64) int64 {
	if s.Until == 0 || s.Until <= wall {
		return math.MaxInt64
	}
	return s.Until
}
