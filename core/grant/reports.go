package grant

import (
	"time"

	"shallotgap/core/census"
	"shallotgap/core/ident"
	"shallotgap/core/limit"
)

// askReports requests reports from engines whose state is unknown, or whose heartbeats are overdue: what keeps heartbeats from the control
// hosts need not keep requests from the engine.
func (t *Authority) askReports(now ident.Time) {
	for _, e := range t.enginesByID() {
		if t.pendingReports >= maxPendingReports {
			return
		}
		if e.reportPending || e.orderPending || e.entry.State != census.Ready || !t.reportIsDue(e, now) || !t.mayCall(e, now) {
			continue
		}
		t.takeSend(e.entry.Instance, ReportSend, now)
		e.reportRequestedAt, e.reportPending = now, true
		t.pendingReports++
		t.effects.Reports = append(t.effects.Reports, Target{Instance: e.entry.Instance, Service: e.entry.Service, Address: e.entry.Address})
	}
}

// reportIsDue reports whether an engine should be asked for a report. One that stays silent is asked ever more seldom.
func (t *Authority) reportIsDue(e *engine, now ident.Time) bool {
	since := now.Sub(e.reportRequestedAt)
	if !e.stateKnown && e.usable(now, t.Params) {
		return now >= e.reportNotBefore && since >= reportEvery
	}
	silence := now.Sub(e.entry.LastHeartbeat)
	return silence > t.overdueAfter() && since >= max(reportEvery, silence/silentReportDivisor)
}

// overdueAfter is the time without a sign of life after which an engine is asked for a report. It leaves time for some requests before the
// engine counts as unusable.
func (t *Authority) overdueAfter() time.Duration { return t.HeartbeatTimeout * 2 / 3 }

// silentReportDivisor is the part of an engine's silence that passes between two report requests.
const silentReportDivisor = 3

// confirm records a sign of life other than a heartbeat. The other hosts are told only if the heartbeats may have stopped.
func (t *Authority) confirm(e *engine, now ident.Time) {
	if now.Sub(e.entry.LastHeartbeat) > t.HeartbeatLag {
		t.effects.Alive = append(t.effects.Alive, e.entry.Instance)
	}
	t.ObserveHeartbeat(e.entry.Instance, now)
}

// ReportFailed records that a requested report did not arrive. sent is false if no host could send the request, which says nothing of the
// engine.
func (t *Authority) ReportFailed(i ident.Instance, sent bool, now ident.Time) {
	if e := t.finishReportRequest(i); e != nil && sent {
		e.failures.record(true, now)
	}
}

// finishReportRequest ends a report request and returns the engine, or nil when the engine was removed or restarted since.
func (t *Authority) finishReportRequest(i ident.Instance) *engine {
	t.pendingReports = max(0, t.pendingReports-1)
	e := t.engines[i.ID]
	if e == nil || e.entry.Instance != i {
		return nil
	}
	e.reportPending = false
	return e
}

// maxPendingReports limits concurrent report requests: after an election every engine needs one, and each report must arrive
// within the request's timeout.
const maxPendingReports = 48

// reportEvery is the shortest interval between report requests to one engine; a report is some hundred ms old when it arrives.
const reportEvery = 400 * time.Millisecond

// ApplyReport applies an engine's report. The report is ignored when an order to the engine is pending or was answered after the
// report was requested.
func (t *Authority) ApplyReport(i ident.Instance, r Report, now ident.Time) {
	e := t.finishReportRequest(i)
	if e != nil && r.Limit.Binds() {
		t.limits.Observe(limit.Seen{Instance: i, Service: e.entry.Service, Rate: r.Limit.Rate}, now)
	}
	if e == nil {
		return
	}
	t.confirm(e, now)
	if e.orderPending || e.lastOrderAt > e.reportRequestedAt {
		return
	}
	e.applyReport(r, now, t.Params)
	for _, h := range r.Held {
		if s := e.slots[h.Ref]; h.Loading && s.readyAt > now {
			// An earlier authority ordered the load. The report does not say whether the load comes from the store; assume so.
			t.trackStoreLoad(s, now.Add(t.AdapterLoadTime))
		}
	}
}
