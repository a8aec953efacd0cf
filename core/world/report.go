package world

import (
	"slices"
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/place"
	"shallotgap/core/wire"
)

// reportSchedule holds when the next reports to other hosts are due and what the last reports contained.
type reportSchedule struct {
	nextCheck ident.Time
	// lastResidency and lastLoad hold the encoded reports last sent for each endpoint.
	lastResidency map[ident.EndpointID]string
	lastLoad      map[ident.EndpointID]string
	nextLoad      ident.Time
	nextRefresh   ident.Time
	lastRefreshed ident.EndpointID
	// forwardedAt holds when a host last forwarded a request to this host.
	forwardedAt map[ident.HostID]ident.Time
}

func newReportSchedule() reportSchedule {
	return reportSchedule{
		lastResidency: map[ident.EndpointID]string{},
		lastLoad:      map[ident.EndpointID]string{},
		forwardedAt:   map[ident.HostID]ident.Time{},
	}
}

// Limits of the reports that a host sends. Changes of residency go to all hosts. Load changes constantly, so load reports
// go only to the hosts that forward requests to this host, at a limited byte rate.
const (
	loadBytesPerSecond    = 4_000 // limit for reports of changed load
	refreshBytesPerSecond = 1_000 // limit for repeated reports, sent in case that the first ones were lost
	minRefreshInterval    = time.Second
	loadReportWindow      = 10 * time.Second // how long a host gets load reports after it forwarded a request
)

// broadcastReports sends the other hosts the changed reports of the endpoints that this host owns, once per heartbeat
// interval.
func (w *World) broadcastReports() {
	if w.now < w.reportSchedule.nextCheck {
		return
	}
	w.reportSchedule.nextCheck = w.now.Add(w.Params.Heartbeat)
	w.reportResidency()
	w.reportLoad()
	w.refreshReports()
}

// reportResidency sends all hosts the reports of the endpoints whose resident, loading or awaited adapters have changed.
func (w *World) reportResidency() {
	var changed []place.Report
	for _, id := range sortedKeys(w.sites) {
		r := w.reportOf(w.sites[id])
		encoded := encodeResidency(r)
		if w.reportSchedule.lastResidency[id] != encoded {
			w.reportSchedule.lastResidency[id] = encoded
			changed = append(changed, r)
		}
	}
	w.sendReports(w.otherHosts(), changed)
}

// encodeResidency encodes a report without its load, so that two reports that differ only in load have equal encodings.
func encodeResidency(r place.Report) string {
	r.Running, r.Queued = 0, 0
	return encodeReport(r)
}

// encodeReport encodes a report for comparison with the last report sent.
func encodeReport(r place.Report) string {
	data, err := wire.Marshal(r)
	if err != nil {
		return ""
	}
	return string(data)
}

// reportLoad sends changed numbers of running and queued requests to the hosts that forward requests to this host.
func (w *World) reportLoad() {
	if w.now < w.reportSchedule.nextLoad {
		return
	}
	var changed []place.Report
	bytes := 0
	for _, id := range sortedKeys(w.sites) {
		r := w.reportOf(w.sites[id])
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

// transmitTime returns how long sending the bytes takes at a rate in bytes per second.
func transmitTime(bytes, rate int) time.Duration {
	return time.Duration(bytes) * time.Second / time.Duration(rate)
}

// recentForwarders returns the hosts that forwarded a request within loadReportWindow, sorted.
func (w *World) recentForwarders() []ident.HostID {
	for h, at := range w.reportSchedule.forwardedAt {
		if w.now.Sub(at) > loadReportWindow {
			delete(w.reportSchedule.forwardedAt, h)
		}
	}
	return sortedKeys(w.reportSchedule.forwardedAt)
}

// refreshReports sends the report of one endpoint to all hosts even if it is unchanged, taking the endpoints in turn, because
// a report may be lost even while the connection stays up.
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
	r := w.reportOf(w.sites[id])
	hosts := w.otherHosts()
	w.sendReports(hosts, []place.Report{r})
	w.reportSchedule.nextRefresh = w.now.Add(max(minRefreshInterval, transmitTime(len(encodeReport(r))*len(hosts), refreshBytesPerSecond)))
}

// sendAllReports sends the reports of all owned endpoints to a host that has become reachable.
func (w *World) sendAllReports(host ident.HostID) {
	var list []place.Report
	for _, id := range sortedKeys(w.sites) {
		list = append(list, w.reportOf(w.sites[id]))
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

// receiveReports stores reports of other hosts; a report with an older fencing token comes from a former owner and is ignored.
func (w *World) receiveReports(list []place.Report) {
	for _, r := range list {
		if r.Fence >= w.reports[r.Endpoint].Fence {
			w.removeReportedHolder(w.reports[r.Endpoint])
			w.reports[r.Endpoint] = r
			w.addReportedHolder(r)
		}
	}
}

// Reports returns the latest known report of each endpoint, in order of endpoint ID.
func (w *World) Reports() []place.Report {
	all := map[ident.EndpointID]place.Report{}
	for id, r := range w.reports {
		all[id] = r
	}
	for id, site := range w.sites {
		all[id] = w.reportOf(site)
	}
	list := make([]place.Report, 0, len(all))
	for _, id := range sortedKeys(all) {
		list = append(list, all[id])
	}
	return list
}
