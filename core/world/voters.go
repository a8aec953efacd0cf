package world

import (
	"slices"

	"shallotgap/core/ident"
)

// diskHosts returns the hosts with a data folder, in the order of the settings.
func (w *World) diskHosts() []ident.HostID {
	var list []ident.HostID
	for _, p := range w.Peers {
		if p.Disk {
			list = append(list, p.Host)
		}
	}
	return list
}

// domains returns the failure domain of each host.
func (w *World) domains() map[ident.HostID]ident.DomainID {
	domains := map[ident.HostID]ident.DomainID{}
	for _, p := range w.Peers {
		domains[p.Host] = p.Domain
	}
	return domains
}

// voterCount returns the number of voters: the configured number, at most the number of hosts with a data folder, or by
// default the largest of 1, 3 and 5 that does not exceed that number.
func voterCount(wanted, disks int) int {
	switch {
	case wanted > 0:
		return min(wanted, disks)
	case disks >= 5:
		return 5
	case disks >= 3:
		return 3
	default:
		return min(1, disks)
	}
}

// initialVoters returns the hosts that vote when the system is first started, spread over the failure domains.
func (w *World) initialVoters() []ident.HostID {
	disks := w.diskHosts()
	voters := voterCount(w.Params.Voters, len(disks))
	domains := w.domains()
	used := map[ident.DomainID]int{}
	var list []ident.HostID
	for len(list) < voters {
		best := slices.MinFunc(disks, func(x, y ident.HostID) int { return used[domains[x]] - used[domains[y]] })
		used[domains[best]]++
		list = append(list, best)
		disks = slices.DeleteFunc(disks, func(h ident.HostID) bool { return h == best })
	}
	slices.Sort(list)
	return list
}
