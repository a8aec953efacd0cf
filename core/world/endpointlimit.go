package world

import (
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/limit"
	"shallotgap/core/place"
	"shallotgap/core/state"
	"shallotgap/core/work"
)

// limitWatch holds the limits of the endpoints that this host owns. All sends to an endpoint pass through its owner.
type limitWatch struct {
	limits *limit.Pool
}

func (w *World) newLimitWatch() limitWatch {
	return limitWatch{limits: limit.NewOwnedPool(func(i ident.Instance) bool {
		site := w.sites[i.ID]
		return site != nil && site.Identity() == i
	})}
}

const (
	// limitWaitShare is the part of its time that a request may wait for its turn under a limit; the rest is left for running it.
	limitWaitShare = 0.6
	// limitWaitSlack is how much later than expected on arrival the turn of a queued request may come, as other sends come between.
	limitWaitSlack = 100 * time.Millisecond
)

// longestLimitWait returns how long a request may wait for its turn under a limit.
func longestLimitWait(item *place.Item) time.Duration {
	return time.Duration(limitWaitShare * float64(item.TimeLeft))
}

// takeSends counts sends to an endpoint against its limit.
func (w *World) takeSends(site *place.Site, n int) {
	for range n {
		w.limits.Take(site.Identity(), w.now)
	}
}

// reportOf returns the report on an endpoint. One that takes no request now, because of its limit, counts as having a full batch
// queued, so that others are chosen first.
func (w *World) reportOf(site *place.Site) place.Report {
	r := site.Report()
	if w.limits.Wait(site.Identity(), w.now) > 0 {
		r.Queued += site.MaxRunning
	}
	return r
}

// syncLimits follows a change of the owned endpoints, or of what they announce.
func (w *World) syncLimits() {
	w.limits.Adopt(w.state.Limits, w.now)
	for _, id := range sortedKeys(w.sites) {
		site := w.sites[id]
		rate, limited := w.limits.Rate(site.Identity())
		switch announced := site.Endpoint.Limit; {
		case announced > 0 && (!limited || announced < rate):
			w.limits.Observe(limit.Seen{Instance: site.Identity(), Service: site.Service, Rate: announced}, w.now)
		case announced == 0 && site.AnnouncedLimit > 0:
			w.limits.Observe(limit.Seen{Instance: site.Identity(), Ended: true}, w.now)
		}
		site.AnnouncedLimit = site.Endpoint.Limit
	}
}

// noteLimit applies what an answer says about the limit of its endpoint. The limit that the endpoint announces holds all the same.
func (w *World) noteLimit(site *place.Site, item *place.Item, e Ended) {
	if e.Limit == nil || (e.Limit.Silent() && e.State != work.Answered) || (!e.Limit.Named && e.Limit.Bad != "") {
		return
	}
	seen := limit.Seen{Instance: site.Identity(), Service: site.Service, Rate: e.Limit.Rate, Ended: !e.Limit.Binds(), SentAgo: w.now.Sub(item.Started)}
	if announced := site.Endpoint.Limit; announced > 0 && (seen.Ended || seen.Rate > announced) {
		seen.Rate, seen.Ended = announced, false
	}
	w.limits.Observe(seen, w.now)
	for _, c := range w.limits.Changes() {
		cause := "the endpoint takes a limited number of requests a second"
		if c.Ended {
			cause = "the endpoint names no limit any more"
		}
		w.note(item.ID, "limit", cause, string(site.ID))
	}
}

// rejectOverLimit rejects the queued requests whose turn under the endpoint's limit comes too late. Bulk requests wait.
func (w *World) rejectOverLimit(site *place.Site) {
	if !w.limits.Limited(site.Identity()) {
		return
	}
	ahead := 0
	for _, item := range site.InOrder() {
		wait := w.limits.WaitFor(site.Identity(), 1+ahead, w.now)
		latest := item.Arrived.Add(longestLimitWait(item) + limitWaitSlack)
		if wait > 0 && item.Urgency > work.Bulk && !item.Claiming && w.now.Add(wait) > latest {
			w.rejectQueued(item, *limitRefusal(site, wait))
			continue
		}
		ahead++
	}
}

// proposeLimits brings the replicated limits in line with those of the owned endpoints.
func (w *World) proposeLimits() {
	if !w.Serving() {
		return
	}
	for _, c := range w.limits.Sync(w.state.Limits, w.now) {
		w.propose(state.Command{Limits: &c}, purpose{})
	}
}
