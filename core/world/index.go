package world

import (
	"iter"
	"slices"

	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/place"
	"shallotgap/core/route"
)

// routeIndex is what routing needs of the endpoints, made anew when ownership or endpoints change. With it a
// decision looks at the endpoints that have the adapter and at its first homes, not at all endpoints.
type routeIndex struct {
	seen   ownersSeen
	homes  *route.Homes
	plains map[ident.Service][]ident.EndpointID
}

// index returns the index of the present endpoints.
func (w *World) index() *routeIndex {
	seen := ownersSeen{state: w.state.Owners, revision: w.state.Owners.Revision()}
	if w.routes != nil && w.routes.seen == seen {
		return w.routes
	}
	index := &routeIndex{seen: seen, plains: map[ident.Service][]ident.EndpointID{}}
	var engines []ident.EndpointID
	for id, e := range w.state.Owners.All() {
		if e.Kind == lease.Plain {
			index.plains[e.Service] = append(index.plains[e.Service], id)
		} else {
			engines = append(engines, id)
		}
	}
	index.homes = route.NewHomes(engines)
	w.routes = index
	return index
}

// holders returns the engines that have an adapter or will have it, own ones by what runs there, others by report.
func (w *World) adapterHolders(m ident.Model) []ident.EndpointID {
	var list []ident.EndpointID
	for _, id := range w.reportedHolders[m] {
		if w.sites[id] == nil {
			list = append(list, id)
		}
	}
	for id, site := range w.sites {
		if resident, loading, waiting := site.Standing(m); resident || loading || waiting {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// modelsOf iterates over the adapters that an endpoint has or will have.
func modelsOf(r place.Report) iter.Seq[ident.Model] {
	return func(yield func(ident.Model) bool) {
		for _, list := range [][]ident.Model{r.Resident, r.Loading, r.Waiting} {
			for _, m := range list {
				if !yield(m) {
					return
				}
			}
		}
	}
}

func (w *World) addReportedHolder(r place.Report) {
	for m := range modelsOf(r) {
		if !slices.Contains(w.reportedHolders[m], r.Endpoint) {
			w.reportedHolders[m] = append(w.reportedHolders[m], r.Endpoint)
		}
	}
}

func (w *World) removeReportedHolder(r place.Report) {
	for m := range modelsOf(r) {
		rest := slices.DeleteFunc(w.reportedHolders[m], func(id ident.EndpointID) bool { return id == r.Endpoint })
		if len(rest) == 0 {
			delete(w.reportedHolders, m)
		} else {
			w.reportedHolders[m] = rest
		}
	}
}
