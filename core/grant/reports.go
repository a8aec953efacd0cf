package grant

import (
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/limit"
)

// askReports requests reports from engines whose state is unknown.
func (t *Authority) askReports(now ident.Time) {
	for _, e := range t.enginesByID() {
		if t.pendingReports >= maxPendingReports {
			return
		}
		if e.reportPending || e.stateKnown || e.orderPending || !e.usable(now, t.Params) || now < e.reportNotBefore || now.Sub(e.reportRequestedAt) < reportEvery || !t.mayCall(e, now) {
			continue
		}
		t.takeSend(e.entry.Instance, ReportSend, now)
		e.reportRequestedAt, e.reportPending = now, true
		t.pendingReports++
		t.effects.Reports = append(t.effects.Reports, Target{Instance: e.entry.Instance, Service: e.entry.Service, Address: e.entry.Address})
	}
}

// ReportFailed records that a requested report did not arrive.
func (t *Authority) ReportFailed(i ident.Instance, now ident.Time) {
	if e := t.finishReportRequest(i); e != nil {
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
	if e == nil || e.orderPending || e.lastOrderAt > e.reportRequestedAt {
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
