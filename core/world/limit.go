package world

import (
	"shallotgap/core/ident"
	"shallotgap/core/place"
	"shallotgap/core/route"
	"shallotgap/core/rows"
	"shallotgap/core/share"
	"shallotgap/core/work"
)

// rateKey names the part of a row's rate that one endpoint enforces.
type rateKey struct {
	endpoint ident.EndpointID
	row      rows.RowKey
}

func limited(r rows.Row) bool { return r.MaxRunning > 0 || r.MaxRate > 0 }

// chooseLimited chooses among the homes of a row with limits. They are as few as can hold the limit, and each
// enforces its part alone, so that a limit holds without messages.
func (w *World) chooseLimited(r work.Request, row rows.Row) (route.Candidate, route.Cause, bool) {
	takes := func(id ident.EndpointID) bool {
		e, ok := w.state.Owners.Get(id)
		return ok && w.takes(e, r)
	}
	first := w.index().homes.Rank(r.Model.Adapter, 1, takes)
	if len(first) == 0 {
		return route.Candidate{}, "", false
	}
	e, _ := w.state.Owners.Get(first[0])
	homes := w.index().homes.Rank(r.Model.Adapter, share.HomeCount(row.MaxRunning, e.MaxRunning), takes)
	c, ok := route.LeastLoaded(w.candidates(r, homes))
	return c, route.ByLimit, ok
}

// may reports whether the limits of its row let a waiting request run now.
func (w *World) may(it *place.Item) bool {
	if w.now < it.NotBefore {
		return false
	}
	site := w.sites[it.Endpoint]
	row, ok := w.state.Rows.Get(it.Row())
	if !ok || row.MaxRunning == 0 || site == nil || it.Service != "" {
		return true
	}
	return site.RunningOf(it.Row()) < share.EndpointLimit(row.MaxRunning, share.HomeCount(row.MaxRunning, site.MaxRunning))
}

// admit refuses at once what cannot make its deadline or exceeds its row's rate. Bulk requests are held instead.
func (w *World) admit(site *place.Site, it *place.Item) *work.Refusal {
	if r := w.admitRate(site, it); r != nil {
		return r
	}
	wait := site.EstimateWait(it.Urgency)
	if it.Urgency == work.Bulk || wait <= it.TimeLeft {
		return nil
	}
	return &work.Refusal{Outcome: work.NotRun, Reason: work.Late, Step: "queue", Peer: string(site.ID), RetryAfter: wait - it.TimeLeft + DefaultRetryAfter}
}

func (w *World) admitRate(site *place.Site, it *place.Item) *work.Refusal {
	row, ok := w.state.Rows.Get(it.Row())
	if !ok || row.MaxRate == 0 || it.Service != "" {
		return nil
	}
	k := rateKey{endpoint: site.ID, row: it.Row()}
	b := w.rates[k]
	rate := float64(row.MaxRate) / float64(share.HomeCount(row.MaxRunning, site.MaxRunning))
	if b == nil || b.Rate != rate {
		b = &share.Bucket{Rate: rate}
		w.rates[k] = b
	}
	if it.Urgency == work.Bulk {
		it.NotBefore = w.now.Add(b.Reserve(w.now))
		return nil
	}
	if wait, ok := b.Take(w.now); !ok {
		return &work.Refusal{Outcome: work.NotRun, Reason: work.Overload, Step: "limit", Peer: string(it.Row()), RetryAfter: wait}
	}
	return nil
}
