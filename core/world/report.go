package world

import (
	"slices"
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/place"
	"shallotgap/core/wire"
)

// reporting is what this host keeps of the reports that it sends.
type reportSchedule struct {
	nextCheck ident.Time
	// residency and load are the forms last sent of each site.
	lastResidency map[ident.EndpointID]string
	lastLoad      map[ident.EndpointID]string
	nextLoad      ident.Time
	nextRefresh   ident.Time
	lastRefreshed ident.EndpointID
	// asked holds when a host last forwarded a request here.
	forwardedAt map[ident.HostID]ident.Time
}

func newReportSchedule() reportSchedule {
	return reportSchedule{lastResidency: map[ident.EndpointID]string{}, lastLoad: map[ident.EndpointID]string{}, forwardedAt: map[ident.HostID]ident.Time{}}
}

// Bounds of the reports that a host sends. Residency goes to all hosts when it changes; load changes all the time, so
// it goes only to the hosts that send requests here, as often as its share of bytes allows.
const (
	loadBytesPerSecond    = 4_000 // bytes a second for changes of load
	refreshBytesPerSecond = 1_000 // bytes a second for repeating reports that may have been lost
	minRefreshInterval    = time.Second
	loadReportWindow      = 10 * time.Second // how long a host that forwarded a request hears of load
)

// broadcastReports tells the other hosts what changed at the owned endpoints.
func (w *World) broadcastReports() {
	if w.now < w.reportSchedule.nextCheck {
		return
	}
	w.reportSchedule.nextCheck = w.now.Add(w.Params.Heartbeat)
	w.reportResidency()
	w.reportLoad()
	w.refreshReports()
}

// reportResidency tells all hosts which adapters came, went or are waited for.
func (w *World) reportResidency() {
	var changed []place.Report
	for _, id := range sortedKeys(w.sites) {
		r := w.sites[id].Report()
		encoded := encodeResidency(r)
		if w.reportSchedule.lastResidency[id] != encoded {
			w.reportSchedule.lastResidency[id] = encoded
			changed = append(changed, r)
		}
	}
	w.sendReports(w.otherHosts(), changed)
}

// residencyForm returns a form of the report without load.
func encodeResidency(r place.Report) string {
	r.Running, r.Queued = 0, 0
	return encodeReport(r)
}

func encodeReport(r place.Report) string {
	data, err := wire.Marshal(r)
	if err != nil {
		return ""
	}
	return string(data)
}

// reportLoad tells the hosts that send requests here what runs and waits.
func (w *World) reportLoad() {
	if w.now < w.reportSchedule.nextLoad {
		return
	}
	var changed []place.Report
	bytes := 0
	for _, id := range sortedKeys(w.sites) {
		r := w.sites[id].Report()
		encoded := encodeReport(r)
		if w.reportSchedule.lastLoad[id] != encoded {
			w.reportSchedule.lastLoad[id] = encoded
			changed = append(changed, r)
			bytes += len(encoded)
		}
	}
	hosts := w.recentForwarders()
	w.sendReports(hosts, changed)
	w.reportSchedule.nextLoad = w.now.Add(transmitTime(bytes*len(hosts), loadBytesPerSecond))
}

// spacing returns how long sending so many bytes takes at a rate in bytes a second.
func transmitTime(bytes, rate int) time.Duration {
	return time.Duration(bytes) * time.Second / time.Duration(rate)
}

// askers returns the hosts that forwarded a request lately, in order.
func (w *World) recentForwarders() []ident.HostID {
	for h, at := range w.reportSchedule.forwardedAt {
		if w.now.Sub(at) > loadReportWindow {
			delete(w.reportSchedule.forwardedAt, h)
		}
	}
	return sortedKeys(w.reportSchedule.forwardedAt)
}

// refreshReports repeats one site's report to all hosts, in turn, as a report may be lost on a link that stands.
func (w *World) refreshReports() {
	if w.now < w.reportSchedule.nextRefresh || len(w.sites) == 0 {
		return
	}
	ids := sortedKeys(w.sites)
	n, found := slices.BinarySearch(ids, w.reportSchedule.lastRefreshed)
	if found {
		n++
	}
	id := ids[n%len(ids)]
	w.reportSchedule.lastRefreshed = id
	r := w.sites[id].Report()
	hosts := w.otherHosts()
	w.sendReports(hosts, []place.Report{r})
	w.reportSchedule.nextRefresh = w.now.Add(max(minRefreshInterval, transmitTime(len(encodeReport(r))*len(hosts), refreshBytesPerSecond)))
}

// sendAllReports brings a host up to date that can be reached again.
func (w *World) sendAllReports(host ident.HostID) {
	var list []place.Report
	for _, id := range sortedKeys(w.sites) {
		list = append(list, w.sites[id].Report())
	}
	w.sendReports([]ident.HostID{host}, list)
}

func (w *World) sendReports(hosts []ident.HostID, list []place.Report) {
	if len(list) == 0 {
		return
	}
	for _, h := range hosts {
		w.send(h, Message{Reports: list})
	}
}

func (w *World) otherHosts() []ident.HostID {
	return slices.DeleteFunc(w.hostNames(), func(h ident.HostID) bool { return h == w.Self })
}

func (w *World) receiveReports(list []place.Report) {
	for _, r := range list {
		if r.Fence >= w.reports[r.Endpoint].Fence {
			w.removeReportedHolder(w.reports[r.Endpoint])
			w.reports[r.Endpoint] = r
			w.addReportedHolder(r)
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
