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
	x := &routeIndex{seen: seen, plains: map[ident.Service][]ident.EndpointID{}}
	var engines []ident.EndpointID
	for id, e := range w.state.Owners.All() {
		if e.Kind == lease.Plain {
			x.plains[e.Service] = append(x.plains[e.Service], id)
		} else {
			engines = append(engines, id)
		}
	}
	x.homes = route.NewHomes(engines)
	w.routes = x
	return x
}

// holders returns the engines that have an adapter or will have it, own ones by what runs there, others by report.
func (w *World) holders(m ident.Model) []ident.EndpointID {
	var list []ident.EndpointID
	for _, id := range w.holding[m] {
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

func (w *World) listHolder(r place.Report) {
	for m := range modelsOf(r) {
		if !slices.Contains(w.holding[m], r.Endpoint) {
			w.holding[m] = append(w.holding[m], r.Endpoint)
		}
	}
}

func (w *World) unlistHolder(r place.Report) {
	for m := range modelsOf(r) {
		rest := slices.DeleteFunc(w.holding[m], func(id ident.EndpointID) bool { return id == r.Endpoint })
		if len(rest) == 0 {
			delete(w.holding, m)
		} else {
			w.holding[m] = rest
		}
	}
}
