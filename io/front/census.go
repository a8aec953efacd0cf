package front

import (
	"maps"
	"time"

	"shallotgap/core/census"
	"shallotgap/core/ident"
	"shallotgap/core/reach"
	"shallotgap/io/clock"
	"shallotgap/io/link"
)

// handleCensus records endpoint states, and logs changes and endpoints whose address another endpoint now has.
func (f *Front) handleCensus(list []census.Entry) {
	now := clock.Boot()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range list {
		if e.Check(time.Now()) != nil {
			f.Meter.Count("shallotgap_heartbeats_total", "news", "odd")
			continue
		}
		if effect := f.census.Observe(e, now); effect == census.Changed || effect == census.Prevailed {
			f.Log.WithField("step", "census").WithField("endpoint", e.Instance.ID).WithField("state", e.State).WithField("seq", e.Seq).WithField("outcome", "changed").Info("endpoint")
			f.forgetDeparted(e)
		}
		for _, old := range f.census.Displaced() {
			f.Log.WithField("step", "census").WithField("endpoint", old.Instance.ID).WithField("address", old.Address).WithField("inputs", "now used by "+string(e.Instance.ID)).WithField("outcome", "address-taken").Info("endpoint")
		}
	}
}

// forgetDeparted drops an engine that takes no more requests from the fallbacks, which outlast what the census remembers of it. f.mu must be held.
func (f *Front) forgetDeparted(e census.Entry) {
	if e.State == census.Ready {
		return
	}
	maps.DeleteFunc(f.lastServed, func(_ servedKey, s servedPlace) bool { return s.place.Instance == e.Instance })
}

// compareEndpoints requests the leader's list of endpoints if its digest has differed from what this host knows for a while.
func (f *Front) compareEndpoints(leader ident.HostID, d census.Digest) {
	f.mu.Lock()
	needed := f.leader == leader && f.census.NeedsList(d, f.isPlain, clock.Boot())
	known := len(f.census.List())
	fetch := f.fetchNewer(f.layoutVersion())
	fetch.Endpoints = true
	f.mu.Unlock()
	if !needed {
		return
	}
	f.Log.WithField("step", "census").WithField("peer", leader).WithField("known", known).WithField("listed", d.Count).Info("endpoints-differ")
	f.mesh.Send(leader, link.Message{Fetch: &fetch})
}

// reconcileEndpoints applies a control host's list of endpoints and logs those that are gone.
func (f *Front) reconcileEndpoints(e link.Endpoints) {
	now := clock.Boot()
	if e.Settled {
		f.mu.Lock()
		f.census.Trust(e.List, now)
		f.mu.Unlock()
	}
	f.handleCensus(e.List)
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.Settled {
		f.logRemoved(f.census.RemoveMissing(e.List, f.isPlain, now), now)
	}
}

// logRemoved logs the endpoints that the leader's list lacks, except those that had left before.
func (f *Front) logRemoved(list []census.Entry, now ident.Time) {
	for _, e := range list {
		if e.State == census.Gone {
			continue
		}
		f.Log.WithField("step", "census").WithField("endpoint", e.Instance.ID).WithField("service", e.Service).WithField("state", e.State).WithField("seq", e.Seq).
			WithField("age", now.Sub(e.LastHeartbeat).String()).WithField("outcome", "not-listed").Warn("endpoint")
		f.Meter.Count("shallotgap_endpoints_expired_total")
	}
}

// isPlain reports whether the layout has a service that runs no model.
func (f *Front) isPlain(name ident.Service) bool {
	s, known := f.router.Load().Layout.Service(name)
	return known && s.Engine == nil
}

// listEndpoints returns the ready endpoints of a service that this host knows, or of all services; it is a reach.Lister.
func (f *Front) listEndpoints(s ident.Service) []reach.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []reach.Target
	for _, e := range f.census.Ready() {
		if s == "" || e.Service == s {
			list = append(list, reach.Target{Instance: e.Instance, Service: e.Service, Address: e.Address})
		}
	}
	return list
}

// leaves reports whether an endpoint drains, has left, or has been followed by another start.
func (f *Front) leaves(i ident.Instance) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, known := f.census.Get(i.ID)
	return known && (e.Instance != i || e.State != census.Ready)
}
