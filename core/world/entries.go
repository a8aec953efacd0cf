package world

import (
	"slices"

	"shallotgap/core/drain"
	"shallotgap/core/ident"
	"shallotgap/core/work"
)

// EntryQuery asks which entry hosts a caller should use.
type EntryQuery struct {
	// Domain is the caller's failure domain; hosts in it are preferred.
	Domain ident.DomainID
	// Request names the model or service that the caller wants to use; nil if the caller names none.
	Request *work.Request
	// Spread rotates the order of equally ranked hosts, so that callers spread over them.
	Spread int
}

// Entries returns the entry hosts that a caller may use, best first: the owner of the endpoint that would serve the
// request, which saves a hop, then the hosts in the caller's failure domain, then all other hosts. Hosts that are being
// stopped or hold no lease are left out, unless no other host remains.
func (w *World) Entries(q EntryQuery) []ident.HostID {
	usable := slices.DeleteFunc(w.hostNames(), w.unusable)
	if len(usable) == 0 {
		usable = w.hostNames()
	}
	usable = rotate(usable, q.Spread)
	slices.SortStableFunc(usable, func(x, y ident.HostID) int {
		return w.domainDistance(x, q.Domain) - w.domainDistance(y, q.Domain)
	})
	return w.ownerFirst(usable, q.Request)
}

// unusable reports whether a host has no lease or is being stopped.
func (w *World) unusable(h ident.HostID) bool {
	return slices.Contains(w.hostsDown, h) || w.state.Stops.Stopping(drain.Host, string(h))
}

// domainDistance returns 0 for a host in the failure domain d, else 1.
func (w *World) domainDistance(h ident.HostID, d ident.DomainID) int {
	if w.domain(h) == d {
		return 0
	}
	return 1
}

// ownerFirst moves the owner of the endpoint that would serve the request to the front of the list.
func (w *World) ownerFirst(list []ident.HostID, r *work.Request) []ident.HostID {
	if r == nil {
		return list
	}
	c, _, ok := w.choose(*r)
	i := slices.Index(list, c.Owner)
	if !ok || i < 0 {
		return list
	}
	list = slices.Delete(list, i, i+1)
	return slices.Insert(list, 0, c.Owner)
}

// rotate returns the list rotated left by n elements.
func rotate[T any](list []T, n int) []T {
	if len(list) == 0 {
		return list
	}
	n %= len(list)
	return append(slices.Clone(list[n:]), list[:n]...)
}

// hostNames returns all hosts of the settings, as a new slice.
func (w *World) hostNames() []ident.HostID {
	list := make([]ident.HostID, 0, len(w.Peers))
	for _, p := range w.Peers {
		list = append(list, p.Host)
	}
	return list
}
