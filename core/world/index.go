package world

import (
	"iter"
	"slices"

	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/place"
	"shallotgap/core/route"
)

// routeIndex indexes the endpoints for routing and is rebuilt when ownership or endpoints change. With the
// index a routing decision considers only the endpoints that have the adapter and the preferred endpoints of the adapter.
type routeIndex struct {
	version ownersVersion                        // of the ownership table that the index reflects
	homes   *route.Homes                         // ranks the engines for each adapter
	plains  map[ident.Service][]ident.EndpointID // the plain endpoints of each service
}

// index returns the route index of the current endpoints.
func (w *World) index() *routeIndex {
	version := ownersVersion{state: w.state.Owners, revision: w.state.Owners.Revision()}
	if w.routes != nil && w.routes.version == version {
		return w.routes
	}
	index := &routeIndex{version: version, plains: map[ident.Service][]ident.EndpointID{}}
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

// adapterHolders returns the engines at which an adapter is resident, loading or waited for: for engines of this host from
// their sites, for engines of other hosts from their last reports.
func (w *World) adapterHolders(m ident.Model) []ident.EndpointID {
	var list []ident.EndpointID
	for _, id := range w.reportedHolders[m] {
		if w.sites[id] == nil {
			list = append(list, id)
		}
	}
	for id, site := range w.sites {
		if resident, loading, waiting := site.Residency(m); resident || loading || waiting {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// modelsOf iterates over the adapters that are resident, loading or waited for according to a report.
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

// addReportedHolder adds a report's endpoint to reportedHolders, under each adapter in the report.
func (w *World) addReportedHolder(r place.Report) {
	for m := range modelsOf(r) {
		if !slices.Contains(w.reportedHolders[m], r.Endpoint) {
			w.reportedHolders[m] = append(w.reportedHolders[m], r.Endpoint)
		}
	}
}

// removeReportedHolder removes a report's endpoint from reportedHolders, under each adapter in the report.
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
