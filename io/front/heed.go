package front

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"time"

	"shallotgap/core/census"
	"shallotgap/core/heed"
	"shallotgap/core/ident"
	"shallotgap/core/reach"
	"shallotgap/io/clock"
	"shallotgap/io/link"
)

// noteSaid records the endpoint state that an answer reports, and notifies the authority.
func (ex *exchange) noteSaid(i ident.Instance, v Verdict, status, slots int) {
	if v.Mismatched || (!v.IsBrittle && (!v.Authentic || status/100 != http.StatusOK/100)) {
		return // only a success of its own ends what an endpoint said
	}
	now := clock.Boot()
	ex.mu.Lock()
	changed, tell := ex.heed.Note(i, v.Brittle, v.IsBrittle, now)
	if v.NotRun && isFull(status) {
		ex.heed.Rejected(i, ex.entryHosts, now)
	}
	firstBad := v.BadHeader != "" && ex.heed.FirstBad(i)
	leader := ex.leader
	ex.mu.Unlock()
	if changed || firstBad {
		ex.logDecision("brittle", i.ID, map[bool]string{true: "named", false: "ended"}[v.IsBrittle], fmt.Sprintf("number=%g bad=%s status=%d", float64(v.Brittle), v.BadHeader, status))
	}
	if !tell || leader == "" {
		return
	}
	r := heed.Report{Instance: i, Service: ex.service.Name, NotBrittle: !v.IsBrittle, Slots: slots}
	if v.IsBrittle {
		r.Brittle = &v.Brittle
	}
	ex.mesh.Send(leader, link.Message{Said: &r})
}

// isFull reports whether a status with which an endpoint did not run a request means that it has no room.
func isFull(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// shareOf reports whether this host may send to a brittle endpoint without a leader, while some of its requests run there. f.mu must be held.
func (f *Front) shareOf(i ident.Instance, slots, running int) bool {
	h := fnv.New64a()
	_, _ = h.Write([]byte(f.Self))
	return f.heed.Share(i, slots, f.entryHosts, running, h.Sum64(), clock.Boot())
}

// engineShare is shareOf for an engine. f.mu must be held.
func (f *Front) engineShare(name ident.Service, i ident.Instance) bool {
	running := 0
	for _, r := range f.grantRequests {
		if r.place != nil && r.place.Instance == i {
			running++
		}
	}
	s, known := f.router.Load().Layout.Service(name)
	return known && s.Engine != nil && f.shareOf(i, s.Engine.Slots, running)
}

// reportSaid sends the state that an endpoint reports to the control hosts.
func (f *Front) reportSaid(t reach.Target, s heed.Said) {
	if s.Leaving {
		r := heed.Report{Instance: t.Instance, Service: t.Service, Leaving: true}
		f.mesh.SendAll(link.Message{Said: &r}, func(h link.Hello) bool { return h.Control })
	}
	f.mu.Lock()
	leader := f.leader
	f.mu.Unlock()
	if s.Rest > 0 && leader != "" {
		f.mesh.Send(leader, link.Message{Said: &heed.Report{Instance: t.Instance, Service: t.Service, Rest: s.Rest}})
	}
}

// reportHeld tells a new leader, or one that does not know it, which endpoints are held back.
func (f *Front) reportHeld(to ident.HostID, only ident.Instance) {
	for _, h := range f.Paths.HeldEndpoints() {
		if only == (ident.Instance{}) || h.Instance == only {
			f.mesh.Send(to, link.Message{Said: &heed.Report{Instance: h.Instance, Leaving: h.Leaving, Rest: h.Rest}})
		}
	}
}

// withoutHeld returns the endpoints that may be sent a request. If none may, it returns the time until the first of them wants requests again.
func (ex *exchange) withoutHeld(list []census.Entry) ([]census.Entry, time.Duration) {
	var free []census.Entry
	first := time.Duration(0)
	for _, e := range list {
		rest, held := ex.Paths.Held(ex.reachTarget(e.Instance, e.Address))
		switch {
		case !held:
			free = append(free, e)
		case rest > 0 && (first == 0 || rest < first):
			first = rest
		}
	}
	return free, first
}

// restingCause is the cause of requests for a service all of whose endpoints want nothing from this host now.
const restingCause = "endpoints-resting"
