package world

import (
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/place"
	"shallotgap/core/route"
	"shallotgap/core/rows"
	"shallotgap/core/share"
	"shallotgap/core/work"
)

// rateKey identifies the share of a row's rate limit that one endpoint enforces.
type rateKey struct {
	endpoint ident.EndpointID
	row      rows.RowKey
}

// limited reports whether a row limits running requests or the request rate.
func limited(r rows.Row) bool { return r.MaxRunning > 0 || r.MaxRate > 0 }

// chooseLimited chooses an endpoint for a request whose row has limits. Such a row is served by as few endpoints as the
// limit needs, and each endpoint's owner enforces a fixed share of the limit, so that the limit holds without messages between owners.
func (w *World) chooseLimited(r work.Request, row rows.Row) (route.Candidate, route.Cause, bool) {
	accepts := func(id ident.EndpointID) bool {
		e, ok := w.state.Owners.Get(id)
		return ok && w.accepts(e, r)
	}
	first := w.index().homes.Rank(r.Model.Adapter, 1, accepts)
	if len(first) == 0 {
		return route.Candidate{}, "", false
	}
	e, _ := w.state.Owners.Get(first[0])
	homes := w.index().homes.Rank(r.Model.Adapter, share.HomeCount(row.MaxRunning, e.MaxRunning), accepts)
	c, ok := route.LeastLoaded(w.candidates(r, homes))
	return c, route.ByLimit, ok
}

// withinLimits reports whether the limits of a queued request's row allow the request to run now.
func (w *World) withinLimits(item *place.Item) bool {
	if w.now < item.NotBefore || !w.suspectMayRun(item) {
		return false
	}
	site := w.sites[item.Endpoint]
	if site != nil && w.limits.Wait(site.Identity(), w.now) > 0 {
		return false
	}
	row, ok := w.state.Rows.Get(item.Row())
	if !ok || row.MaxRunning == 0 || site == nil || item.Service != "" {
		return true
	}
	return site.RunningOf(item.Row()) < share.EndpointLimit(row.MaxRunning, share.HomeCount(row.MaxRunning, site.MaxRunning))
}

// admit returns the rejection of a request that cannot meet its deadline or exceeds the rate limit of its row, nil if the
// request may be queued. Bulk requests are always queued, and delayed as the rate limit requires.
func (w *World) admit(site *place.Site, item *place.Item) *work.Refusal {
	if r := w.admitRate(site, item); r != nil {
		return r
	}
	if item.Urgency == work.Bulk {
		return nil
	}
	if wait := w.limits.WaitFor(site.Identity(), 1+site.AtLeastAsUrgent(item.Urgency), w.now); wait > longestLimitWait(item) {
		return limitRefusal(site, wait)
	}
	wait := site.EstimateWait(item.Urgency)
	if wait <= item.TimeLeft {
		return nil
	}
	return &work.Refusal{
		Outcome: work.NotRun, Reason: work.Late, Step: "queue", Peer: string(site.ID), RetryAfter: wait - item.TimeLeft + DefaultRetryAfter,
	}
}

// limitRefusal rejects a request whose turn under the limit of its endpoint comes too late.
func limitRefusal(site *place.Site, wait time.Duration) *work.Refusal {
	return &work.Refusal{Outcome: work.NotRun, Reason: work.EndpointLimit, Step: "limit", Peer: string(site.ID), RetryAfter: wait}
}

// admitRate applies the endpoint's share of the row's rate limit to a request; it returns the rejection or nil.
func (w *World) admitRate(site *place.Site, item *place.Item) *work.Refusal {
	row, ok := w.state.Rows.Get(item.Row())
	if !ok || row.MaxRate == 0 || item.Service != "" {
		return nil
	}
	key := rateKey{endpoint: site.ID, row: item.Row()}
	bucket := w.rateBuckets[key]
	rate := float64(row.MaxRate) / float64(share.HomeCount(row.MaxRunning, site.MaxRunning))
	if bucket == nil || bucket.Rate != rate {
		bucket = &share.Bucket{Rate: rate}
		w.rateBuckets[key] = bucket
	}
	if item.Urgency == work.Bulk {
		item.NotBefore = w.now.Add(bucket.Reserve(w.now))
		return nil
	}
	if wait, ok := bucket.Take(w.now); !ok {
		return &work.Refusal{Outcome: work.NotRun, Reason: work.Overload, Step: "limit", Peer: string(item.Row()), RetryAfter: wait}
	}
	return nil
}
