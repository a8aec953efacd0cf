// Package reach decides to which endpoints a host has a path, from the outcomes of its own connections. A path belongs to a pair of a
// host and an endpoint: that one host can't connect to an endpoint says nothing about the others.
package reach

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"shallotgap/core/ident"
)

// Target is an endpoint with its address.
type Target struct {
	Instance ident.Instance
	Service  ident.Service
	Address  string
}

// Faults are the paths that a host has lost. They grow with the faults, not with the number of endpoints: a service none of whose
// endpoints is reached is named once.
type Faults struct {
	Services  []ident.Service  `json:"services,omitempty"`
	Endpoints []ident.Instance `json:"endpoints,omitempty"`
}

// Empty reports whether no path is lost.
func (f Faults) Empty() bool { return len(f.Services)+len(f.Endpoints) == 0 }

// Lacks reports whether the host has no path to an endpoint.
func (f Faults) Lacks(i ident.Instance, s ident.Service) bool {
	return slices.Contains(f.Services, s) || slices.Contains(f.Endpoints, i)
}

// Times and limits of a map.
const (
	// lostEndpoints is the number of endpoints of a service that must fail in a row, with no success at another one, before the host
	// counts as cut off from the service. One endpoint may have crashed or be silent for a moment.
	lostEndpoints = 2
	// hopelessEndpoints is the number of endpoints that must fail in a row before requests for the service are not tried any more.
	hopelessEndpoints = 4
	// probeInterval is the pause between probes of a service, retryInterval that between probes of a single endpoint.
	probeInterval = 300 * time.Millisecond
	retryInterval = time.Second
	// suspectPause is the time after a success or a probe within which an endpoint is not probed for a mere suspicion.
	suspectPause = 300 * time.Millisecond
	// maxProbes is the number of probes of single endpoints at a time, as new connections cost the endpoints something.
	maxProbes = 4
	// probeLimit is the time after which a probe without a result counts as ended.
	probeLimit = 2 * time.Second
	// retention is how long an endpoint that is not used is remembered.
	retention = time.Minute
	// maxFaults is the number of lost endpoints that a host names.
	maxFaults = 256
)

// path is the state of the path from this host to an endpoint.
type path struct {
	Target
	lost      bool
	suspected bool       // something that was sent got no answer in time
	reachedAt ident.Time // latest success
	triedAt   ident.Time // latest probe
	probing   bool
	usedAt    ident.Time
}

// service is the state of the paths from this host to the endpoints of a service.
type service struct {
	failed   map[ident.Instance]struct{} // endpoints that failed since the latest success at any endpoint
	lost     bool
	probedAt ident.Time
	// triedAt is when a request was last let through though the service counted as hopeless.
	triedAt ident.Time
}

// Map holds the paths of one host.
type Map struct {
	paths    map[ident.Instance]*path
	services map[ident.Service]*service
	// doubtful is true while a path or a service may be lost, so that there is something to probe.
	doubtful bool
}

// New returns a map without lost paths.
func New() *Map {
	return &Map{paths: map[ident.Instance]*path{}, services: map[ident.Service]*service{}}
}

func (m *Map) pathOf(t Target, now ident.Time) *path {
	p := m.paths[t.Instance]
	if p == nil {
		p = &path{Target: t}
		m.paths[t.Instance] = p
	}
	p.usedAt = now
	return p
}

func (m *Map) serviceOf(s ident.Service) *service {
	v := m.services[s]
	if v == nil {
		v = &service{failed: map[ident.Instance]struct{}{}}
		m.services[s] = v
	}
	return v
}

// Succeed records that an endpoint was reached. It reports whether a path had been lost.
func (m *Map) Succeed(t Target, now ident.Time) bool {
	p, v := m.pathOf(t, now), m.serviceOf(t.Service)
	healed := p.lost || v.lost
	p.lost, p.suspected, p.probing, p.reachedAt = false, false, false, now
	clear(v.failed)
	if v.lost {
		// What cut the host off from the whole service is over. A single path that is still cut is lost again by its next failure.
		v.lost = false
		for _, other := range m.paths {
			if other.Service == t.Service {
				other.lost = false
			}
		}
	}
	return healed
}

// Fail records that no connection to an endpoint could be made. It reports whether that is news.
func (m *Map) Fail(t Target, now ident.Time) bool {
	p, v := m.paths[t.Instance], m.serviceOf(t.Service)
	if p == nil || !p.probing { // a failed probe is no use, or an endpoint that has ended would be probed for ever
		p = m.pathOf(t, now)
	}
	news := !p.lost
	p.lost, p.suspected, p.probing, p.triedAt, m.doubtful = true, false, false, now, true
	v.failed[t.Instance] = struct{}{}
	if !v.lost && len(v.failed) >= lostEndpoints {
		v.lost, v.probedAt = true, now
		news = true
		m.SuspectOthers(t.Service)
	}
	return news
}

// SuspectOthers suspects the paths to some endpoints of other services, as one cut mostly takes all of them.
func (m *Map) SuspectOthers(lost ident.Service) {
	counts := map[ident.Service]int{}
	for _, p := range m.sorted() {
		if p.Service != lost && !p.lost && counts[p.Service] < lostEndpoints {
			counts[p.Service]++
			p.suspected = true
		}
	}
}

// SuspectPeers suspects the paths to some endpoints of a service of which nothing was heard just now, after one was lost: a cut takes all of them,
// and a host with few requests would notice it late.
func (m *Map) SuspectPeers(s ident.Service, now ident.Time) {
	count := 0
	for _, p := range m.sorted() {
		if p.Service == s && !p.lost && count < lostEndpoints {
			count++
			if now.Sub(max(p.reachedAt, p.triedAt)) >= suspectPause {
				p.suspected, m.doubtful = true, true
			}
		}
	}
}

// Learn records that an endpoint exists, so that it is probed while its service is lost.
func (m *Map) Learn(t Target, now ident.Time) { m.pathOf(t, now) }

// Gone records that other hosts could not connect to an endpoint either, so that it is not a matter of the path.
func (m *Map) Gone(t Target, now ident.Time) {
	p, v := m.pathOf(t, now), m.serviceOf(t.Service)
	p.lost = false
	delete(v.failed, t.Instance)
	v.lost = v.lost && len(v.failed) >= lostEndpoints
}

// Suspect records that an endpoint left something that was sent to it unanswered, or that its connection broke.
func (m *Map) Suspect(t Target, now ident.Time) {
	p := m.pathOf(t, now)
	if !p.lost && now.Sub(max(p.reachedAt, p.triedAt)) >= suspectPause {
		p.suspected, m.doubtful = true, true
	}
}

// Direct reports whether the host should connect to an endpoint by itself. hasOthers reports whether another host could send for it.
func (m *Map) Direct(t Target, hasOthers bool) bool {
	if v := m.services[t.Service]; hasOthers && v != nil && v.lost {
		return false
	}
	p := m.paths[t.Instance]
	return p == nil || !p.lost
}

// CutOff reports whether the host has lost its paths to all endpoints of a service.
func (m *Map) CutOff(s ident.Service) bool {
	v := m.services[s]
	return v != nil && v.lost
}

// Hopeless reports whether a request for a service need not be tried, as the host has lost its paths to all endpoints. One request is let through
// each probeInterval: there may be new endpoints, which are not probed before they were sent something.
func (m *Map) Hopeless(s ident.Service, now ident.Time) bool {
	if !m.anyLost() || !m.allLost(s) {
		return false
	}
	v := m.serviceOf(s)
	if now.Sub(v.triedAt) < probeInterval {
		return true
	}
	v.triedAt = now
	return false
}

// allLost reports whether all endpoints of a service are lost, as far as the host knows: several have failed since the latest success at any, or
// all that it knows. If it knows too few to tell, what holds for all other services holds for this one.
func (m *Map) allLost(s ident.Service) bool {
	known := map[ident.Service]int{}
	for _, p := range m.paths {
		known[p.Service]++
		if p.Service == s && !p.lost && !m.CutOff(s) {
			return false
		}
	}
	if known[s] >= lostEndpoints {
		return m.allFail(s, known[s])
	}
	others := 0
	for name, count := range known {
		switch {
		case name == s || count < lostEndpoints:
		case !m.allFail(name, count):
			return false
		default:
			others++
		}
	}
	return others > 0
}

// anyLost reports whether the host has lost its paths to all endpoints of some service, without a look at all paths.
func (m *Map) anyLost() bool {
	for _, v := range m.services {
		if v.lost {
			return true
		}
	}
	return false
}

// allFail reports whether a service counts as lost and several of its known endpoints have failed, or all.
func (m *Map) allFail(s ident.Service, known int) bool {
	v := m.services[s]
	return v != nil && v.lost && len(v.failed) >= min(hopelessEndpoints, known)
}

// Others returns some endpoints of any service to which no connection has failed, those that were reached last.
func (m *Map) Others(t Target) []Target {
	list := slices.DeleteFunc(m.sorted(), func(p *path) bool { return p.Instance == t.Instance || p.lost })
	slices.SortStableFunc(list, func(a, b *path) int { return cmp.Compare(b.reachedAt, a.reachedAt) })
	var targets []Target
	for _, p := range list[:min(len(list), maxOthers)] {
		targets = append(targets, p.Target)
	}
	return targets
}

// maxOthers is the number of endpoints that show whether this host has any path. Some of them may have ended, too.
const maxOthers = 6

// Faults returns the paths that are lost, in order.
func (m *Map) Faults() Faults {
	var f Faults
	for s, v := range m.services {
		if v.lost {
			f.Services = append(f.Services, s)
		}
	}
	slices.Sort(f.Services)
	for _, p := range m.sorted() {
		if p.lost && !m.CutOff(p.Service) && len(f.Endpoints) < maxFaults {
			f.Endpoints = append(f.Endpoints, p.Instance)
		}
	}
	return f
}

// Due returns the endpoints to probe now with a new connection each: one of a service that is cut off, the one that was not probed for longest,
// and single ones that are lost or suspected. The outcome is recorded by Succeed or Fail.
func (m *Map) Due(now ident.Time) []Target {
	if !m.doubtful {
		return nil
	}
	m.doubtful = false
	probing := 0
	longest := map[ident.Service]*path{} // of services that are cut off
	var singles []*path
	for _, p := range m.paths {
		cutOff := m.CutOff(p.Service)
		m.doubtful = m.doubtful || p.probing || p.lost || p.suspected || cutOff
		p.probing = p.probing && now.Sub(p.triedAt) <= probeLimit
		switch {
		case p.probing:
			probing++
		case cutOff:
			if best := longest[p.Service]; best == nil || p.before(best) {
				longest[p.Service] = p
			}
		case p.suspected || (p.lost && now.Sub(p.triedAt) >= retryInterval):
			singles = append(singles, p)
		}
	}
	slices.SortFunc(singles, (*path).compare)
	due := singles[:min(len(singles), max(0, maxProbes-probing))]
	for _, s := range slices.Sorted(maps.Keys(longest)) {
		if v := m.services[s]; now.Sub(v.probedAt) >= probeInterval {
			v.probedAt = now
			due = append(due, longest[s])
		}
	}
	var list []Target
	for _, p := range due {
		p.probing, p.suspected, p.triedAt = true, false, now
		list = append(list, p.Target)
	}
	return list
}

// before reports whether a path was not probed for longer than another one.
func (p *path) before(other *path) bool {
	return p.triedAt < other.triedAt || (p.triedAt == other.triedAt && p.compare(other) < 0)
}

// compare orders paths by their endpoints.
func (p *path) compare(other *path) int { return p.Instance.Compare(other.Instance) }

// Forget drops endpoints that have not been used for long. It reports whether paths to some of them were lost.
func (m *Map) Forget(now ident.Time) bool {
	news := false
	for i, p := range m.paths {
		if now.Sub(p.usedAt) > retention {
			news = news || p.lost
			delete(m.paths, i)
			if v := m.services[p.Service]; v != nil {
				delete(v.failed, i)
			}
		}
	}
	for s, v := range m.services {
		v.lost = v.lost && len(v.failed) > 0
		if !v.lost && len(v.failed) == 0 && now.Sub(v.triedAt) > probeInterval {
			delete(m.services, s)
		}
	}
	return news
}

// sorted returns the paths in order, so that equal inputs lead to equal decisions.
func (m *Map) sorted() []*path {
	list := make([]*path, 0, len(m.paths))
	for _, p := range m.paths {
		list = append(list, p)
	}
	slices.SortFunc(list, (*path).compare)
	return list
}
