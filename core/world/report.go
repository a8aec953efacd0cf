package world

import (
	"shallotgap/core/ident"
	"shallotgap/core/place"
	"shallotgap/core/wire"
)

// broadcastReports tells the other hosts what changed at the owned endpoints.
func (w *World) broadcastReports() {
	if w.now < w.reportAt {
		return
	}
	w.reportAt = w.now.Add(w.Params.Heartbeat)
	var changed []place.Report
	for _, id := range sortedKeys(w.sites) {
		r := w.sites[id].Report()
		form, err := wire.Marshal(r)
		if err != nil || w.sent[id] == string(form) {
			continue
		}
		w.sent[id] = string(form)
		changed = append(changed, r)
	}
	if len(changed) == 0 {
		return
	}
	for _, p := range w.Peers {
		if p.Host != w.Self {
			w.send(p.Host, Message{Reports: changed})
		}
	}
}

func (w *World) takeReports(list []place.Report) {
	for _, r := range list {
		if r.Fence >= w.reports[r.Endpoint].Fence {
			w.unlistHolder(w.reports[r.Endpoint])
			w.reports[r.Endpoint] = r
			w.listHolder(r)
		}
	}
}

// Reports returns what this host knows of the load and residency of all endpoints, in order.
func (w *World) Reports() []place.Report {
	all := map[ident.EndpointID]place.Report{}
	for id, r := range w.reports {
		all[id] = r
	}
	for id, site := range w.sites {
		all[id] = site.Report()
	}
	list := make([]place.Report, 0, len(all))
	for _, id := range sortedKeys(all) {
		list = append(list, all[id])
	}
	return list
}
