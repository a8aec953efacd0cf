package world

import (
	"slices"

	"shallotgap/core/drain"
	"shallotgap/core/ident"
	"shallotgap/core/work"
)

// EntryQuery is a caller's question which entry hosts to use.
type EntryQuery struct {
	// Domain is the caller's failure domain; its hosts come first.
	Domain ident.DomainID
	// Request names the model or service that the caller means to use; nil when it names none.
	Request *work.Request
	// Spread shifts the order among equal hosts, so that callers do not all take the same one.
	Spread int
}

// Entries returns the hosts that a caller may use, best first: the owner of the endpoint that would serve the
// request, which saves a hop, then the hosts of the caller's failure domain, then the others. Hosts that stop or
// hold no lease are left out, unless no other is left.
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

func (w *World) unusable(h ident.HostID) bool {
	return slices.Contains(w.hostsDown, h) || w.state.Stops.Stopping(drain.Host, string(h))
}

func (w *World) domainDistance(h ident.HostID, d ident.DomainID) int {
	if w.domain(h) == d {
		return 0
	}
	return 1
}

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

// rotate returns the list begun at its n-th element, counted round.
func rotate[T any](list []T, n int) []T {
	if len(list) == 0 {
		return list
	}
	n %= len(list)
	return append(slices.Clone(list[n:]), list[:n]...)
}

// hostNames returns all hosts of the settings, as a copy.
func (w *World) hostNames() []ident.HostID {
	list := make([]ident.HostID, 0, len(w.Peers))
	for _, p := range w.Peers {
		list = append(list, p.Host)
	}
	return list
}
