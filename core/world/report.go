package world

import (
	"slices"
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/place"
	"shallotgap/core/wire"
)

// reporting is what this host keeps of the reports that it sends.
type reporting struct {
	lookAt ident.Time
	// residency and load are the forms last sent of each site.
	residency map[ident.EndpointID]string
	load      map[ident.EndpointID]string
	loadAt    ident.Time
	refreshAt ident.Time
	refreshed ident.EndpointID
	// asked holds when a host last forwarded a request here.
	asked map[ident.HostID]ident.Time
}

func newReporting() reporting {
	return reporting{residency: map[ident.EndpointID]string{}, load: map[ident.EndpointID]string{}, asked: map[ident.HostID]ident.Time{}}
}

// Bounds of the reports that a host sends. Residency goes to all hosts when it changes; load changes all the time, so
// it goes only to the hosts that send requests here, as often as its share of bytes allows.
const (
	loadBytes    = 4_000 // bytes a second for changes of load
	refreshBytes = 1_000 // bytes a second for repeating reports that may have been lost
	refreshLeast = time.Second
	askedFor     = 10 * time.Second // how long a host that forwarded a request hears of load
)

// broadcastReports tells the other hosts what changed at the owned endpoints.
func (w *World) broadcastReports() {
	if w.now < w.reporting.lookAt {
		return
	}
	w.reporting.lookAt = w.now.Add(w.Params.Heartbeat)
	w.reportResidency()
	w.reportLoad()
	w.refreshReports()
}

// reportResidency tells all hosts which adapters came, went or are waited for.
func (w *World) reportResidency() {
	var changed []place.Report
	for _, id := range sortedKeys(w.sites) {
		r := w.sites[id].Report()
		form := residencyForm(r)
		if w.reporting.residency[id] != form {
			w.reporting.residency[id] = form
			changed = append(changed, r)
		}
	}
	w.sendReports(w.otherHosts(), changed)
}

// residencyForm returns a form of the report without load.
func residencyForm(r place.Report) string {
	r.Running, r.Queued = 0, 0
	return formOf(r)
}

func formOf(r place.Report) string {
	data, err := wire.Marshal(r)
	if err != nil {
		return ""
	}
	return string(data)
}

// reportLoad tells the hosts that send requests here what runs and waits.
func (w *World) reportLoad() {
	if w.now < w.reporting.loadAt {
		return
	}
	var changed []place.Report
	bytes := 0
	for _, id := range sortedKeys(w.sites) {
		r := w.sites[id].Report()
		form := formOf(r)
		if w.reporting.load[id] != form {
			w.reporting.load[id] = form
			changed = append(changed, r)
			bytes += len(form)
		}
	}
	to := w.askers()
	w.sendReports(to, changed)
	w.reporting.loadAt = w.now.Add(spacing(bytes*len(to), loadBytes))
}

// spacing returns how long sending so many bytes takes at a rate in bytes a second.
func spacing(bytes, rate int) time.Duration {
	return time.Duration(bytes) * time.Second / time.Duration(rate)
}

// askers returns the hosts that forwarded a request lately, in order.
func (w *World) askers() []ident.HostID {
	for h, at := range w.reporting.asked {
		if w.now.Sub(at) > askedFor {
			delete(w.reporting.asked, h)
		}
	}
	return sortedKeys(w.reporting.asked)
}

// refreshReports repeats one site's report to all hosts, in turn, as a report may be lost on a link that stands.
func (w *World) refreshReports() {
	if w.now < w.reporting.refreshAt || len(w.sites) == 0 {
		return
	}
	ids := sortedKeys(w.sites)
	n, found := slices.BinarySearch(ids, w.reporting.refreshed)
	if found {
		n++
	}
	id := ids[n%len(ids)]
	w.reporting.refreshed = id
	r := w.sites[id].Report()
	to := w.otherHosts()
	w.sendReports(to, []place.Report{r})
	w.reporting.refreshAt = w.now.Add(max(refreshLeast, spacing(len(formOf(r))*len(to), refreshBytes)))
}

// sendAllReports brings a host up to date that can be reached again.
func (w *World) sendAllReports(to ident.HostID) {
	var list []place.Report
	for _, id := range sortedKeys(w.sites) {
		list = append(list, w.sites[id].Report())
	}
	w.sendReports([]ident.HostID{to}, list)
}

func (w *World) sendReports(to []ident.HostID, list []place.Report) {
	if len(list) == 0 {
		return
	}
	for _, h := range to {
		w.send(h, Message{Reports: list})
	}
}

func (w *World) otherHosts() []ident.HostID {
	return slices.DeleteFunc(w.hostNames(), func(h ident.HostID) bool { return h == w.Self })
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
